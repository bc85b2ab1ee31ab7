import { normalizeError } from '@bulrushbridge/errors'
import {
  cancelSuffix,
  jobSchema,
  jobsTable,
  JobState,
  partOf,
  type ListedEnd,
  type Progress,
  type Task,
} from '@bulrushbridge/scheduler'
import type { ChangedRow } from '@bulrushbridge/store'
import { createOccupant, type Occupant } from './occupant.js'
import { applyEnd, findTask, type EndContext } from './run-ends.js'
import type { DeathCause, RunnerSession, SessionEvents } from './runner-session.js'
import { queuesOf, type TermContext } from './term-context.js'

/** Time for which ended jobs are remembered, longer than any answer of the store takes; in ms. */
const endedKeptMs = 30_000

/** Options of {@link JobRuns}. */
export interface JobRunsOptions {
  ctx: TermContext
  /** Opens the session of a runner that is not registered. */
  openSession: (runnerId: string) => RunnerSession
  /** Told of each job that is forgotten. */
  onForgotten: (jobId: string) => void
}

/** The jobs of a term and what becomes of their runs. */
export class JobRuns {
  /** Stored progress at the takeover; emptied once the jobs have been read. */
  readonly progress = new Map<string, Progress>()
  readonly #ctx: TermContext
  readonly #openSession: (runnerId: string) => RunnerSession
  readonly #onForgotten: (jobId: string) => void
  readonly #endContext: EndContext
  /** Jobs that ended a moment ago, with the time at which they were forgotten. */
  readonly #ended = new Map<string, number>()

