import {
  decodeLoadView,
  loadKey,
  type JobQueue,
  type JobSubmission,
  type LoadView,
  type SchedulerConfiguration,
} from '@bulrushbridge/scheduler'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import { decideAdmission, minViewAgeMs, type AdmissionDecision } from './admission-decision.js'
import { createRejectionReview } from './rejection-review.js'
import { createReturnSchedule } from './return-schedule.js'

/** Time for which work counts as having waited recently, in milliseconds. */
const recentlyWaitedMs = 5_000

/** Least time between two log lines about rejections, in milliseconds. */
const logIntervalMs = 1_000

/** A row of the table `load`, or its deletion. */
export interface LoadRow {
  key: string
  value: unknown
  isDeleted: boolean
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  log: Logger
  metrics: Metrics
  /** Milliseconds of a clock that never goes back; `performance.now` by default. */
  now?: () => number
  /** Unix milliseconds; `Date.now` by default. */
  wallNow?: () => number
}

/** A submission that is decided on. */
export interface AdmissionRequest {
  id: string
  cfg: SchedulerConfiguration
  queue: JobQueue
  organisation: string | undefined
  job: JobSubmission
}

/** A decision that a job cannot be done in time. */
export type Rejection = Extract<AdmissionDecision, { isRejected: true }> & {
  request: AdmissionRequest
  hosts: number
}

/** Decides by the dispatcher's view of the load which submissions are rejected. */
export interface Admission {
  /** Applies rows of the table `load`, with the time of the store when it answered, if it is known. */
  applyRows(rows: readonly LoadRow[], storeTimeMs?: number): void
  /** Whether work waits in any queue, or did within the last seconds. */
  hasWaitedRecently(): boolean
  /** Returns the rejection of a job that cannot be done in time; undefined for any other job. */
  check(request: AdmissionRequest): Rejection | undefined
  /** Counts and logs a rejection that is sent; returns after how many milliseconds the caller may return. */
  reject(rejection: Rejection): number
}

/**
 * Creates the admission of jobs of one entry host. It rejects nothing until it has a view of the load.
 *
 * @example
 * const admission = createAdmission({ log, metrics })
 * const rejection = admission.check({ id, cfg, queue, organisation, job })
 */
export function createAdmission(opts: AdmissionOptions): Admission {
  return new ViewAdmission(opts)
}

class ViewAdmission implements Admission {
  readonly #opts: AdmissionOptions
  readonly #now: () => number
  readonly #wallNow: () => number
  readonly #schedule = createReturnSchedule()
  readonly #review
  #view: LoadView | undefined
  /** When the view arrived. */
  #arrivedAt = 0
  /** Age of the view by the clock of the store when it arrived, in milliseconds. */
  #storeAgeMs: number | undefined
  #newestTerm = 0
  #waitedAt = Number.NEGATIVE_INFINITY
  #isMalformed = false
  #rejectedSinceLog = 0
  #loggedAt = Number.NEGATIVE_INFINITY

  constructor(opts: AdmissionOptions) {
    this.#opts = opts
    this.#now = opts.now ?? performance.now.bind(performance)
    this.#wallNow = opts.wallNow ?? Date.now
    this.#review = createRejectionReview((queue, verdict) => {
      opts.metrics.count('bulrush_early_rejections_reviewed_total', { queue, verdict })
    })
    opts.metrics.gauge('bulrush_load_view_age_ms', 'Age of the view of the load of queues', () =>
      this.#view === undefined ? [] : [{ value: this.#ageMs(this.#view) }],
    )
  }

  applyRows(rows: readonly LoadRow[], storeTimeMs?: number): void {
    for (const { key, value, isDeleted } of rows) {
      if (key !== loadKey) continue
      const view = isDeleted ? undefined : decodeLoadView(value)
      if (view === undefined) {
        if (!isDeleted && !this.#isMalformed)
          this.#opts.log.warn('load of queues is malformed; no job is rejected by it', { key })
        this.#isMalformed = !isDeleted
        this.#view = undefined
      } else {
        this.#isMalformed = false
        this.#applyView(view, storeTimeMs)
      }
    }
  }

  hasWaitedRecently(): boolean {
    return this.#now() - this.#waitedAt <= recentlyWaitedMs
  }

  check(request: AdmissionRequest): Rejection | undefined {
    const { cfg, queue, organisation = '', job } = request
    const view = this.#view
    const decision = decideAdmission({
      view,
      ageMs: view === undefined ? 0 : this.#ageMs(view),
      newestTerm: this.#newestTerm,
      queue,
      organisation,
      organisations: cfg.organisations,
      steps: job.steps,
      isScheduled: job.schedule !== undefined,
    })
    if (!decision.isRejected) {
      this.#opts.metrics.count('bulrush_admissions_total', { reason: decision.reason })
      return undefined
    }
    return { ...decision, request, hosts: view?.hosts ?? 1 }
  }

  reject({ request, waitMs, workMs, hosts, inputs }: Rejection): number {
    const { id, queue, organisation = '' } = request
    const now = this.#now()
    const key = JSON.stringify([queue.name, organisation])
    const retryAfterMs = this.#schedule.next({ key, id, waitMs, workMs, hosts, now })
    const latestStartAt = now + inputs.latestStartMs
    this.#review.add({ queue, organisation, latestStartAt })
    this.#opts.metrics.count('bulrush_early_rejections_total', { queue: queue.name })
    this.#rejectedSinceLog += 1
    if (now - this.#loggedAt >= logIntervalMs) {
      this.#opts.log.info('job rejected early', {
        job: id,
        queue: queue.name,
        organisation,
        ...inputs,
        waitMs: Math.round(waitMs),
        retryAfterMs: Math.round(retryAfterMs),
        rejected: this.#rejectedSinceLog,
      })
      this.#rejectedSinceLog = 0
      this.#loggedAt = now
    }
    return retryAfterMs
  }

  /** A view that a late transaction has stored after a newer one is ignored. */
  #applyView(view: LoadView, storeTimeMs: number | undefined): void {
    const known = this.#view
    if (view.term < this.#newestTerm) return
    if (known?.term === view.term && view.number <= known.number) return
    this.#view = view
    this.#newestTerm = view.term
    this.#arrivedAt = this.#now()
    this.#storeAgeMs =
      storeTimeMs === undefined || view.storeAt === null ? undefined : storeTimeMs - view.storeAt
    if (view.queues.length > 0) this.#waitedAt = this.#arrivedAt
    this.#review.applyView(view, this.#arrivedAt)
  }

  /**
   * The longest of the ages by the clocks of the hosts, by that of the store, and since the view arrived. By
   * the hosts alone, it is negative for a view from the future, whose age cannot be told.
   */
  #ageMs(view: LoadView): number {
    const ageMs = this.#wallNow() - view.at
    if (this.#storeAgeMs === undefined && ageMs < minViewAgeMs) return ageMs
    const sinceArrivalMs = this.#now() - this.#arrivedAt
    return Math.max(ageMs, (this.#storeAgeMs ?? 0) + sinceArrivalMs)
  }
}
