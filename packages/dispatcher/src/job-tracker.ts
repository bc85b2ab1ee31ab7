import { normalizeError } from '@bulrushbridge/errors'
import {
  cancelSuffix,
  acceptedJobsTable,
  JobExecution,
  maxCrashes,
  partOf,
  trustedRunMs,
  type JobDefinition,
  type ReportedEnd,
  type Task,
} from '@bulrushbridge/scheduler'
import type { ChangedRow } from '@bulrushbridge/store'
import { allocationKey, createAllocation, type Allocation } from './allocation.js'
import { createJobLoader, type JobLoader, type LoadedJob } from './job-loader.js'
import { bytesPerOccurrence, runBytes } from './memory-budget.js'
import { applyEnd, findTask, type EndContext, type RunToStop } from './run-ends.js'
import { createRunObserver } from './run-observer.js'
import type { GiveUpCause, RunnerSession, SessionEvents } from './runner-session.js'
import type { EarlierProgress } from './read-progress.js'
import { queuesOf, type TermContext } from './term-context.js'

/** Time for which ended jobs are remembered, in ms; longer than any answer of the store takes. */
const endedKeptMs = 30_000

/** Longest time until it is stored that a job has begun, in ms; the number of waiting jobs may be 2 s old. */
const begunStoreDelayMs = 1_000

/** Options of {@link JobTracker}. */
export interface JobTrackerOptions {
  ctx: TermContext
  /** Opens the session of a runner that is not registered. */
  openSession: (runnerId: string) => RunnerSession
  /** Called for each job that was loaded. */
  onJobLoaded: (job: JobDefinition) => void
  /** Called for each job that ended and was removed from memory. */
  onJobForgotten: (jobId: string) => void
}

/**
 * Loads the jobs of a term and their cancellations from the jobs table, and applies what happens
 * to the jobs' runs: listed ends, runs that are given up, and unexpected runs.
 */
export class JobTracker {
  /** Progress read from the store at the takeover; emptied once the jobs have been read. */
  readonly earlierProgress: EarlierProgress = new Map()
  readonly #ctx: TermContext
  readonly #openSession: (runnerId: string) => RunnerSession
  readonly #onJobLoaded: (job: JobDefinition) => void
  readonly #onJobForgotten: (jobId: string) => void
  readonly #endContext: EndContext
  readonly #loader: JobLoader
  /** Jobs that have begun, which may not be stored yet. */
  readonly #begunJobs = new Set<JobExecution>()
  #begunTimer: NodeJS.Timeout | undefined
  /** Jobs that were cancelled before they were loaded. */
  readonly #cancelledEarly = new Set<string>()
  /** Jobs that ended recently, with the time at which they were removed from memory. */
  readonly #recentlyEnded = new Map<string, number>()

