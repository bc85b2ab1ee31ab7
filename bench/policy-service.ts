import { seededRandom } from '../packages/standins/src/index.js'
import { hostsForZoneLoss } from '../packages/host-pools/src/index.js'
import { allocate, type Allocation } from '../packages/team-share/src/index.js'
import { type FleetSetup } from './policy-fleet.js'

/**
 * Whether a pool's slots are divided among teams by their shares or in proportion to their demand.
 */
export type Division = 'shares' | 'demand'

/**
 * Sums over the contended steps of the distance from the exact allocation by shares, as fractions
 * of a pool's slots. A step is contended when the demand for a pool exceeds its slots.
 */
export interface ShareDistance {
  actual: number
  /** Smallest possible distance when only whole requests are served. */
  bound: number
  /** Number of contended steps, counted per pool. */
  contendedSteps: number
}

/** Requests that a slot serves in a step of 10 s; each takes 2 s. */
const requestsPerSlot = 5

const slotsPerHost = 8

/** Upper limit of the backlog per slot, as a fraction of a slot's work in a step: 4 requests. */
const maxBacklogPerSlot = 4 / requestsPerSlot

/** Model of the pools that serve requests. */
export interface ServiceModel {
  /**
   * Serves the requests of all pools in one step and returns the hosts in use by pool. `offered` is
   * the load of each pool, as a fraction of its full size.
   */
  serve(
    step: number,
    offered: ReadonlyMap<string, number>,
    availableHosts: ReadonlyMap<string, number>,
  ): Map<string, number>
  distance: ShareDistance
  /** Times that a team was above its limit, counted once per team and step. */
  limitViolations: number
}

/**
 * Creates a model that serves demand in slots and keeps a backlog for each pool. The fraction of
 * the demand that each team has is drawn anew for each pool and step.
 */
export function createServiceModel(
  setup: FleetSetup,
  division: Division,
  seed: number,
): ServiceModel {
  const { doc } = setup
  const rng = seededRandom(seed)
  const shares = new Map(doc.teams.map(({ name, share }) => [name, share]))
  const limits = new Map(doc.teams.map(({ name, limit }) => [name, limit]))
  const hostCountByPool = new Map(doc.services.map(({ pool, runners }) => [pool, runners.length]))
  const backlogByPool = new Map<string, number>()
  const distance: ShareDistance = { actual: 0, bound: 0, contendedSteps: 0 }
  const model: ServiceModel = { serve, distance, limitViolations: 0 }

  function serve(
    step: number,
    offered: ReadonlyMap<string, number>,
    availableHosts: ReadonlyMap<string, number>,
  ) {
    const remainingLimits = new Map(limits)
    const slotsByTeam = new Map<string, number>()
    const usedHosts = new Map<string, number>()
    for (const pool of setup.pools) {
      const slots = (availableHosts.get(pool) ?? 0) * slotsPerHost
      const allSlots = (hostCountByPool.get(pool) ?? 0) * slotsPerHost
      const wantedSlots = (offered.get(pool) ?? 0) * allSlots + (backlogByPool.get(pool) ?? 0)
      const demand = drawTeamDemand(wantedSlots)
      const granted = divideSlots(slots, demand, remainingLimits, step)
      let grantedSlots = 0
      for (const [team, value] of granted) {
        grantedSlots += value
        remainingLimits.set(team, (remainingLimits.get(team) ?? 0) - value)
        slotsByTeam.set(team, (slotsByTeam.get(team) ?? 0) + value)
      }
      usedHosts.set(pool, grantedSlots / slotsPerHost)
      backlogByPool.set(
        pool,
        Math.min(Math.max(0, wantedSlots - grantedSlots), maxBacklogPerSlot * slots),
      )
    }
    for (const [team, value] of slotsByTeam) {
      if (value > (limits.get(team) ?? 0) + 1e-6) model.limitViolations++
    }
    return usedHosts
  }

  /** Divides the demand among the teams at random, weighted by the square roots of their shares. */
  function drawTeamDemand(wantedSlots: number): Map<string, number> {
    const weights = doc.teams.map(({ share }) => Math.sqrt(share) * (0.5 + rng()))
    const weightSum = weights.reduce((a, b) => a + b, 0)
    return new Map(
      doc.teams.map(({ name }, i) => [name, (wantedSlots * (weights[i] ?? 0)) / weightSum]),
    )
  }

  /** Returns the slots that each team gets, within the teams' remaining limits. */
  function divideSlots(
    slots: number,
    demand: Map<string, number>,
    remainingLimits: Map<string, number>,
    step: number,
  ) {
    const cappedDemand = new Map(
      [...demand].map(([t, d]) => [t, Math.min(d, Math.max(0, remainingLimits.get(t) ?? 0))]),
    )
    const totalDemand = [...cappedDemand.values()].reduce((a, b) => a + b, 0)
    if (totalDemand <= slots || slots === 0)
      return slots === 0 ? new Map<string, number>() : cappedDemand
    const allocation = allocateStep(slots, cappedDemand, shares, step)
    const granted = dividers[division](allocation, slots, cappedDemand, totalDemand)
    distance.actual += computeDistance(slotsToRequests(granted), allocation.teams, slots)
    distance.bound += computeDistance(
      roundByLargestRemainder(allocation.teams),
      allocation.teams,
      slots,
    )
    distance.contendedSteps++
    return granted
  }

  return model
}

