import {
  addAmounts,
  createDemandForecast,
  criticalPathMs,
  demandForecastSchema,
  expectedMsOf,
  largestFraction,
  noAmounts,
  type Amounts,
  type DemandForecast,
  type JobDefinition,
  type PoolLoad,
} from '@bulrushbridge/scheduler'
import type { Check } from '@bulrushbridge/store'
import type { Allocation } from './allocation.js'
import { queuesOf, type TermContext } from './term-context.js'

/** Table and key of the row with what the forecast has learned. */
const forecastTable = 'machines'
const forecastKey = 'forecast'

/** Least time between two writes of the row, in milliseconds. */
const storeIntervalMs = 2_000

/**
 * Time from the end of a move until the new runner is registered, listed and has answered a poll, in
 * milliseconds.
 */
const registrationMs = 400

/** Span after the arrival of a machine in which it should have work, in milliseconds. */
const neededForMs = 1_000

/**
 * Time for which a machine must stay idle for a move to the spare pool and back to pay off, in
 * milliseconds; two moves cost as much.
 */
const switchOffPayoffMs = 2_600

/**
 * Difference between the time of a job's acceptance and this host's clock above which the latter is
 * used, in milliseconds. The clocks of hosts differ, and may jump.
 */
const maxClockDifferenceMs = 2_000

/** Interval at which a rise of demand is looked for, in milliseconds; arrivals are counted in spans of 100. */
const riseCheckIntervalMs = 100

/** What a pool is expected to need, and what runs there, as {@link PoolLoad} has it. */
export type PoolDemandLoad = Pick<
  PoolLoad,
  'expected' | 'expectedPeak' | 'lasting' | 'running' | 'ending'
>

/**
 * The demand of pools in one term, for bursts that are shorter than a few moves of machines. Feeds the
 * forecast with the jobs that are loaded, and keeps what it learns in the store.
 */
export class PoolDemand {
  readonly #ctx: TermContext
  readonly #leaseCheck: Check
  #forecast: DemandForecast = createDemandForecast()
  #isTakeoverComplete = false
  #storedAt = performance.now()
  #hasChanged = false
  #hasNewJobs = false
  #riseCheckedAt = 0
  /** Pools in which a burst is known to be under way. */
  readonly #poolsInBurst = new Set<string>()

  constructor(ctx: TermContext, leaseCheck: Check) {
    this.#ctx = ctx
    this.#leaseCheck = leaseCheck
  }

  /** Reads what earlier dispatchers learned; a row that cannot be decoded counts as absent. */
  async load(): Promise<void> {
    const { store, log } = this.#ctx.opts
    const row = await store.read(forecastTable, forecastKey)
    if (row === undefined) return
    const parsed = demandForecastSchema.safeParse(row.value)
    if (parsed.success) this.#forecast = createDemandForecast(parsed.data)
    else log.warn('stored demand forecast has an invalid format', { key: forecastKey })
  }

  /** From now on jobs are loaded as they are accepted. */
  completeTakeover(): void {
    this.#isTakeoverComplete = true
  }

