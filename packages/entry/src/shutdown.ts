import type { Clock } from '@bulrushbridge/errors'
import type { IdempotencyRecords } from '@bulrushbridge/idempotency'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { Logger } from '@bulrushbridge/telemetry'
import type { CallerServer } from '@bulrushbridge/caller-server'
import type { MembershipTask } from './membership-task.js'
import type { Services } from './services.js'

/**
 * Time allowed for returning the permits and for removing the registration, in milliseconds each.
 */
const releaseTimeoutMs = 5_000

/** Interval at which the number of active requests is checked, in milliseconds. */
const activePollMs = 50

/** Options of {@link drainEntryHost}. */
export interface DrainOptions {
  clock: Clock
  log: Logger
  /** Time for the balancer to detect that this entry host is not ready, in milliseconds. */
  balancerWaitMs: number
  /** Longest wait for the requests to end, in milliseconds. */
  maxRequestWaitMs: number
  /** Called after the wait for the balancer; new requests are refused from then on. */
  refuseNew: () => void
  callerServer: CallerServer
  services: Services
  records: IdempotencyRecords
  permits: TeamPermits
  membership: MembershipTask
}

/**
 * Shuts an entry host down without cutting requests off before the time limit. It waits for the
 * balancer and then for the requests; at last it returns the permits and removes the registration.
 */
export async function drainEntryHost(opts: DrainOptions): Promise<void> {
  const { clock, log, callerServer } = opts
  log.info('shutting down: waiting for the balancer', { ms: opts.balancerWaitMs })
  // During the wait, every answer ends its connection. A connection that is closed after the wait
  // has been idle all that time, so a caller is unlikely to send a request on it at that moment.
  callerServer.drain()
  await pause(opts.balancerWaitMs)
  opts.refuseNew()
  callerServer.closeIdle()
  const deadline = clock.now() + opts.maxRequestWaitMs
  while (callerServer.activeRequests() > 0 && clock.now() < deadline) await pause(activePollMs)
  if (callerServer.activeRequests() > 0) {
    log.warn('shutting down: the time limit has passed, cutting requests off', {
      requests: callerServer.activeRequests(),
    })
  }
  const remainingMs = Math.max(0, deadline - clock.now())
  await Promise.race([opts.services.close(), pause(Math.max(releaseTimeoutMs, remainingMs))])
  await opts.records.close()
  await opts.permits.close({ deadline: clock.now() + releaseTimeoutMs })
  await opts.membership.leave(releaseTimeoutMs)
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
