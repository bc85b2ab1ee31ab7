import { z } from 'zod'
import { demandBurstSchema, predictBursts, type DemandBurst } from './burst-recurrence.js'
import { bucketMs } from './arrival-buckets.js'
import { PoolArrivals, poolArrivalsSchema } from './pool-arrivals.js'

/** Most pools of which something is learned; further ones are expected to need nothing. */
const maxPools = 12

/** Number of the newest bursts that are kept; with five pools, four of each. */
const maxBursts = 20

/** Most bytes of the encoded state as JSON. */
const maxStateBytes = 4_000

/** Largest deviation of a burst's length from the median, as a fraction, at which it is regular. */
const lengthTolerance = 0.25

/** Longest span into the future that is forecast, in milliseconds. */
const maxAheadMs = 60_000

/** Schema of {@link DemandForecastState}. */
export const demandForecastSchema = z.object({
  version: z.literal(1),
  pools: z.record(z.string(), poolArrivalsSchema),
  bursts: z.array(demandBurstSchema).max(maxBursts),
})

/** What a forecast has learned, as a JSON value of less than 4 kB. */
export type DemandForecastState = z.infer<typeof demandForecastSchema>

/** An accepted job, as input of {@link DemandForecast.noteAccepted}. */
export interface AcceptedWork {
  pool: string
  /**
   * Work of all steps by their expected run times, in core-milliseconds. For a job that needs more of
   * another resource, the cores that go with it on a machine of the pool.
   */
  coreMs: number
  /** Time of acceptance, in Unix milliseconds. */
  at: number
  /** Expected length of the job's critical path, in milliseconds; 1,500 if it is not known. */
  pathMs?: number
}

/** Forecast of the demand of pools. All times are Unix milliseconds. */
export interface DemandForecast {
  /**
   * Adds the finite work of an accepted job. Jobs may be added in any order. After the state has been
   * restored, jobs that are still open are added again.
   */
  noteAccepted(work: AcceptedWork): void
  /** Returns the mean number of cores that finite work will keep busy between two times. */
  expected(pool: string, from: number, until: number, now: number): number
  /** Like `expected`, but the highest number at any time of the span. */
  expectedPeak(pool: string, from: number, until: number, now: number): number
  /** Start of the burst of a pool that is under way; undefined outside bursts. */
  burstSince(pool: string, now: number): number | undefined
  /** Returns what was learned, for {@link createDemandForecast}. */
  encode(): DemandForecastState
}

/**
 * Creates a forecast of the demand of pools, for queues whose demand comes in bursts of some seconds
 * while a machine needs up to two seconds to reach a pool. It notices a burst from its first jobs,
 * estimates by Little's law how many cores it will keep busy, and predicts bursts that recur. Without
 * `saved`, it starts empty and expects what arrives.
 *
 * @example
 * const forecast = createDemandForecast(demandForecastSchema.safeParse(row?.value).data)
 * forecast.noteAccepted({ pool: 'finder', coreMs: 52_000, at: job.acceptedAt })
 * const cores = forecast.expected('finder', now + moveMs, now + moveMs + 1_000, now)
 */
export function createDemandForecast(saved?: DemandForecastState): DemandForecast {
  return new LearnedDemand(saved)
}

class LearnedDemand implements DemandForecast {
  readonly #pools = new Map<string, PoolArrivals>()
  #bursts: DemandBurst[]

  constructor(saved?: DemandForecastState) {
    for (const [pool, state] of Object.entries(saved?.pools ?? {}))
      this.#pools.set(pool, new PoolArrivals(0, state))
    this.#bursts = [...(saved?.bursts ?? [])]
  }

