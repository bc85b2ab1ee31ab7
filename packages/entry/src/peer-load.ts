import type { LoadState } from '@bulrushbridge/config-view'
import type { Clock } from '@bulrushbridge/errors'
import type { Report } from '@bulrushbridge/wire'

/**
 * Age at which a peer's report no longer counts, in milliseconds. Four missed exchanges in a row
 * mean that the peer is gone or unreachable, and its requests have probably ended.
 */
const reportLifetimeMs = 2_000

/** Work of one team in one pool. */
export interface PoolDemand {
  pool: string
  team: string
  running: number
  waiting: number
}

/** What this entry host reports: only entries that are not zero. */
export interface LocalLoad {
  demand: PoolDemand[]
  runners: { runner: string; inFlight: number }[]
  spare: { team: string; count: number }[]
}

/**
 * Time for which an entry host counts as busy after its last work, in milliseconds. Without it a
 * few short requests a second would change the state, and cause an exchange, in every round.
 */
const busyHoldMs = 2_000

/**
 * Creates the reader of the load's state for the interval of the exchanges. Spare permits change
 * with each request, so their changes alone cause an exchange only while the host is idle.
 *
 * @example
 * const readState = createLoadStates({ clock, readLocal })
 * readState().busy
 */
export function createLoadStates(opts: { clock: Clock; readLocal(): LocalLoad }): () => LoadState {
  let busyUntil = -Infinity
  return () => {
    const { demand, runners, spare } = opts.readLocal()
    const now = opts.clock.now()
    if (demand.length > 0 || runners.length > 0) busyUntil = now + busyHoldMs
    const busy = now < busyUntil
    return { busy, key: busy ? 'busy' : JSON.stringify(spare) }
  }
}

/** The requests that the peers have in progress, from their last reports. */
export interface PeerLoad {
  learn(report: Report): void
  /** Requests in progress by runner, summed over the peers. */
  byRunner(): Map<string, number>
}

/**
 * Creates the view of the peers' load.
 *
 * @example
 * const load = createPeerLoad({ clock })
 * load.learn(report)
 */
export function createPeerLoad(opts: { clock: Clock }): PeerLoad {
  const peers = new Map<string, { expiresAt: number; runners: Report['load'] }>()
  return {
    learn: report => {
      const expiresAt = opts.clock.now() + reportLifetimeMs
      peers.set(report.member, { expiresAt, runners: report.load })
    },
    byRunner: () => {
      const sums = new Map<string, number>()
      const now = opts.clock.now()
      for (const [member, { expiresAt, runners }] of peers) {
        if (expiresAt <= now) peers.delete(member)
        else {
          for (const { runner, inFlight } of runners) {
            sums.set(runner, (sums.get(runner) ?? 0) + inFlight)
          }
        }
      }
      return sums
    },
  }
}