/** Computes the allocation of one step in requests, the smallest unit that can be served. */
function allocateStep(
  slots: number,
  demand: Map<string, number>,
  shares: Map<string, number>,
  step: number,
) {
  const entries = [...demand].map(([team, value]) => {
    return { member: 'fleet', team, running: 0, waiting: Math.floor(value * requestsPerSlot) }
  })
  return allocate({ slots: slots * requestsPerSlot, shares, demand: entries, roundingPeriod: step })
}

/** Divides the slots of a pool among teams when the demand exceeds them. */
type Divider = (
  allocation: Allocation,
  slots: number,
  demand: Map<string, number>,
  totalDemand: number,
) => Map<string, number>

const dividers: Record<Division, Divider> = {
  shares: allocation =>
    requestsToSlots(allocation.quotas.get('fleet') ?? new Map<string, number>()),
  demand: (_, slots, demand, totalDemand) =>
    new Map([...demand].map(([team, value]) => [team, (value * slots) / totalDemand])),
}

function requestsToSlots(requests: ReadonlyMap<string, number>): Map<string, number> {
  return new Map([...requests].map(([team, value]) => [team, value / requestsPerSlot]))
}

function slotsToRequests(slots: ReadonlyMap<string, number>): Map<string, number> {
  return new Map([...slots].map(([team, value]) => [team, value * requestsPerSlot]))
}

/**
 * Rounds an exact allocation to whole requests with the same sum, by the largest remainder method.
 */
function roundByLargestRemainder(exact: ReadonlyMap<string, number>): Map<string, number> {
  const sum = Math.floor([...exact.values()].reduce((a, b) => a + b, 0) + 1e-6)
  const rounded = new Map([...exact].map(([team, value]) => [team, Math.floor(value + 1e-9)]))
  let unassigned = sum - [...rounded.values()].reduce((a, b) => a + b, 0)
  const byRemainder = [...exact].sort((a, b) => (b[1] % 1) - (a[1] % 1))
  for (const [team] of byRemainder) {
    if (unassigned-- <= 0) break
    rounded.set(team, (rounded.get(team) ?? 0) + 1)
  }
  return rounded
}

/**
 * Computes the fraction of the work that serves the wrong team: half the sum of the differences, in
 * requests, between the granted and the exact allocation.
 */
function computeDistance(
  granted: ReadonlyMap<string, number>,
  exact: ReadonlyMap<string, number>,
  slots: number,
): number {
  let sum = 0
  for (const [team, value] of exact) sum += Math.abs((granted.get(team) ?? 0) - value)
  return sum / 2 / (slots * requestsPerSlot)
}

/**
 * Computes the hosts that the availability budget of a pool requires, and the hosts of which as
 * many remain if the zones with most hosts fail. Both are 0 for a pool without a budget.
 */
export function computeRequiredHosts(
  setup: FleetSetup,
  pool: string,
): { required: number; requiredWithReserve: number } {
  const budget = setup.budgets.find(b => b.pool === pool)
  const required = budget?.required ?? 0
  return {
    required,
    requiredWithReserve: hostsForZoneLoss(
      required,
      setup.doc.zones.length,
      budget?.zoneFailures ?? 0,
    ),
  }
}
