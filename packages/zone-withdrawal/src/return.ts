import type { Fleet, FleetHost } from '@bulrushbridge/host-pools'

/** Progress of a zone's return. Times are deadlines on the decision's clock. */
export interface ZoneReturn {
  zone: string
  /** Index into {@link returnParts}. */
  step: number
  /** Earliest time of the next step. */
  nextAt: number
  /** Failed steps in a row; each doubles the wait. */
  setbacks: number
}

/** What was observed in the returning zone since the last step. */
export interface ReturnHealth {
  /** Part of the returned hosts that pass their health checks, 0 to 1. */
  healthyHosts: number
  /** Part of the requests in the zone that failed, 0 to 1. */
  failedRequests: number
}

/** Parts of the zone's hosts that take work after each step; roughly doubling limits a bad step. */
export const returnParts = [0.1, 0.25, 0.5, 1] as const

/** Time that a step is observed: several health check periods and several bursts. */
export const stepMs = 60_000

/** Longest wait after repeated setbacks. */
const maxWaitMs = 960_000

/** Time for which a fully returned zone must stay healthy before lent hosts go back. */
export const settleMs = 300_000

const minHealthyHosts = 0.9
const maxFailedRequests = 0.02

/** Starts the return with the first part of the zone's hosts. */
export function beginReturn(zone: string, now: number): ZoneReturn {
  return { zone, step: 0, nextAt: now + stepMs, setbacks: 0 }
}

/**
 * Takes the next step when it is due. A healthy zone gets the next part; an unhealthy one goes back
 * one part at once and waits twice as long before the next attempt.
 *
 * @example
 * state = advanceReturn(state, { healthyHosts: 1, failedRequests: 0 }, clock.now())
 */
export function advanceReturn(state: ZoneReturn, health: ReturnHealth, now: number): ZoneReturn {
  if (health.healthyHosts < minHealthyHosts || health.failedRequests > maxFailedRequests) {
    const setbacks = state.setbacks + 1
    const wait = Math.min(maxWaitMs, stepMs * 2 ** setbacks)
    return { ...state, step: Math.max(0, state.step - 1), nextAt: now + wait, setbacks }
  }
  if (now < state.nextAt || isReturned(state)) return state
  const step = state.step + 1
  const last = step === returnParts.length - 1
  return { ...state, step, nextAt: now + (last ? settleMs : stepMs), setbacks: 0 }
}

/** Whether all hosts of the zone may take work again. */
export function isReturned(state: ZoneReturn): boolean {
  return state.step === returnParts.length - 1
}

/** Whether lent hosts may go back. Earlier, a relapse of the zone would call for them again. */
export function mayEndLoans(state: ZoneReturn, now: number): boolean {
  return isReturned(state) && now >= state.nextAt
}

/**
 * Hosts of the zone that may take work at this step: the same part of every pool, rounded up, so
 * that each pool is tried on at least one host.
 */
export function openHosts(fleet: Fleet, state: ZoneReturn): string[] {
  const part = returnParts[state.step] ?? 1
  const byPool = new Map<string, FleetHost[]>()
  for (const host of fleet.hosts) {
    if (host.zone !== state.zone || host.state !== 'serving') continue
    byPool.set(host.pool, [...(byPool.get(host.pool) ?? []), host])
  }
  return [...byPool.values()].flatMap(hosts =>
    hosts
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .slice(0, Math.ceil(part * hosts.length))
      .map(({ id }) => id),
  )
}
