import {
  parseTaskName,
  type JobExecution,
  type ReportedEnd,
  type JobQueue,
  type RunEnd,
  type RunnerFailureTracker,
  type Task,
  type TaskRun,
} from '@bulrushbridge/scheduler'
import type { Allocation } from './allocation.js'

/** Jobs and statistics that the end of a run changes. */
export interface EndContext {
  jobs: ReadonlyMap<string, JobExecution>
  queueOf(job: JobExecution): JobQueue | undefined
  runnerFailures: RunnerFailureTracker
  /** Called with the time that the run of a finite task took from its start, in milliseconds. */
  onRunDone(runnerId: string, task: Task, ms: number, now: number): void
  wallNow(): number
}

/** Result of applying the end of a run. */
export interface AppliedEnd {
  /** The job of the task, which is to be stored; undefined if the task is not known. */
  job: JobExecution | undefined
  /** Runs of several jobs failed on the runner, so it gets no new runs for a time. */
  isRunnerQuarantined: boolean
  /** The task is done by an earlier run, so its present run must be stopped. */
  runToStop: RunToStop | undefined
}

/** A run that is to be stopped, of the task with the given name. */
export interface RunToStop {
  task: string
  run: TaskRun
}

interface EndArgs {
  ctx: EndContext
  job: JobExecution
  task: Task
  end: ReportedEnd
  runnerId: string
  allocation: Allocation | undefined
  applied: AppliedEnd
}

/** Applies the end of a run, as listed by a runner, to the state of its job. */
export function applyEnd(
  ctx: EndContext,
  runnerId: string,
  end: ReportedEnd,
  allocation: Allocation | undefined,
): AppliedEnd {
  const applied: AppliedEnd = {
    job: undefined,
    isRunnerQuarantined: false,
    runToStop: undefined,
  }
  const task = findTask(ctx.jobs, end.task)
  if (task === undefined) return applied
  const { job } = task.step
  const isCurrentRun = task.run?.number === end.run && task.run.runnerId === runnerId
  // An end that an earlier term stored but did not acknowledge is listed again; it counts once. A run
  // that is done completes its task also if an earlier term gave it up, which is not stored.
  const isNew = isCurrentRun || end.how === 'done' || task.abandonedRuns.includes(end.run)
  task.abandonedRuns = task.abandonedRuns.filter(run => run !== end.run)
  applied.job = job
  job.markBegun()
  if (isCurrentRun) {
    if (task.step.definition.savesProgress === true)
      task.step.tasks.saveCheckpoint(task, end.checkpoint)
    job.clearRun(task)
  }
  const args = { ctx, job, task, end, runnerId, allocation, applied }
  if (isNew && !job.hasEnded) handlers[end.how](args)
  return applied
}

/** Finds a task by its name; undefined unless its job is known and its occurrence is open. */
export function findTask(jobs: ReadonlyMap<string, JobExecution>, name: string): Task | undefined {
  const parsed = parseTaskName(name)
  if (parsed === undefined) return undefined
  return jobs.get(parsed.jobId)?.task(parsed.occurrence, parsed.step, parsed.index)
}

/**
 * What each way of ending changes besides freeing the task. After an end without a handler the task
 * runs again, and the end does not count as a failure of the job or of the runner.
 */
const handlers: Record<RunEnd, (args: EndArgs) => void> = {
  done: onDone,
  failed: onFailed,
  stopped: () => undefined,
  lapsed: () => undefined,
  broken: () => undefined,
  alone: () => undefined,
}

function onDone({ ctx, job, task, end, runnerId, allocation, applied }: EndArgs): void {
  ctx.runnerFailures.recordSuccess(runnerId, job.definition.id, performance.now())
  if (task.step.definition.isLasting === true || task.isDone) return
  // The time of a run that resumed from a checkpoint does not show how long the whole task takes. When a
  // run of an earlier term began is not known; it was confirmed when its runner first listed it.
  const isWholeTask = allocation?.orderedAt !== undefined && task.checkpoint === ''
  if (isWholeTask && allocation.confirmedAt !== undefined) {
    const now = performance.now()
    ctx.onRunDone(runnerId, task, now - allocation.confirmedAt, now)
  }
  if (task.run !== undefined) applied.runToStop = { task: task.name, run: task.run }
  job.markDone(task, end.run, ctx.wallNow())
}

function onFailed({ ctx, job, task, runnerId, applied }: EndArgs): void {
  // A gang's failed runs are counted at its first task, because all members share the attempts.
  const countingTask =
    task.step.definition.isGang === true ? (task.step.tasks.get(0) ?? task) : task
  countingTask.failures += 1
  job.touch(countingTask)
  task.lastFailedRunnerId = runnerId
  applied.isRunnerQuarantined = ctx.runnerFailures.recordFailure(
    runnerId,
    job.definition.id,
    performance.now(),
  )
  // A job whose queue is not in the configuration has no limit of attempts, so it never fails.
  const attempts = ctx.queueOf(job)?.maxAttempts
  if (task.step.definition.isLasting === true || attempts === undefined) return
  if (countingTask.failures < attempts || task.isDone) return
  job.end('failed', ctx.wallNow())
}
