import type { LoadState } from '@bulrushbridge/config-view'
import type { Clock } from '@bulrushbridge/errors'
import type { Report } from '@bulrushbridge/wire'

/**
 * Age at which a peer's report is discarded, in milliseconds. After four missed exchanges in a row
 * the peer has stopped or is unreachable, and its requests have probably ended.
 */
const reportLifetimeMs = 2_000

/** Numbers of running and waiting requests of one team in one pool. */
export interface TeamPoolDemand {
  pool: string
  team: string
  running: number
  waiting: number
}

/** Load that this entry host reports; entries with zero requests are left out. */
export interface LocalLoad {
  demand: TeamPoolDemand[]
  runners: { runner: string; inFlight: number }[]
  spare: { team: string; count: number }[]
}

/**
 * Time for which an entry host counts as busy after its last work, in milliseconds. Without it, a
 * few short requests per second would change the state in every round and cause an exchange each.
 */
const busyHoldMs = 2_000

/**
 * Creates the function from whose result the configuration view decides when to exchange reports.
 * Spare permits change with each request, so a change of them alone causes an exchange only while
 * the host is idle.
 *
 * @example
 * const readState = createLoadStateReader({ clock, readLoad })
 * readState().isBusy
 */
export function createLoadStateReader(opts: {
  clock: Clock
  readLoad(): LocalLoad
}): () => LoadState {
  let busyUntil = -Infinity
  return () => {
    const { demand, runners, spare } = opts.readLoad()
    const now = opts.clock.now()
    if (demand.length > 0 || runners.length > 0) busyUntil = now + busyHoldMs
    const isBusy = now < busyUntil
    return { isBusy, fingerprint: isBusy ? 'busy' : JSON.stringify(spare) }
  }
}

/** Requests that the peers have in progress, according to their last reports. */
export interface PeerLoad {
  applyReport(report: Report): void
  /** Returns the requests in progress by runner, summed over the peers. */
  requestsByRunner(): Map<string, number>
}

/**
 * Creates the tracker of the load that peers report.
 *
 * @example
 * const load = createPeerLoad({ clock })
 * load.applyReport(report)
 */
export function createPeerLoad(opts: { clock: Clock }): PeerLoad {
  const peers = new Map<string, { expiresAt: number; runners: Report['load'] }>()
  return {
    applyReport: report => {
      const expiresAt = opts.clock.now() + reportLifetimeMs
      peers.set(report.member, { expiresAt, runners: report.load })
    },
    requestsByRunner: () => {
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
