import type { ConfigView } from '@bulrushbridge/config-view'
import { Code, ConnectError } from '@connectrpc/connect'
import type { PeerHandlers } from '@bulrushbridge/peer-link'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { Report } from '@bulrushbridge/wire'
import type { LocalLoad } from './peer-load.js'
import { toConfigReport, toReport } from './peer-messages.js'

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlersOptions {
  view: () => ConfigView
  permits: () => TeamPermits
  /** Returns the load of this entry host. */
  readLoad: () => LocalLoad
  /** Called with each report that a peer sends. */
  onReport: (report: Report) => void
}

/** Creates the handlers of this entry host's peer service. */
export function createPeerHandlers(opts: PeerHandlersOptions): PeerHandlers {
  return {
    exchange: ({ report }) => {
      if (report === undefined) throw new ConnectError('no report', Code.InvalidArgument)
      opts.onReport(report)
      const own = opts.view().handleExchange(toConfigReport(report))
      return { report: toReport(own, opts.readLoad()) }
    },
    fetchChanges: ({ after, snapshot }) => {
      const fetched = opts.view().handleFetchChanges(Number(after), snapshot)
      return {
        version: BigInt(fetched.version),
        changes: fetched.changes.map(({ version, body }) => ({ version: BigInt(version), body })),
        snapshot: fetched.snapshot ?? '',
      }
    },
    announce: ({ changes, restriction }) => {
      const message = {
        changes: changes.map(({ version, body }) => ({ version: Number(version), body })),
        ...(restriction === undefined ? {} : { restriction }),
      }
      return { version: BigInt(opts.view().handleAnnounce(message).version) }
    },
    borrow: ({ team, count, loanId }) => opts.permits().handlers.onBorrow({ team, count, loanId }),
    return: ({ team, loanId, count }) => {
      opts.permits().handlers.onReturn({ team, loanId, count })
      return {}
    },
  }
}
