import { createPeerLink, type PeerLink } from './peer-client.js'
import type { PeerTls } from './peer-tls.js'

/** Time for the calls in progress on a link with former certificates, in milliseconds. */
const outdatedMs = 5_000

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
export function createPeerLinks(opts: { secret: string; tls?: PeerTls | undefined }): PeerLinks {
  const links = new Map<string, PeerLink>()
  return {
    to: peer => {
      const known = links.get(peer.id)
      const isUsable = known?.address === peer.peerAddress && !known.isSuspect()
      if (isUsable && !known.isOutdated()) return known
      if (isUsable) {
        setTimeout(() => {
          known.close()
        }, outdatedMs).unref()
      } else known?.close()
      const link = createPeerLink({ address: peer.peerAddress, ...opts })
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
