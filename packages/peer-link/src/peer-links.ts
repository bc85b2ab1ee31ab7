import { createPeerLink, type PeerLink } from './peer-client.js'
import type { PeerTls } from './peer-tls.js'

/** Delay before a link with former certificates is closed, so that calls in progress can finish. */
const outdatedLinkCloseDelayMs = 5_000

/** The links of an entry host to its peers, created on first use. */
export interface PeerLinks {
  /** Returns the link to a peer; replaces one that is suspect, outdated or to another address. */
  to(peer: { id: string; peerAddress: string }): PeerLink
  /** Closes the links to peers whose id is not in `ids`. */
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
      const existing = links.get(peer.id)
      const isUsable = existing?.address === peer.peerAddress && !existing.isSuspect()
      if (isUsable && !existing.isOutdated()) return existing
      if (isUsable) {
        setTimeout(() => {
          existing.close()
        }, outdatedLinkCloseDelayMs).unref()
      } else existing?.close()
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
