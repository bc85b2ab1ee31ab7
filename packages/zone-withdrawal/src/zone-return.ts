import type { Fleet, FleetHost } from '@bulrushbridge/host-pools'

/** Progress of the return of a zone. Times are on the clock of the `now` arguments. */
export interface ZoneReturn {
  zone: string
  /** Index into {@link returnFractions}. */
  step: number
  /** Earliest time of the next step; after the last step, of the end of loans. */
  nextAt: number
  /** Consecutive times that the zone was unhealthy; each doubles the wait for the next step. */
  setbacks: number
}

/** Health of the returning zone since the last step. */
export interface ReturnHealth {
  /** Fraction of the returned hosts that pass their health checks, 0 to 1. */
  healthyHostFraction: number
  /** Fraction of the requests in the zone that failed, 0 to 1. */
  failedRequestFraction: number
}

/**
 * Fraction of the zone's hosts that take work at each step. It about doubles from step to step, so
 * that a step that fails affects few hosts.
 */
export const returnFractions = [0.1, 0.25, 0.5, 1] as const

/** Time for which a step is observed: several health check periods and several request bursts. */
export const returnStepMs = 60_000

/** Upper limit of the wait after consecutive unhealthy observations. */
const maxStepWaitMs = 960_000

/** Time for which a fully returned zone must stay healthy before loans of hosts may end. */
export const returnSettleMs = 300_000

/** A zone with a lower fraction of healthy hosts is unhealthy. */
const minHealthyHostFraction = 0.9
/** A zone with a higher fraction of failed requests is unhealthy. */
const maxFailedRequestFraction = 0.02

/** Begins the return of a zone at the first step, with the first fraction of its hosts. */
export function beginReturn(zone: string, now: number): ZoneReturn {
  return { zone, step: 0, nextAt: now + returnStepMs, setbacks: 0 }
}

/**
 * Returns the progress after an observation. A healthy zone takes the next step when it is due; an
 * unhealthy zone goes back one step at once and waits twice as long before the next step.
 *
 * @example
 * state = advanceReturn(state, { healthyHostFraction: 1, failedRequestFraction: 0 }, clock.now())
 */
export function advanceReturn(state: ZoneReturn, health: ReturnHealth, now: number): ZoneReturn {
  if (
    health.healthyHostFraction < minHealthyHostFraction ||
    health.failedRequestFraction > maxFailedRequestFraction
  ) {
    const setbacks = state.setbacks + 1
    const waitMs = Math.min(maxStepWaitMs, returnStepMs * 2 ** setbacks)
    return { ...state, step: Math.max(0, state.step - 1), nextAt: now + waitMs, setbacks }
  }
  if (now < state.nextAt || isReturned(state)) return state
  const step = state.step + 1
  const isLastStep = step === returnFractions.length - 1
  return { ...state, step, nextAt: now + (isLastStep ? returnSettleMs : returnStepMs), setbacks: 0 }
}

/** Whether all hosts of the zone may take work again. */
export function isReturned(state: ZoneReturn): boolean {
  return state.step === returnFractions.length - 1
}

/**
 * Whether loans of hosts may end. If they ended earlier and the zone became unhealthy again, the
 * hosts would have to be lent once more.
 */
export function canEndLoans(state: ZoneReturn, now: number): boolean {
  return isReturned(state) && now >= state.nextAt
}

/**
 * Ids of the hosts of the zone that may take work at this step: the same fraction of every pool,
 * rounded up, so that each pool is tried on at least one host.
 */
export function selectOpenHosts(fleet: Fleet, state: ZoneReturn): string[] {
  const fraction = returnFractions[state.step] ?? 1
  const byPool = new Map<string, FleetHost[]>()
  for (const host of fleet.hosts) {
    if (host.zone !== state.zone || host.state !== 'serving') continue
    byPool.set(host.pool, [...(byPool.get(host.pool) ?? []), host])
  }
  return [...byPool.values()].flatMap(hosts =>
    hosts
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .slice(0, Math.ceil(fraction * hosts.length))
      .map(({ id }) => id),
  )
}
