import { seededRandom } from '../packages/standins/src/index.js'
import { hostsForZoneLoss } from '../packages/host-pools/src/index.js'
import { allocate, type Allocation } from '../packages/team-share/src/index.js'
import { type Setting } from './policy-fleet.js'

/** How a pool's slots are divided over teams. */
export type Division = 'shares' | 'demand'

/** Sums of the distance from the shares over contended steps; parts of a pool's slots. */
export interface ShareDistance {
  actual: number
  bound: number
  steps: number
}

/** Requests take 2 s, so a slot serves this many in a step of 10 s. */
const requestsPerStep = 5
const slotsPerHost = 8
/** Queues hold 4 requests per slot, which is this part of a slot's work in a step. */
const queueDepth = 4 / requestsPerStep

/** Serves the requests of all pools in one step. */
export interface Service {
  /** Hosts in use per pool. */
  serve(
    step: number,
    offered: ReadonlyMap<string, number>,
    hosts: ReadonlyMap<string, number>,
  ): Map<string, number>
  distance: ShareDistance
  /** Steps in which a team was over its limit. */
  overLimit: number
}

/** Serves demand in slots and keeps the backlog per pool; the teams' parts vary with each burst. */
export function createService(setting: Setting, division: Division, seed: number): Service {
  const { doc } = setting
  const rng = seededRandom(seed)
  const shares = new Map(doc.teams.map(({ name, share }) => [name, share]))
  const limits = new Map(doc.teams.map(({ name, limit }) => [name, limit]))
  const sizes = new Map(doc.services.map(({ pool, runners }) => [pool, runners.length]))
  const backlog = new Map<string, number>()
  const distance: ShareDistance = { actual: 0, bound: 0, steps: 0 }
  const service: Service = { serve, distance, overLimit: 0 }

  function serve(
    step: number,
    offered: ReadonlyMap<string, number>,
    hosts: ReadonlyMap<string, number>,
  ) {
    const left = new Map(limits)
    const running = new Map<string, number>()
    const used = new Map<string, number>()
    for (const pool of setting.pools) {
      const slots = (hosts.get(pool) ?? 0) * slotsPerHost
      const full = (sizes.get(pool) ?? 0) * slotsPerHost
      const wanted = (offered.get(pool) ?? 0) * full + (backlog.get(pool) ?? 0)
      const demand = demandOf(wanted)
      const got = divide(slots, demand, left, step)
      let sum = 0
      for (const [team, value] of got) {
        sum += value
        left.set(team, (left.get(team) ?? 0) - value)
        running.set(team, (running.get(team) ?? 0) + value)
      }
      used.set(pool, sum / slotsPerHost)
      backlog.set(pool, Math.min(Math.max(0, wanted - sum), queueDepth * slots))
    }
    for (const [team, value] of running) {
      if (value > (limits.get(team) ?? 0) + 1e-6) service.overLimit++
    }
    return used
  }

  function demandOf(wanted: number): Map<string, number> {
    const weights = doc.teams.map(({ share }) => Math.sqrt(share) * (0.5 + rng()))
    const sum = weights.reduce((a, b) => a + b, 0)
    return new Map(doc.teams.map(({ name }, i) => [name, (wanted * (weights[i] ?? 0)) / sum]))
  }

  function divide(
    slots: number,
    demand: Map<string, number>,
    left: Map<string, number>,
    step: number,
  ) {
    const capped = new Map(
      [...demand].map(([t, d]) => [t, Math.min(d, Math.max(0, left.get(t) ?? 0))]),
    )
    const total = [...capped.values()].reduce((a, b) => a + b, 0)
    if (total <= slots || slots === 0) return slots === 0 ? new Map<string, number>() : capped
    const fair = allocateStep(slots, capped, shares, step)
    const got = divisions[division](fair, slots, capped, total)
    distance.actual += distanceOf(perRequest(got), fair.teams, slots)
    distance.bound += distanceOf(largestRemainder(fair.teams), fair.teams, slots)
    distance.steps++
    return got
  }

  return service
}

/** Allocation in requests per step, the smallest unit that can be served. */
function allocateStep(
  slots: number,
  demand: Map<string, number>,
  shares: Map<string, number>,
  step: number,
) {
  const entries = [...demand].map(([team, value]) => {
    return { member: 'fleet', team, running: 0, waiting: Math.floor(value * requestsPerStep) }
  })
  return allocate({ slots: slots * requestsPerStep, shares, demand: entries, roundingPeriod: step })
}

type Divide = (
  fair: Allocation,
  slots: number,
  demand: Map<string, number>,
  total: number,
) => Map<string, number>

const divisions: Record<Division, Divide> = {
  shares: fair => perSlot(fair.quotas.get('fleet') ?? new Map<string, number>()),
  demand: (_, slots, demand, total) =>
    new Map([...demand].map(([team, value]) => [team, (value * slots) / total])),
}

function perSlot(requests: ReadonlyMap<string, number>): Map<string, number> {
  return new Map([...requests].map(([team, value]) => [team, value / requestsPerStep]))
}

function perRequest(slots: ReadonlyMap<string, number>): Map<string, number> {
  return new Map([...slots].map(([team, value]) => [team, value * requestsPerStep]))
}

/** Whole requests nearest to the exact allocation with the same sum. */
function largestRemainder(exact: ReadonlyMap<string, number>): Map<string, number> {
  const sum = Math.floor([...exact.values()].reduce((a, b) => a + b, 0) + 1e-6)
  const result = new Map([...exact].map(([team, value]) => [team, Math.floor(value + 1e-9)]))
  let missing = sum - [...result.values()].reduce((a, b) => a + b, 0)
  const order = [...exact].sort((a, b) => (b[1] % 1) - (a[1] % 1))
  for (const [team] of order) {
    if (missing-- <= 0) break
    result.set(team, (result.get(team) ?? 0) + 1)
  }
  return result
}

/** Half the sum of the differences in requests: the part of the work that serves the wrong team. */
function distanceOf(
  got: ReadonlyMap<string, number>,
  fair: ReadonlyMap<string, number>,
  slots: number,
): number {
  let sum = 0
  for (const [team, value] of fair) sum += Math.abs((got.get(team) ?? 0) - value)
  return sum / 2 / (slots * requestsPerStep)
}

/** Hosts that a pool keeps so that its budget holds should the worst zone go. */
export function coverOf(setting: Setting, pool: string): { required: number; covered: number } {
  const budget = setting.budgets.find(b => b.pool === pool)
  const required = budget?.required ?? 0
  return {
    required,
    covered: hostsForZoneLoss(required, setting.doc.zones.length, budget?.zoneFailures ?? 0),
  }
}
