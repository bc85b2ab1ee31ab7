import type { Clock } from '@bulrushbridge/errors'
import type { IdempotencyRecords } from '@bulrushbridge/idempotency'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { Logger } from '@bulrushbridge/telemetry'
import type { CallerServer } from '@bulrushbridge/caller-server'
import type { MembershipTask } from './membership-task.js'
import type { Services } from './services.js'

/** Time for handing permits and the registration back, in milliseconds. */
const handBackMs = 5_000

/** Interval at which the end of the requests is checked, in milliseconds. */
const checkMs = 50

/** What a graceful shutdown works on. */
export interface DrainOptions {
  clock: Clock
  log: Logger
  /** How long the balancer may take to notice that this entry host is not ready. */
  balancerWaitMs: number
  /** Longest time that requests are waited for. */
  limitMs: number
  /** Called after the balancer's wait; new requests are refused from then on. */
  refuseNew: () => void
  callers: CallerServer
  services: Services
  records: IdempotencyRecords
  permits: TeamPermits
  membership: MembershipTask
}

/**
 * Ends the work of an entry host without cutting a request: waits for the balancer, then for the
 * requests, then hands permits and registration back.
 */
export async function drainEntryHost(opts: DrainOptions): Promise<void> {
  const { clock, log, callers } = opts
  log.info('shutting down: waiting for the balancer', { ms: opts.balancerWaitMs })
  // Connections in use end with their next answer during the wait. One that is closed after the
  // wait has been idle throughout it, so a caller is unlikely to send on it at that moment.
  callers.drain()
  await pause(opts.balancerWaitMs)
  opts.refuseNew()
  callers.closeIdle()
  const deadline = clock.now() + opts.limitMs
  while (callers.active() > 0 && clock.now() < deadline) await pause(checkMs)
  if (callers.active() > 0) {
    log.warn('shutting down: requests are cut at the limit', { requests: callers.active() })
  }
  const left = Math.max(0, deadline - clock.now())
  await Promise.race([opts.services.close(), pause(Math.max(handBackMs, left))])
  await opts.records.close()
  await opts.permits.close({ deadline: clock.now() + handBackMs })
  await opts.membership.leave(handBackMs)
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