  noteAccepted({ pool, coreMs, at, pathMs }: AcceptedWork): void {
    if (!(coreMs > 0) || !Number.isFinite(coreMs)) return
    let arrivals = this.#pools.get(pool)
    if (arrivals === undefined) {
      if (this.#pools.size >= maxPools) return
      arrivals = new PoolArrivals(at)
      this.#pools.set(pool, arrivals)
    }
    arrivals.add(at, coreMs, pathMs)
  }

  expected(pool: string, from: number, until: number, now: number): number {
    const cores = this.#busyCores(pool, from, until, now)
    return cores.reduce((sum, each) => sum + each, 0) / Math.max(1, cores.length)
  }

  expectedPeak(pool: string, from: number, until: number, now: number): number {
    return Math.max(0, ...this.#busyCores(pool, from, until, now))
  }

  burstSince(pool: string, now: number): number | undefined {
    this.#settle(now)
    return this.#pools.get(pool)?.currentBurst(now)?.from
  }

  encode(): DemandForecastState {
    const pools = Object.fromEntries(
      [...this.#pools].map(([name, arrivals]) => [name, arrivals.encode()]),
    )
    const state: DemandForecastState = { version: 1, pools, bursts: this.#bursts }
    // The oldest arrivals matter least: the work of most of these jobs has ended.
    while (Buffer.byteLength(JSON.stringify(state)) >= maxStateBytes) {
      const [longest] = Object.values(pools).sort((a, b) => b.buckets.length - a.buckets.length)
      if (longest === undefined || longest.buckets.length === 0) break
      longest.buckets = longest.buckets.slice(Math.ceil(longest.buckets.length / 4))
    }
    return state
  }

  /** Cores that the work of a pool keeps busy in each time span between two times. */
  #busyCores(pool: string, from: number, until: number, now: number): number[] {
    const arrivals = this.#pools.get(pool)
    if (arrivals === undefined) return []
    this.#settle(now)
    const rateAt = this.#futureRate(pool, arrivals, now)
    const spans = Math.max(1, Math.round(arrivals.pathMs / bucketMs))
    const first = Math.floor(from / bucketMs)
    const last = Math.max(first, Math.ceil(Math.min(until, now + maxAheadMs) / bucketMs) - 1)
    const arrived: number[] = []
    for (let number = first - spans + 1; number <= last; number++) {
      const at = number * bucketMs
      const futureMs = Math.min(bucketMs, Math.max(0, at + bucketMs - now))
      arrived.push((at <= now ? arrivals.arrivedIn(at).coreMs : 0) + futureMs * rateAt(at))
    }
    // Little's law: the work that arrives during one critical path is under way together.
    const cores: number[] = []
    let sum = 0
    for (const [i, coreMs] of arrived.entries()) {
      sum += coreMs - (arrived[i - spans] ?? 0)
      if (i >= spans - 1) cores.push(sum / (spans * bucketMs))
    }
    return cores
  }

  #settle(now: number): void {
    const ended = [...this.#pools].flatMap(([pool, arrivals]) =>
      arrivals.settle(now).map(burst => ({ pool, ...burst })),
    )
    // Bursts of the future were seen before a clock was set back.
    this.#bursts = [...this.#bursts, ...ended]
      .filter(({ until }) => until <= now)
      .sort((a, b) => a.from - b.from)
      .slice(-maxBursts)
  }

  /** Returns the arrival rate of work, in cores, at a time in the future. */
  #futureRate(pool: string, arrivals: PoolArrivals, now: number): (at: number) => number {
    const { meanMs, isRegular } = this.#burstLength()
    const spans: { from: number; until: number; cores: number }[] = []
    const current = arrivals.currentBurst(now)
    if (current !== undefined) {
      const until = isRegular ? current.from + meanMs : Number.POSITIVE_INFINITY
      spans.push({ from: current.from, until, cores: current.cores })
    }
    const cores = arrivals.burstCores ?? this.#meanBurstCores()
    for (const { pool: next, from, probability } of this.#predicted(now)) {
      if (next !== pool || (current !== undefined && from < current.from + meanMs)) continue
      spans.push({ from, until: from + meanMs, cores: cores * probability })
    }
    const quiet = arrivals.quietCores(now)
    return at => spans.find(span => at >= span.from && at < span.until)?.cores ?? quiet
  }

  #predicted(now: number) {
    const starts = this.#bursts.map(({ pool, from }) => ({ pool, from }))
    for (const [pool, arrivals] of this.#pools) {
      const current = arrivals.currentBurst(now)
      if (current !== undefined) starts.push({ pool, from: current.from })
    }
    starts.sort((a, b) => a.from - b.from)
    return predictBursts(starts, [...this.#pools.keys()], now)
  }

  /** Usual length of a burst in milliseconds, and whether their lengths are alike. */
  #burstLength(): { meanMs: number; isRegular: boolean } {
    const lengths = this.#bursts.slice(-6).map(({ from, until }) => until - from)
    const median = [...lengths].sort((a, b) => a - b)[Math.floor(lengths.length / 2)] ?? 0
    const alike = lengths.filter(ms => Math.abs(ms - median) <= lengthTolerance * median)
    const meanMs = alike.reduce((sum, ms) => sum + ms, 0) / Math.max(1, alike.length)
    return { meanMs, isRegular: alike.length >= Math.max(2, (2 / 3) * lengths.length) }
  }

  #meanBurstCores(): number {
    if (this.#bursts.length === 0) return 0
    return this.#bursts.reduce((sum, { cores }) => sum + cores, 0) / this.#bursts.length
  }
}
