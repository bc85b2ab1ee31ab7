import { z } from 'zod'

/** Length of the time spans in which arrivals are counted, in milliseconds. */
export const bucketMs = 100

/** Time for which arrivals are kept, in milliseconds; longer than jobs usually take. */
const historyMs = 6_000

/**
 * Time after which a bucket is final, in milliseconds. The dispatcher learns of a job within about
 * this time of its acceptance.
 */
const settleMs = 500

/**
 * Logarithm of the likelihood ratio at which a rise counts as a burst. With rates that differ by a
 * factor of 80, as in the load of both new deployments, it is reached by three jobs in 0.2 s.
 */
const riseEvidence = 8

/** Logarithm of the likelihood ratio at which a burst counts as ended; reached after 0.3 to 0.5 s. */
const fallEvidence = 6

/** Rate of arrivals in a burst as a multiple of the rate outside it, until one has been seen. */
const assumedRise = 10

/** Least rate of arrivals that counts as a burst, in jobs per millisecond. */
const minBurstJobsPerMs = 0.004

/** Least rate of arrivals outside bursts that is assumed, in jobs per millisecond. */
const minQuietJobsPerMs = 0.000_1

/** Time constant of the rate outside bursts, in milliseconds. */
const quietTimeConstantMs = 20_000

/** A shorter rise is not learned from: a few jobs that arrived together by chance. */
const minBurstMs = 500

/** A longer rise is a new steady rate, not a burst. */
const maxBurstMs = 30_000

/** Time over which the level of a current burst is measured, in milliseconds. */
const levelWindowMs = 2_000

/** Number of jobs that the level of earlier bursts counts for in the level of the current one. */
const levelPriorJobs = 8

/** Time that a job takes if nothing is known, in milliseconds. */
const defaultPathMs = 1_500

const phaseSchema = z.object({
  /** Time up to which arrivals have been judged. */
  at: z.number(),
  /** Logarithm of the likelihood ratio for a change of the phase, at least 0. */
  evidence: z.number(),
  /** Time since which the evidence is above 0, which is when the change took place, if it did. */
  changeAt: z.number(),
  /** Start of the current burst; undefined outside bursts. */
  burstFrom: z.number().optional(),
  /** Jobs and work that arrived in the current burst. */
  burstJobs: z.number(),
  burstCoreMs: z.number(),
})
type Phase = z.infer<typeof phaseSchema>

/** Schema of {@link PoolArrivalsState}. */
export const poolArrivalsSchema = z.object({
  /** Number of a time span, jobs, and work in core-milliseconds. */
  buckets: z.array(z.tuple([z.int(), z.number().min(0), z.number().min(0)])).max(200),
  phase: phaseSchema,
  quietJobsPerMs: z.number().min(0),
  /** Means over the bursts seen; undefined before the first one. */
  burst: z.object({ jobsPerMs: z.number().positive(), cores: z.number().min(0) }).optional(),
  jobs: z.number().min(0),
  jobCoreMs: z.number().min(0),
  pathMs: z.number().positive(),
})

/** What is known of the arrivals of a pool, as a JSON value. */
export type PoolArrivalsState = z.infer<typeof poolArrivalsSchema>

interface Bucket {
  jobs: number
  coreMs: number
  /** Counted before the state was restored; the same jobs may be counted again. */
  savedJobs: number
  savedCoreMs: number
}

/** A burst that has ended, without its pool. */
export interface EndedBurst {
  from: number
  until: number
  cores: number
}

/**
 * Arrivals of one pool. Detects the start and the end of demand bursts by a cumulative sum of
 * likelihood ratios between the rates of arrival in and outside bursts, for demand that rises
 * eighty-fold within a tenth of a second. Counts jobs instead of work, so that a single large job is
 * no burst.
 *
 * @example
 * arrivals.add(acceptedAt, coreMs, pathMs)
 * const ended = arrivals.settle(Date.now())
 */
export class PoolArrivals {
  readonly #buckets = new Map<number, Bucket>()
  #phase: Phase
  #quietJobsPerMs: number
  #burst: { jobsPerMs: number; cores: number } | undefined
  #jobs: number
  #jobCoreMs: number
  #pathMs: number