  /** Adds the finite work of a job that was loaded. */
  noteLoaded({ queue, steps, schedule, acceptedAt }: JobDefinition): void {
    const pool = queuesOf(this.#ctx).get(queue)?.pool
    // The occurrences of a job with a schedule are spread over time.
    if (this.#ctx.opts.machines === undefined) return
    if (pool === undefined || schedule !== undefined) return
    // At a takeover, jobs are read before runners.
    const machineSize = this.#machineSize(pool)
    const { runTimes } = this.#ctx
    let coreMs = 0
    for (const step of steps) {
      const { isLasting, amounts, count } = step
      if (isLasting === true) continue
      const cores = coresOf(amounts, machineSize)
      coreMs += cores * count * expectedMsOf(runTimes, queue, step)
    }
    if (coreMs === 0) return
    const now = Date.now()
    const isClockOff = Math.abs(now - acceptedAt) > maxClockDifferenceMs
    const at = this.#isTakeoverComplete && isClockOff ? now : Math.min(acceptedAt, now)
    const pathMs = criticalPathMs(steps, step => expectedMsOf(runTimes, queue, step))
    this.#forecast.noteAccepted({ pool, coreMs, at, pathMs })
    this.#hasChanged = true
    this.#hasNewJobs = true
  }

  /** Whether a burst of demand has begun since the last call. */
  hasRisen(): boolean {
    const wallNow = Date.now()
    const isDue = Math.abs(wallNow - this.#riseCheckedAt) >= riseCheckIntervalMs
    if (!this.#hasNewJobs || !isDue) return false
    this.#hasNewJobs = false
    this.#riseCheckedAt = wallNow
    let hasRisen = false
    for (const { name } of this.#ctx.opts.view.configuration()?.pools ?? []) {
      const since = this.#forecast.burstSince(name, wallNow)
      if (since === undefined) this.#poolsInBurst.delete(name)
      else if (!this.#poolsInBurst.has(name)) {
        this.#poolsInBurst.add(name)
        hasRisen = true
        this.#ctx.opts.log.info('demand burst began', {
          pool: name,
          noticedAfterMs: wallNow - since,
        })
      }
    }
    return hasRisen
  }

  /** What the pools need when a machine that is ordered now arrives. */
  loadOf(pool: string): PoolDemandLoad {
    const wallNow = Date.now()
    const moveMs = this.#ctx.opts.timing.moveMs + registrationMs
    const arrivesAt = wallNow + moveMs
    const forecast = this.#forecast
    const expected = forecast.expected(pool, arrivesAt, arrivesAt + neededForMs, wallNow)
    const payoffAt = arrivesAt + switchOffPayoffMs
    const peak = forecast.expectedPeak(pool, wallNow, payoffAt, wallNow)
    return {
      expected: toAmounts(expected),
      expectedPeak: toAmounts(Math.max(expected, peak)),
      ...this.#runningWork(pool, performance.now() + moveMs),
    }
  }

  /** Stores what was learned, at a low rate; a failed check means that the term is over. */
  async storeIfDue(): Promise<void> {
    const now = performance.now()
    if (!this.#hasChanged || now - this.#storedAt < storeIntervalMs) return
    this.#storedAt = now
    this.#hasChanged = false
    const row = { table: forecastTable, key: forecastKey, value: this.#forecast.encode() }
    await this.#ctx.opts.store.commit({ checks: [this.#leaseCheck], writes: [row] })
  }

  #runningWork(pool: string, arrivesAt: number): Pick<PoolLoad, 'lasting' | 'running' | 'ending'> {
    const lasting = { ...noAmounts }
    const running = { ...noAmounts }
    const ending = { ...noAmounts }
    for (const session of this.#ctx.sessions.values()) {
      if (session.entry?.pool !== pool) continue
      for (const allocation of session.allocations.values()) {
        const { task, amounts } = allocation
        if (task?.step.definition.isLasting === true) addAmounts(lasting, amounts)
        else {
          addAmounts(running, amounts)
          if (this.#expectedEnd(allocation) < arrivesAt) addAmounts(ending, amounts)
        }
      }
    }
    return { lasting, running, ending }
  }

  #expectedEnd({ task, confirmedAt }: Allocation): number {
    if (task === undefined) return 0
    const { definition, job } = task.step
    const startedAt = confirmedAt ?? performance.now()
    return startedAt + expectedMsOf(this.#ctx.runTimes, job.definition.queue, definition)
  }

  #machineSize(pool: string): Amounts | undefined {
    let other: Amounts | undefined
    for (const { entry } of this.#ctx.sessions.values()) {
      if (entry?.pool === pool) return entry.capacity
      other ??= entry?.capacity
    }
    return other
  }
}

/**
 * Cores that a task needs, and with a machine size the cores that go with it, if it needs more of another
 * resource.
 */
function coresOf(amounts: Amounts, machineSize: Amounts | undefined): number {
  if (machineSize === undefined) return amounts.cpuMillis / 1_000
  return (largestFraction(amounts, machineSize) * machineSize.cpuMillis) / 1_000
}

function toAmounts(cores: number): Amounts {
  return { ...noAmounts, cpuMillis: Math.round(cores * 1_000) }
}