  constructor({ ctx, openSession, onForgotten }: JobRunsOptions) {
    this.#ctx = ctx
    this.#openSession = openSession
    this.#onForgotten = onForgotten
    this.#endContext = {
      jobs: ctx.jobs,
      queueOf: job => queuesOf(ctx).get(job.job.queue),
      health: ctx.health,
      times: ctx.times,
      wallNow: Date.now,
    }
  }

  /** Drops what is remembered of jobs that ended long ago. */
  prune(): void {
    const now = performance.now()
    for (const [id, at] of this.#ended) if (now - at > endedKeptMs) this.#ended.delete(id)
  }

  /** Takes a row of the accepted jobs: a job or its cancellation. */
  takeRow({ key, value, isDeleted }: ChangedRow): void {
    if (isDeleted) return
    if (key.endsWith(cancelSuffix)) {
      this.#cancel(key.slice(0, -cancelSuffix.length))
      return
    }
    // A change that was told before the row went must not bring an ended job back.
    if (this.#ctx.jobs.has(key) || this.#ended.has(key)) return
    const parsed = jobSchema.safeParse(value)
    if (!parsed.success) {
      this.#ctx.opts.log.error('job unreadable', { job: key })
      return
    }
    const job = new JobState(parsed.data, this.progress.get(key))
    this.#ctx.jobs.set(key, job)
    for (const task of job.runningTasks()) this.#restoreRun(task)
    const { queue, organisation, acceptedAt } = parsed.data
    const ageMs = Date.now() - acceptedAt
    this.#ctx.opts.log.info('job taken', {
      job: key,
      queue,
      organisation,
      status: job.status,
      ageMs,
    })
  }

  /** A run that an earlier term recorded: it may be under way until its runner says otherwise. */
  #restoreRun(task: Task): void {
    const { run } = task
    if (run === undefined) return
    const session = this.#ctx.sessions.get(run.runnerId) ?? this.#openSession(run.runnerId)
    session.add(createOccupant(task, run.runnerBornAt))
  }

  /** What runners' sessions report. */
  events(): SessionEvents {
    return {
      onEnd: (session, end, occupant) => this.#onEnd(session, end, occupant),
      onDeath: (session, occupant, cause) => {
        this.onDeath(session, occupant, cause)
      },
      onStranger: (session, name, run) => {
        const task = findTask(this.#ctx.jobs, name)
        this.#ctx.opts.log.warn('unexpected run stopped', { runner: session.id, task: name, run })
        return createOccupant(task, session.bornAt, { name, run })
      },
      onChange: () => {
        this.#ctx.requestPass()
      },
      onFenced: () => {
        this.#ctx.onFenced()
      },
      onConfirmed: (session, occupant) => {
        const { log, metrics } = this.#ctx.opts
        const { name, run, task, orderedAt } = occupant
        if (task?.step.job.isFinal === true) void session.stop(occupant)
        if (orderedAt === undefined) return
        metrics.observe('bulrush_start_ms', {}, performance.now() - orderedAt)
        log.info('run started', { task: name, run, runner: session.id })
      },
      onOccupancy: (occupant, times) => {
        this.#ctx.usage.change(occupant, times)
      },
    }
  }

  async #onEnd(
    session: RunnerSession,
    end: ListedEnd,
    occupant: Occupant | undefined,
  ): Promise<void> {
    const { log, metrics } = this.#ctx.opts
    const applied = applyEnd(this.#endContext, session.id, end, occupant)
    const { task, run, how } = end
    const jobStatus = applied.job?.status
    const ranMs = sinceMs(occupant?.confirmedAt)
    log.info('run ended', { task, run, runner: session.id, how, jobStatus, ranMs })
    metrics.count('bulrush_runs_ended_total', { how })
    if (applied.isRunnerClosed) log.warn('runner closed after failures', { runner: session.id })
    const { job } = applied
    if (job === undefined) return
    if (applied.stopJob || job.isFinal) this.#stopRuns(job)
    if (applied.stopTask !== undefined) this.#stopOtherRuns(applied.stopTask)
    if (job.isFinal) this.#logOutcome(job)
    this.#ctx.requestPass()
    await this.#ctx.store(job)
    this.#forgetEnded(job)
  }

  /** A run is over without an end that its runner listed. */
  onDeath(session: RunnerSession, occupant: Occupant, cause: DeathCause): void {
    const { name, run, task } = occupant
    this.#ctx.opts.log.info('run over', { task: name, run, runner: session.id, cause })
    this.#ctx.opts.metrics.count('bulrush_runs_ended_total', { how: cause })
    if (task?.run?.number !== run || task.run.runnerId !== session.id) return
    task.step.job.giveUpRun(task)
    void this.#ctx.store(task.step.job)
    this.#ctx.requestPass()
  }

  #cancel(id: string): void {
    const job = this.#ctx.jobs.get(id)
    if (job === undefined) {
      void this.#dropCancellation(id)
      return
    }
    if (job.isCancelled) return
    job.isCancelled = true
    if (!job.isFinal) {
      job.end('cancelled', Date.now())
      this.#logOutcome(job)
      this.#stopRuns(job)
    }
    void this.#ctx.store(job).then(() => {
      this.#forgetEnded(job)
    })
  }

  /** The job ended before its cancellation was read. */
  async #dropCancellation(id: string): Promise<void> {
    const part = partOf(id)
    const write = { table: jobsTable, part, key: `${id}${cancelSuffix}`, value: null }
    try {
      await this.#ctx.opts.store.commit({ checks: [], writes: [write] }, { part })
    } catch (err) {
      // The next dispatcher reads the row again and drops it then.
      this.#ctx.opts.log.warn('cancellation not dropped', {
        job: id,
        reason: normalizeError(err).message,
      })
    }
  }

  #stopRuns(job: JobState): void {
    for (const task of job.runningTasks()) this.#stopOtherRuns(task)
  }

  #stopOtherRuns(task: Task): void {
    for (const session of this.#ctx.sessions.values()) {
      for (const occupant of session.occupants.values()) {
        if (occupant.task === task && occupant.state !== 'recorded') void session.stop(occupant)
      }
    }
  }

  /** A job at its end without runs needs no memory: what runners list of it later needs no storing. */
  #forgetEnded(job: JobState): void {
    if (!job.isFinal || job.runningTasks().next().done !== true) return
    this.#ctx.jobs.delete(job.job.id)
    this.#ended.set(job.job.id, performance.now())
    this.#onForgotten(job.job.id)
  }

  #logOutcome(job: JobState): void {
    const { id, queue, acceptedAt } = job.job
    const tookMs = Date.now() - acceptedAt
    this.#ctx.opts.log.info('job over', { job: id, queue, status: job.status, tookMs })
    this.#ctx.opts.metrics.count('bulrush_jobs_ended_total', { queue, status: job.status })
    this.#ctx.opts.metrics.observe('bulrush_job_ms', { queue }, tookMs)
  }
}

function sinceMs(at: number | undefined): number | undefined {
  return at === undefined ? undefined : Math.round(performance.now() - at)
}
