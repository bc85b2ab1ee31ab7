import { createPeerLink, type PeerLink } from './peer-client.js'

/** The links of an entry host to all its peers, opened on first use. */
export interface PeerLinks {
  /** The link to a peer; a suspect one, or one to another address of the peer, is replaced. */
  to(peer: { id: string; peerAddress: string }): PeerLink
  /** Closes the links to peers that are not in the list. */
  retain(ids: ReadonlySet<string>): void
  close(): void
}

/**
 * Creates the links of an entry host.
 *
 * @example
 * const links = createPeerLinks({ secret })
 * await links.to(member).calls.exchange({ report })
 */
export function createPeerLinks(opts: { secret: string }): PeerLinks {
  const links = new Map<string, PeerLink>()
  return {
    to: peer => {
      const known = links.get(peer.id)
      if (known?.address === peer.peerAddress && !known.isSuspect()) return known
      known?.close()
      const link = createPeerLink({ address: peer.peerAddress, secret: opts.secret })
      links.set(peer.id, link)
      return link
    },
    retain: ids => {
      for (const [id, link] of links) {
        if (ids.has(id)) continue
        link.close()
        links.delete(id)
      }
    },
    close: () => {
      for (const link of links.values()) link.close()
      links.clear()
    },
  }
}
