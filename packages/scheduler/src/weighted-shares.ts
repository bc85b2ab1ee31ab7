import { allocate, weightWithoutShare } from '@bulrushbridge/team-share'
import { addAmounts, countFitting, largestFraction, noAmounts, type Amounts } from './amounts.js'
import { reservedAmounts, type AvailableRunner } from './choose-starts.js'
import type { JobQueue, Organisation } from './configuration.js'
import type { JobDefinition } from './job.js'
import type { StepExecution } from './job-execution.js'

/** Amounts that the runs of one organisation from one queue reserve. */
export interface QueueUsage {
  organisation: string
  queue: string
  amounts: Amounts
  /** The part of `amounts` that lasting tasks reserve. */
  lasting: Amounts
}

/** Input of {@link createWeightedShares}, as it is before the starts of a pass are chosen. */
export interface WeightedSharesInput {
  organisations: readonly Pick<Organisation, 'name' | 'weight'>[]
  usage: Iterable<QueueUsage>
  steps: readonly StepExecution[]
  queues: ReadonlyMap<string, JobQueue>
  runners: readonly AvailableRunner[]
  /** Resources that each organisation may still reserve; absent for those without a limit. */
  allowance: ReadonlyMap<string, Amounts>
  /** Whether a job is within the rate of its organisation, whose weight is given. */
  isGuaranteed: (job: JobDefinition, weight: number) => boolean
}

/** State of an organisation in a pool, as fractions of the dominant resource of the pool. */
export interface PoolShare {
  pool: string
  organisation: string
  weight: number
  /** What its runs reserve. */
  used: number
  /** What it may reserve before others go first; it grows when others demand less. */
  entitled: number
}

/** The shares of organisations in each pool, which follow the starts of a pass. */
export interface WeightedShares {
  /** Whether the work of a job is beyond the rate that its organisation is guaranteed. */
  isExcess(job: JobDefinition): boolean
  /**
   * Whether the share decides between organisations. While all weights are equal it does so only for
   * excess work.
   */
  decides(isExcess: boolean): boolean
  /**
   * What the runs of an organisation would reserve of a pool with one more of the smallest waiting task,
   * divided by its weight. Without that task, organisations whose shares are a few tasks would all be
   * rounded up, and a large one would stay below its share. Its own next task does not count, so that
   * large tasks are not starved.
   */
  levelOf(pool: string, organisation: string): number
  isUnderShare(pool: string, organisation: string): boolean
  /** Counts a start in the pool. */
  addStart(pool: string, organisation: string, amounts: Amounts): void
  /** The organisations that use or ask for capacity, by pool. */
  entries(): Iterable<PoolShare>
}

interface Entry extends PoolShare {
  amounts: Amounts
  lasting: Amounts
  demand: Amounts
}

/**
 * Computes the shares of a pass; undefined unless an organisation has a weight. When a pool is full,
 * bursts of some organisations would otherwise take what belongs to others. Shares are weighted
 * max-min fair: capacity that an organisation doesn't ask for is shared out to the others by weight.
 * Lasting runs are never ended for others, so what they hold beyond a share is left out of the shares.
 * The result depends only on its input, so a new dispatcher computes the same.
 *
 * @example
 * const shares = createWeightedShares(input)
 * if (shares?.isUnderShare('checks', 'org-1') === false) log.info('organisation delayed')
 */
