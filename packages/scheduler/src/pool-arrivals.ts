import { z } from 'zod'
import { ArrivalBuckets, bucketMs, startOfBucket, type Arrived } from './arrival-buckets.js'

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

/**
 * A rise that is shorter or has fewer jobs is not learned from: a few jobs that arrived together by
 * chance. While the rate outside bursts is unknown, six such jobs were taken for a burst.
 */
const minBurstMs = 500
const minBurstJobs = 12

/** A longer rise is a new steady rate, not a burst. */
const maxBurstMs = 30_000

/** Time over which the present rate of arrivals is measured, in milliseconds. */
const levelWindowMs = 2_000

/** Number of jobs that the level of earlier bursts counts for in the level of the current one. */
const levelPriorJobs = 8

/** Longest time that these jobs count for, in milliseconds, so that a higher burst is soon known. */
const maxLevelPriorMs = 300

/** Time that a job takes if nothing is known, in milliseconds. */
const defaultPathMs = 1_500

const phaseSchema = z.object({
  /** Time up to which arrivals have been judged. */
  at: z.number(),
  /** Time of the last change of the phase. */
  since: z.number(),
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
  readonly #buckets: ArrivalBuckets
  #phase: Phase
  #quietJobsPerMs: number
  #burst: { jobsPerMs: number; cores: number } | undefined
  #jobs: number
  #jobCoreMs: number
  #pathMs: number

  constructor(at: number, saved?: PoolArrivalsState) {
    // Jobs may be added in any order, so the first one need not be the earliest.
    this.#phase = saved?.phase ?? quietPhase(startOfBucket(at - levelWindowMs))
    this.#quietJobsPerMs = saved?.quietJobsPerMs ?? 5 * minQuietJobsPerMs
    this.#burst = saved?.burst
    this.#jobs = saved?.jobs ?? 0
    this.#jobCoreMs = saved?.jobCoreMs ?? 0
    this.#pathMs = saved?.pathMs ?? defaultPathMs
    this.#buckets = new ArrivalBuckets(saved?.buckets)
  }

  /** Mean time for which the work of a job keeps cores busy, in milliseconds. */
  get pathMs(): number {
    return this.#pathMs
  }

  /** Mean arrival rate of work in the bursts seen, in cores; undefined before the first one. */
  get burstCores(): number | undefined {
    return this.#burst?.cores
  }

  /**
   * Arrival rate of work outside bursts, in cores. Half of it is what arrived lately, so that a steady
   * demand that has changed is followed within seconds.
   */
  quietCores(now: number): number {
    const phase = this.#phaseAt(now)
    const since = phase.burstFrom === undefined ? phase.since : now
    const { coreMs, elapsedMs } = this.#arrivedSince(since, now)
    const usualCoreMs = this.#quietJobsPerMs * this.#jobCoreMs * levelWindowMs
    return (usualCoreMs + coreMs) / (levelWindowMs + elapsedMs)
  }

  /** Adds a job with its work and the time that it takes. */
  add(at: number, coreMs: number, pathMs: number | undefined): void {
    this.#jobs += 1
    const weight = Math.max(0.02, 1 / this.#jobs)
    this.#jobCoreMs += weight * (coreMs - this.#jobCoreMs)
    if (pathMs !== undefined) this.#pathMs += weight * (Math.max(bucketMs, pathMs) - this.#pathMs)
    // A job older than the history is only seen at a takeover and says nothing of the present.
    if (at < this.#phase.at - historyMs) return
    this.#buckets.add(at, coreMs)
  }

  /** Judges the arrivals that are final; returns the bursts that have ended in them. */
  settle(now: number): EndedBurst[] {
    const ended: EndedBurst[] = []
    const until = startOfBucket(now - settleMs)
    // After a pause without a dispatcher, arrivals are unknown, and an earlier burst is over.
    // So are arrivals after a clock was set back.
    if (Math.abs(until - this.#phase.at) > historyMs) this.#phase = quietPhase(until - historyMs)
    while (this.#phase.at + bucketMs <= until) {
      const before = this.#phase
      const { jobs } = this.#buckets.in(before.at)
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
    this.#buckets.deleteBefore(until - historyMs)
    return ended
  }

  /**
   * Returns the start of the burst that is under way and its level in cores, judged by all arrivals
   * so far; undefined outside bursts.
   */
  currentBurst(now: number): { from: number; cores: number } | undefined {
    const { burstFrom } = this.#phaseAt(now)
    if (burstFrom === undefined) return undefined
    return { from: burstFrom, cores: this.#levelOf(burstFrom, now) }
  }

  /** Returns what arrived in the time span that contains `at`. */
  arrivedIn(at: number): Arrived {
    return this.#buckets.in(at)
  }

  encode(): PoolArrivalsState {
    return {
      buckets: this.#buckets.encode(),
      phase: this.#phase,
      quietJobsPerMs: this.#quietJobsPerMs,
      ...(this.#burst === undefined ? {} : { burst: this.#burst }),
      jobs: this.#jobs,
      jobCoreMs: this.#jobCoreMs,
      pathMs: this.#pathMs,
    }
  }

  /** The phase as judged by all arrivals so far, final or not. */
  #phaseAt(now: number): Phase {
    let phase = this.#phase
    while (phase.at < now) phase = this.#advance(phase, Math.min(bucketMs, now - phase.at))
    return phase
  }

  /** Judges the arrivals of one time span, or of its part up to now. */
  #advance(phase: Phase, ms: number): Phase {
    const { jobs, coreMs } = this.#buckets.in(phase.at)
    const at = phase.at + ms
    const quietRate = Math.max(minQuietJobsPerMs, this.#quietJobsPerMs)
    const burstRate = this.#burstRate(phase, quietRate)
    const forBurst = jobs * Math.log(burstRate / quietRate) - (burstRate - quietRate) * ms
    const isBurst = phase.burstFrom !== undefined
    const evidence = Math.max(0, phase.evidence + (isBurst ? -forBurst : forBurst))
    let changeAt = phase.evidence > 0 ? phase.changeAt : phase.at
    if (evidence === 0) changeAt = at
    if (!isBurst) {
      if (evidence < riseEvidence) return { ...phase, at, evidence, changeAt }
      const from = this.#likeliestStart(changeAt, at, quietRate)
      const arrived = this.#buckets.between(from, at)
      return { ...quietPhase(at), since: from, burstFrom: from, ...sumsOf(arrived) }
    }
    const sums = sumsOf({ jobs: phase.burstJobs + jobs, coreMs: phase.burstCoreMs + coreMs })
    if (evidence < fallEvidence) return { ...phase, at, evidence, changeAt, ...sums }
    return { ...quietPhase(at), since: changeAt, changeAt }
  }

  /**
   * Start of the time up to `until` in which the number of jobs is the least likely at the rate outside
   * bursts. The evidence alone may start with an ordinary job shortly before the burst.
   */
  #likeliestStart(from: number, until: number, quietRate: number): number {
    let best = { at: from, score: 0 }
    for (let at = from; at < until; at += bucketMs) {
      const { jobs } = this.#buckets.between(at, until)
      const usualJobs = quietRate * (until - at)
      const score = jobs === 0 ? 0 : jobs * Math.log(jobs / usualJobs) - (jobs - usualJobs)
      if (score > best.score) best = { at, score }
    }
    return best.at
  }

  #burstRate({ burstFrom, at, burstJobs }: Phase, quietRate: number): number {
    const known = this.#burst?.jobsPerMs ?? Math.max(minBurstJobsPerMs, assumedRise * quietRate)
    // At least twice the rate outside bursts, as rates that hardly differ can't be told apart.
    const least = Math.max(known, 2 * quietRate)
    if (burstFrom === undefined) return least
    const measured = (burstJobs + levelPriorJobs) / (at - burstFrom + levelPriorJobs / least)
    return Math.max(measured, 2 * quietRate)
  }

  /** What arrived within {@link levelWindowMs}, but not before `since`. */
  #arrivedSince(since: number, now: number): Arrived & { elapsedMs: number } {
    const from = Math.max(since, startOfBucket(now - levelWindowMs))
    return { ...this.#buckets.between(from, now), elapsedMs: Math.max(0, now - from) }
  }

  #levelOf(burstFrom: number, now: number): number {
    const arrived = this.#arrivedSince(burstFrom, now)
    const isYoung = now - burstFrom < levelWindowMs
    // The burst was noticed because of its first job, which therefore says nothing of its rate.
    const countedFraction = isYoung ? (arrived.jobs - 1) / Math.max(1, arrived.jobs) : 1
    const coreMs = arrived.coreMs * Math.max(0, countedFraction)
    const elapsedMs = Math.max(2 * bucketMs, arrived.elapsedMs)
    if (this.#burst === undefined) return coreMs / elapsedMs
    const priorMs = Math.min(maxLevelPriorMs, levelPriorJobs / this.#burst.jobsPerMs)
    return (coreMs + this.#burst.cores * priorMs) / (elapsedMs + priorMs)
  }

  #endBurst({ burstFrom, burstJobs, burstCoreMs }: Phase, until: number): EndedBurst | undefined {
    if (burstFrom === undefined) return undefined
    const ms = until - burstFrom
    if (ms < minBurstMs || burstJobs < minBurstJobs) return undefined
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

function sumsOf({ jobs, coreMs }: Arrived): Pick<Phase, 'burstJobs' | 'burstCoreMs'> {
  return { burstJobs: jobs, burstCoreMs: coreMs }
}

function quietPhase(at: number): Phase {
  return { at, since: at, evidence: 0, changeAt: at, burstJobs: 0, burstCoreMs: 0 }
}