  constructor({ ctx, openSession, onJobLoaded, onJobForgotten }: JobTrackerOptions) {
    this.#ctx = ctx
    this.#openSession = openSession
    this.#onJobLoaded = onJobLoaded
    this.#onJobForgotten = onJobForgotten
    this.#loader = createJobLoader({
      ...ctx.opts,
      memory: ctx.memory,
      onLoaded: job => {
        this.#addJob(job)
      },
    })
    const observer = createRunObserver({ ...ctx, ...ctx.opts })
    this.#endContext = {
      jobs: ctx.jobs,
      queueOf: job => queuesOf(ctx).get(job.definition.queue),
      runnerFailures: ctx.runnerFailures,
      onRunDone: (runnerId, task, ms, now) => {
        observer.observe(runnerId, task, ms, now)
      },
      wallNow: Date.now,
    }
  }

  /** Forgets the ids of jobs that were removed from memory more than `endedKeptMs` ago. */
  removeOldEndedIds(): void {
    const now = performance.now()
    for (const [id, at] of this.#recentlyEnded)
      if (now - at > endedKeptMs) this.#recentlyEnded.delete(id)
  }

  /** Applies a row of the jobs table: a job or its cancellation. */
  applyRow({ key, value, isDeleted }: ChangedRow): void {
    if (isDeleted) return
    if (key.endsWith(cancelSuffix)) {
      this.#cancel(key.slice(0, -cancelSuffix.length))
      return
    }
    // A change that was read before the row was deleted must not bring back an ended job.
    if (this.#ctx.jobs.has(key) || this.#recentlyEnded.has(key)) return
    this.#loader.add(key, value, this.earlierProgress.get(key) ?? {})
    // Only now, because a row that could not be applied is applied once more.
    this.earlierProgress.delete(key)
  }

  /** Loads jobs that waited for memory, if there is room now. */
  loadWaiting(): void {
    this.#loader.loadWaiting()
  }

  /** Resolves when all jobs that have run before are in memory. */
  whenStartedJobsLoaded(): Promise<void> {
    return this.#loader.whenStartedJobsLoaded()
  }

  close(): void {
    clearTimeout(this.#begunTimer)
    this.#loader.close()
  }

  #addJob({ definition, chunks, progress, blocks }: LoadedJob): void {
    const { id } = definition
    const job = new JobExecution(definition, progress, blocks)
    job.definitionChunks = chunks
    this.#ctx.jobs.set(id, job)
    this.#ctx.guaranteed.noteAccepted(definition)
    this.#countOccurrences(job)
    for (const task of job.tasksWithRun()) this.#restoreRun(task)
    const { queue, organisation, acceptedAt } = definition
    const ageMs = Date.now() - acceptedAt
    const { status } = job
    const { log } = this.#ctx.opts
    const counts = { chunks, blocks: blocks?.length }
    log.info('job loaded', { job: id, queue, organisation, status, ageMs, ...counts })
    const [first] = job.stepsWithLostBlocks
    if (first !== undefined)
      log.warn('steps taken for done, their stored tasks are missing', {
        job: id,
        steps: job.stepsWithLostBlocks.length,
        first: first.name,
      })
    this.#onJobLoaded(definition)
    // Its last rows were stored in part: they say that it has ended, but not that nothing of it runs.
    if (job.hasEnded && !job.hasRuns) this.#storeAndForget(job)
    this.#ctx.requestPass()
    if (this.#cancelledEarly.delete(id)) this.#cancel(id)
  }

  /** Counts the memory of a job's further open occurrences; that of the first one is counted with the job. */
  #countOccurrences(job: JobExecution): void {
    const { memory } = this.#ctx
    const { organisation = '' } = job.definition
    const bytes = bytesPerOccurrence(job.definition)
    job.onOccurrenceComplete = () => {
      memory.release(organisation, bytes, 'occurrence')
    }
    const others = Math.max(0, job.openOccurrences.size - 1)
    if (others > 0) memory.take(organisation, bytes * others, 'occurrence')
  }

  /** Adds the allocation of a run that an earlier term recorded; it may be running. */
  #restoreRun(task: Task): void {
    const { run } = task
    if (run === undefined) return
    const session = this.#ctx.sessions.get(run.runnerId) ?? this.#openSession(run.runnerId)
    const allocation = createAllocation(task, run.runnerStartedAt)
    allocation.mayHaveStarted = true
    session.add(allocation)
  }

  /** Handlers for the events of runner sessions. */
  events(): SessionEvents {
    return {
      onEnd: (session, end, allocation) => this.#onEnd(session, end, allocation),
      onRunGivenUp: (session, allocation, cause) => {
        this.onRunGivenUp(session, allocation, cause)
      },
      onRunsLost: (session, allocations) => {
        for (const allocation of allocations) this.#recordCrash(session, allocation)
      },
      allocateUnexpectedRun: (session, name, run) => {
        const task = findTask(this.#ctx.jobs, name)
        this.#ctx.opts.log.warn('unexpected run found, it will be stopped', {
          runner: session.id,
          task: name,
          run,
        })
        return createAllocation(task, session.runnerStartedAt, { name, run })
      },
      onChange: () => {
        this.#ctx.requestPass()
      },
      onFenced: () => {
        this.#ctx.onFenced()
      },
      onStartConfirmed: (session, allocation) => {
        const { log, metrics } = this.#ctx.opts
        const { taskName, runNumber, task, orderedAt } = allocation
        if (task?.step.job.hasEnded === true && !isDoneInGang(task)) void session.stop(allocation)
        if (task?.step.job.markBegun() === true) this.#storeBegun(task.step.job)
        if (orderedAt === undefined) return
        const startMs = performance.now() - orderedAt
        metrics.observe('bulrush_start_ms', {}, startMs)
        this.#ctx.onStartConfirmed(startMs)
        log.info('run started', {
          task: taskName,
          run: runNumber,
          runner: session.id,
          runnerStartedAt: session.runnerStartedAt,
          pool: session.entry?.pool,
          // Together with the run itself, as the limit of tasks of a step on a runner counts them.
          stepTasks: task === undefined ? undefined : session.load.tasksByStep.get(task.step.name),
        })
      },
      onAllocationChange: (allocation, sign) => {
        const { usage, memory } = this.#ctx
        usage.add(allocation, sign)
        const { organisation = '' } = allocation.task?.step.job.definition ?? {}
        if (sign === 1) memory.take(organisation, runBytes, 'run')
        else memory.release(organisation, runBytes, 'run')
      },
    }
  }

  async #onEnd(
    session: RunnerSession,
    end: ReportedEnd,
    allocation: Allocation | undefined,
  ): Promise<void> {
    const { log, metrics } = this.#ctx.opts
    const hadJobEnded = findTask(this.#ctx.jobs, end.task)?.step.job.hasEnded === true
    if (end.how === 'done') session.lastDoneAt = performance.now()
    const applied = applyEnd(this.#endContext, session.id, end, allocation)
    const { task, run, how } = end
    const jobStatus = applied.job?.status
    const ranMs = sinceMs(allocation?.confirmedAt)
    log.info('run ended', { task, run, runner: session.id, how, jobStatus, ranMs })
    metrics.count('bulrush_runs_ended_total', { how })
    if (applied.isRunnerQuarantined)
      log.warn('runner quarantined after failures', { runner: session.id })
    const { job } = applied
    if (job === undefined) return
    if (applied.runToStop !== undefined) this.#stopRun(applied.runToStop)
    if (job.hasEnded && !hadJobEnded) {
      this.#logOutcome(job)
      this.#stopRuns(job)
    }
    this.#ctx.requestPass()
    await this.#ctx.storeJob(job)
    this.#forgetIfEnded(job)
  }

  /** Handles a run that was given up without an end listed by its runner. */
  onRunGivenUp(session: RunnerSession, allocation: Allocation, cause: GiveUpCause): void {
    const { taskName, runNumber, task } = allocation
    this.#ctx.opts.log.info('run given up, its runner listed no end', {
      task: taskName,
      run: runNumber,
      runner: session.id,
      cause,
    })
    this.#ctx.opts.metrics.count('bulrush_runs_ended_total', { how: cause })
    if (task?.run?.number !== runNumber || task.run.runnerId !== session.id) return
    const { job } = task.step
    job.abandonRun(task)
    this.#storeAndForget(job)
    this.#ctx.requestPass()
  }

  /**
   * Counts a crash of a runner against a task that ran there, and fails the task's job when the task
   * is the cause. The change is stored when the run is given up.
   */
  #recordCrash(session: RunnerSession, allocation: Allocation): void {
    const { task, runNumber, mayHaveStarted, confirmedAt } = allocation
    if (task?.run?.number !== runNumber || task.run.runnerId !== session.id) return
    const { job } = task.step
    if (!mayHaveStarted || job.hasEnded || task.isDone) return
    const lostAt = session.unreachableSince ?? performance.now()
    const ranMs = Math.round(lostAt - (confirmedAt ?? lostAt))
    if (ranMs >= trustedRunMs) {
      job.clearCrashes(task)
      return
    }
    job.recordCrash(task)
    const { name, crashes } = task
    if (crashes === 0) return
    const { log } = this.#ctx.opts
    log.info('runner lost under a task', { runner: session.id, task: name, crashes, ranMs })
    if (crashes < maxCrashes) return
    log.warn('job given up, its task crashes runners', { job: job.definition.id, task: name })
    job.end('failed', Date.now())
    this.#logOutcome(job)
    this.#stopRuns(job)
  }

  #cancel(id: string): void {
    const job = this.#ctx.jobs.get(id)
    if (job === undefined) {
      if (this.#loader.isWaiting(id)) {
        this.#cancelledEarly.add(id)
        this.#loader.hurry(id)
      } else void this.#deleteCancellation(id)
      return
    }
    if (job.isCancelled) return
    job.isCancelled = true
    if (!job.hasEnded) {
      job.end('cancelled', Date.now())
      this.#logOutcome(job)
      this.#stopRuns(job)
    }
    this.#storeAndForget(job)
  }

  /** Deletes the cancellation of a job that ended before the cancellation was read. */
  async #deleteCancellation(id: string): Promise<void> {
    const part = partOf(id)
    const write = { table: acceptedJobsTable, part, key: `${id}${cancelSuffix}`, value: null }
    try {
      await this.#ctx.opts.store.commit({ checks: [], writes: [write] }, { part })
    } catch (err) {
      // The next dispatcher reads the row again and deletes it then.
      this.#ctx.opts.log.warn('deleting the cancellation of an ended job failed', {
        job: id,
        reason: normalizeError(err).message,
      })
    }
  }

  /** Stops all runs of a job; those that are confirmed or listed later are stopped then. */
  #stopRuns(job: JobExecution): void {
    void this.#ctx.turns.forEach([...job.tasksWithRun()], ({ name, run }) => {
      if (run !== undefined) this.#stopRun({ task: name, run })
    })
  }

  /**
   * Stops the run of a task unless it is recorded only: its start has not been ordered in this term. If
   * the job has ended, `RunStarter` gives a recorded run up instead of ordering its start.
   */
  #stopRun({ task, run }: RunToStop): void {
    const session = this.#ctx.sessions.get(run.runnerId)
    const allocation = session?.allocations.get(allocationKey(task, run.number))
    if (session === undefined || allocation === undefined) return
    if (allocation.state !== 'recorded') void session.stop(allocation)
  }

  #storeAndForget(job: JobExecution): void {
    void this.#ctx.storeJob(job).then(() => {
      this.#forgetIfEnded(job)
    })
  }

  /** Removes an ended job without runs from memory; later run ends of it need not be stored. */
  #forgetIfEnded(job: JobExecution): void {
    if (!job.hasEnded || job.hasRuns) return
    const { id, organisation = '' } = job.definition
    // Each write of the job that is answered calls this.
    if (this.#ctx.jobs.get(id) !== job) return
    this.#ctx.jobs.delete(id)
    const others = Math.max(0, job.openOccurrences.size - 1)
    const bytes = others * bytesPerOccurrence(job.definition)
    if (others > 0) this.#ctx.memory.release(organisation, bytes, 'occurrence')
    this.#loader.remove(id)
    this.#recentlyEnded.set(id, performance.now())
    this.#onJobForgotten(id)
  }

  /**
   * Stores after a while that a job has begun, so that callers do not read it as waiting for long. Most
   * jobs are stored before that for another reason, and need no write of their own.
   */
  #storeBegun(job: JobExecution): void {
    this.#begunJobs.add(job)
    this.#begunTimer ??= setTimeout(() => {
      this.#begunTimer = undefined
      for (const begun of this.#begunJobs) {
        const isUnstored = begun.hasQueuedRow || begun.definition.schedule !== undefined
        if (isUnstored && this.#ctx.jobs.has(begun.definition.id)) void this.#ctx.storeJob(begun)
      }
      this.#begunJobs.clear()
    }, begunStoreDelayMs)
  }

  #logOutcome(job: JobExecution): void {
    const { id, queue, acceptedAt } = job.definition
    const tookMs = Date.now() - acceptedAt
    this.#ctx.opts.log.info('job ended', { job: id, queue, status: job.status, tookMs })
    this.#ctx.opts.metrics.count('bulrush_jobs_ended_total', { queue, status: job.status })
    this.#ctx.opts.metrics.observe('bulrush_job_ms', { queue }, tookMs)
  }
}

/** Whether a task is done with its gang, all runs of which end together. */
function isDoneInGang({ isDone, step }: Task): boolean {
  return isDone && step.definition.isGang === true
}

function sinceMs(at: number | undefined): number | undefined {
  return at === undefined ? undefined : Math.round(performance.now() - at)
}