  constructor(at: number, saved?: PoolArrivalsState) {
    // Jobs may be added in any order, so the first one need not be the earliest.
    this.#phase = saved?.phase ?? quietPhase(startOf(at - levelWindowMs))
    this.#quietJobsPerMs = saved?.quietJobsPerMs ?? 5 * minQuietJobsPerMs
    this.#burst = saved?.burst
    this.#jobs = saved?.jobs ?? 0
    this.#jobCoreMs = saved?.jobCoreMs ?? 0
    this.#pathMs = saved?.pathMs ?? defaultPathMs
    for (const [number, savedJobs, savedCoreMs] of saved?.buckets ?? [])
      this.#buckets.set(number, { jobs: 0, coreMs: 0, savedJobs, savedCoreMs })
  }

  /** Mean time for which the work of a job keeps cores busy, in milliseconds. */
  get pathMs(): number {
    return this.#pathMs
  }

  /** Mean arrival rate of work in the bursts seen, in cores; undefined before the first one. */
  get burstCores(): number | undefined {
    return this.#burst?.cores
  }

  /** Arrival rate of work outside bursts, in cores. */
  get quietCores(): number {
    return this.#quietJobsPerMs * this.#jobCoreMs
  }

  /** Adds a job with its work and the time that it takes. */
  add(at: number, coreMs: number, pathMs: number | undefined): void {
    this.#jobs += 1
    const weight = Math.max(0.02, 1 / this.#jobs)
    this.#jobCoreMs += weight * (coreMs - this.#jobCoreMs)
    if (pathMs !== undefined) this.#pathMs += weight * (Math.max(bucketMs, pathMs) - this.#pathMs)
    // A job older than the history is only seen at a takeover and says nothing of the present.
    if (at < this.#phase.at - historyMs) return
    const number = Math.floor(at / bucketMs)
    const bucket = this.#buckets.get(number)
    if (bucket === undefined)
      this.#buckets.set(number, { jobs: 1, coreMs, savedJobs: 0, savedCoreMs: 0 })
    else {
      bucket.jobs += 1
      bucket.coreMs += coreMs
    }
  }

  /** Judges the arrivals that are final; returns the bursts that have ended in them. */
  settle(now: number): EndedBurst[] {
    const ended: EndedBurst[] = []
    const until = startOf(now - settleMs)
    // After a pause without a dispatcher, arrivals are unknown, and an earlier burst is over.
    if (until - this.#phase.at > historyMs) this.#phase = quietPhase(until - historyMs)
    while (this.#phase.at + bucketMs <= until) {
      const before = this.#phase
      const jobs = this.#jobsIn(before.at)
      this.#phase = this.#advance(before, bucketMs)
      if (before.burstFrom === undefined) {
        const weight = bucketMs / quietTimeConstantMs
        this.#quietJobsPerMs += weight * (jobs / bucketMs - this.#quietJobsPerMs)
      } else if (this.#phase.burstFrom === undefined) {
        const burst = this.#endBurst(before, this.#phase.changeAt)
        if (burst !== undefined) ended.push(burst)
      } else if (this.#phase.at - before.burstFrom > maxBurstMs) {
        this.#quietJobsPerMs = before.burstJobs / (before.at - before.burstFrom)
        this.#phase = quietPhase(this.#phase.at)
      }
    }
    for (const number of this.#buckets.keys())
      if (number * bucketMs < until - historyMs) this.#buckets.delete(number)
    return ended
  }

  /**
   * Returns the start of the burst that is under way and its level in cores, judged by all arrivals
   * so far; undefined outside bursts.
   */
  currentBurst(now: number): { from: number; cores: number } | undefined {
    let phase = this.#phase
    while (phase.at < now) phase = this.#advance(phase, Math.min(bucketMs, now - phase.at))
    if (phase.burstFrom === undefined) return undefined
    return { from: phase.burstFrom, cores: this.#levelOf(phase.burstFrom, now) }
  }

  /** Work that arrived in the time span that contains `at`, in core-milliseconds. */
  coreMsIn(at: number): number {
    const bucket = this.#buckets.get(Math.floor(at / bucketMs))
    return bucket === undefined ? 0 : Math.max(bucket.coreMs, bucket.savedCoreMs)
  }

  encode(): PoolArrivalsState {
    const buckets = [...this.#buckets.keys()]
      .sort((a, b) => a - b)
      .map((number): [number, number, number] => {
        const at = number * bucketMs
        return [number, this.#jobsIn(at), Math.round(this.coreMsIn(at))]
      })
    return {
      buckets,
      phase: this.#phase,
      quietJobsPerMs: this.#quietJobsPerMs,
      ...(this.#burst === undefined ? {} : { burst: this.#burst }),
      jobs: this.#jobs,
      jobCoreMs: this.#jobCoreMs,
      pathMs: this.#pathMs,
    }
  }

  #jobsIn(at: number): number {
    const bucket = this.#buckets.get(Math.floor(at / bucketMs))
    return bucket === undefined ? 0 : Math.max(bucket.jobs, bucket.savedJobs)
  }

  /** Judges the arrivals of one time span, or of its part up to now. */
  #advance(phase: Phase, ms: number): Phase {
    const jobs = this.#jobsIn(phase.at)
    const coreMs = this.coreMsIn(phase.at)
    const at = phase.at + ms
    const quietRate = Math.max(minQuietJobsPerMs, this.#quietJobsPerMs)
    const burstRate = this.#burstRate(phase, quietRate)
    const forBurst = jobs * Math.log(burstRate / quietRate) - (burstRate - quietRate) * ms
    const isBurst = phase.burstFrom !== undefined
    const evidence = Math.max(0, phase.evidence + (isBurst ? -forBurst : forBurst))
    let changeAt = phase.evidence > 0 ? phase.changeAt : phase.at
    if (evidence === 0) changeAt = at
    const sums =
      evidence === 0 && !isBurst
        ? { burstJobs: 0, burstCoreMs: 0 }
        : { burstJobs: phase.burstJobs + jobs, burstCoreMs: phase.burstCoreMs + coreMs }
    if (!isBurst) {
      if (evidence < riseEvidence) return { at, evidence, changeAt, ...sums }
      return { at, evidence: 0, changeAt: at, burstFrom: changeAt, ...sums }
    }
    if (evidence < fallEvidence) return { ...phase, at, evidence, changeAt, ...sums }
    return { at, evidence: 0, changeAt, burstJobs: 0, burstCoreMs: 0 }
  }

  #burstRate({ burstFrom, at, burstJobs }: Phase, quietRate: number): number {
    const known = this.#burst?.jobsPerMs ?? Math.max(minBurstJobsPerMs, assumedRise * quietRate)
    // At least twice the rate outside bursts, as rates that hardly differ can't be told apart.
    const least = Math.max(known, 2 * quietRate)
    if (burstFrom === undefined) return least
    const measured = (burstJobs + levelPriorJobs) / (at - burstFrom + levelPriorJobs / least)
    return Math.max(measured, 2 * quietRate)
  }

  #levelOf(burstFrom: number, now: number): number {
    const from = Math.max(burstFrom, startOf(now - levelWindowMs))
    let coreMs = 0
    let jobs = 0
    for (let at = from; at < now; at += bucketMs) {
      coreMs += this.coreMsIn(at)
      jobs += this.#jobsIn(at)
    }
    // The burst was noticed because of its first job, which therefore says nothing of its rate.
    if (from === burstFrom && jobs > 0) coreMs *= (jobs - 1) / jobs
    const elapsedMs = Math.max(2 * bucketMs, now - from)
    if (this.#burst === undefined) return coreMs / elapsedMs
    const priorMs = levelPriorJobs / this.#burst.jobsPerMs
    return (coreMs + this.#burst.cores * priorMs) / (elapsedMs + priorMs)
  }

  #endBurst({ burstFrom, burstJobs, burstCoreMs }: Phase, until: number): EndedBurst | undefined {
    if (burstFrom === undefined || until - burstFrom < minBurstMs) return undefined
    const ms = until - burstFrom
    const seen = { jobsPerMs: burstJobs / ms, cores: burstCoreMs / ms }
    this.#burst =
      this.#burst === undefined
        ? seen
        : {
            jobsPerMs: (this.#burst.jobsPerMs + seen.jobsPerMs) / 2,
            cores: (this.#burst.cores + seen.cores) / 2,
          }
    return { from: burstFrom, until, cores: seen.cores }
  }
}

function startOf(at: number): number {
  return Math.floor(at / bucketMs) * bucketMs
}

function quietPhase(at: number): Phase {
  return { at, evidence: 0, changeAt: at, burstJobs: 0, burstCoreMs: 0 }
}