export function createWeightedShares(input: WeightedSharesInput): WeightedShares | undefined {
  const weights = new Map(input.organisations.map(({ name, weight }) => [name, weight]))
  const values = new Set(weights.values())
  if (![...values].some(weight => weight > 0)) return undefined
  const capacities = sumCapacities(input.runners)
  /** The amounts of the smallest waiting task of each pool. */
  const smallest = new Map<string, Amounts>()
  const pools = new Map<string, Map<string, Entry>>()
  const entryOf = (pool: string, organisation: string): Entry => {
    const entries = pools.get(pool) ?? new Map<string, Entry>()
    pools.set(pool, entries)
    const entry = entries.get(organisation) ?? {
      pool,
      organisation,
      weight: Math.max(0, weights.get(organisation) ?? 0),
      used: 0,
      entitled: 0,
      amounts: { ...noAmounts },
      lasting: { ...noAmounts },
      demand: { ...noAmounts },
    }
    entries.set(organisation, entry)
    return entry
  }
  for (const { organisation, queue, amounts, lasting } of input.usage) {
    const pool = input.queues.get(queue)?.pool
    if (pool === undefined) continue
    const entry = entryOf(pool, organisation)
    addAmounts(entry.amounts, amounts)
    addAmounts(entry.demand, amounts)
    addAmounts(entry.lasting, lasting)
  }
  for (const step of input.steps) {
    const { queue, organisation = '' } = step.job.definition
    const pool = input.queues.get(queue)?.pool
    if (pool === undefined) continue
    const remaining = input.allowance.get(organisation)
    const allowed =
      remaining === undefined ? step.pendingCount : countFitting(remaining, step.definition.amounts)
    const count = Math.min(step.pendingCount, allowed)
    if (count === 0) continue
    const amounts = reservedAmounts(step)
    addAmounts(entryOf(pool, organisation).demand, amounts, count)
    const least = smallest.get(pool)?.cpuMillis ?? Number.POSITIVE_INFINITY
    if (amounts.cpuMillis < least) smallest.set(pool, amounts)
  }
  const capacityOf = (pool: string) => capacities.get(pool) ?? noAmounts
  for (const [pool, entries] of pools) {
    const capacity = capacityOf(pool)
    for (const entry of entries.values()) entry.used = largestFraction(entry.amounts, capacity)
  }
  let isDivided = false
  // The order follows from the levels alone, and a pass runs many times a second.
  const divideOnce = () => {
    if (isDivided) return
    isDivided = true
    const usable = sumCapacities(input.runners, ({ pool, free }) => {
      const amounts = smallest.get(pool)
      return amounts !== undefined && countFitting(free, amounts) < 1 ? free : noAmounts
    })
    for (const [pool, entries] of pools) {
      const capacity = capacityOf(pool)
      const slots = largestFraction(usable.get(pool) ?? noAmounts, capacity)
      divide([...entries.values()], capacity, slots)
    }
  }
  return {
    isExcess: job =>
      !input.isGuaranteed(job, Math.max(0, weights.get(job.organisation ?? '') ?? 0)),
    decides: isExcess => isExcess || values.size > 1,
    levelOf: (pool, organisation) => {
      const { used, weight } = entryOf(pool, organisation)
      const unit = largestFraction(smallest.get(pool) ?? noAmounts, capacityOf(pool))
      return (used + unit) / Math.max(weight, weightWithoutShare)
    },
    isUnderShare: (pool, organisation) => {
      divideOnce()
      const entry = pools.get(pool)?.get(organisation)
      return entry === undefined || entry.used < entry.entitled - epsilon
    },
    addStart: (pool, organisation, amounts) => {
      const entry = entryOf(pool, organisation)
      addAmounts(entry.amounts, amounts)
      entry.used = largestFraction(entry.amounts, capacityOf(pool))
    },
    entries: function* () {
      divideOnce()
      for (const entries of pools.values()) yield* entries.values()
    },
  }
}

/** Tolerance for floating-point error in sums of fractions. */
const epsilon = 1e-9

/**
 * Sets what each organisation is entitled to of a pool. `slots` is the fraction of the capacity
 * that runs use or can use.
 */
function divide(entries: readonly Entry[], capacity: Amounts, slots: number): void {
  let open = entries.map(entry => ({
    entry,
    demand: largestFraction(entry.demand, capacity),
    lasting: largestFraction(entry.lasting, capacity),
  }))
  let left = slots
  for (;;) {
    const { teams } = allocate({
      slots: Math.max(0, left),
      shares: new Map(open.map(({ entry }) => [entry.organisation, entry.weight])),
      demand: open.map(({ entry, demand }) => ({
        member: '',
        team: entry.organisation,
        running: 0,
        waiting: demand,
      })),
    })
    for (const { entry } of open) entry.entitled = teams.get(entry.organisation) ?? 0
    const beyond = new Set(open.filter(({ entry, lasting }) => lasting > entry.entitled + epsilon))
    if (beyond.size === 0) return
    for (const { entry, lasting } of beyond) {
      entry.entitled = lasting
      left -= lasting
    }
    open = open.filter(each => !beyond.has(each))
  }
}

/** Sums the capacity of the runners of each pool, less what can't be used. */
function sumCapacities(
  runners: readonly AvailableRunner[],
  unusable: (runner: AvailableRunner) => Amounts = () => noAmounts,
): Map<string, Amounts> {
  const capacities = new Map<string, Amounts>()
  for (const runner of runners) {
    const sum = capacities.get(runner.pool) ?? { ...noAmounts }
    addAmounts(sum, runner.capacity)
    addAmounts(sum, unusable(runner), -1)
    capacities.set(runner.pool, sum)
  }
  return capacities
}
