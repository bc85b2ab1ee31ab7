import {
  parseTaskName,
  type JobState,
  type ListedEnd,
  type Queue,
  type RunEnd,
  type RunnerHealth,
  type RunTimes,
  type Task,
} from '@bulrushbridge/scheduler'
import type { Occupant } from './occupant.js'

/** What an end is applied to. */
export interface EndContext {
  jobs: ReadonlyMap<string, JobState>
  queueOf(job: JobState): Queue | undefined
  health: RunnerHealth
  times: RunTimes
  wallNow(): number
}

/** What became of an end. */
export interface AppliedEnd {
  /** The job whose state changed and must be stored; undefined when nothing changed. */
  job: JobState | undefined
  /** The runner fails the tasks of several jobs and takes nothing new for a time. */
  isRunnerClosed: boolean
  /** Other runs of the job are to be stopped: it has failed, or the task is done already. */
  stopJob: boolean
  /** A run of the task that has become needless. */
  stopTask: Task | undefined
}

interface EndArgs {
  ctx: EndContext
  job: JobState
  task: Task
  end: ListedEnd
  runnerId: string
  occupant: Occupant | undefined
  applied: AppliedEnd
}

/** Takes a listed end into the state of its job. */
export function applyEnd(
  ctx: EndContext,
  runnerId: string,
  end: ListedEnd,
  occupant: Occupant | undefined,
): AppliedEnd {
  const applied: AppliedEnd = {
    job: undefined,
    isRunnerClosed: false,
    stopJob: false,
    stopTask: undefined,
  }
  const task = findTask(ctx.jobs, end.task)
  if (task === undefined) return applied
  const { job } = task.step
  const isPresentRun = task.run?.number === end.run && task.run.runnerId === runnerId
  // An end that an earlier term has stored and not acknowledged is listed again.
  const isNew = isPresentRun || task.givenUp.includes(end.run)
  task.givenUp = task.givenUp.filter(run => run !== end.run)
  applied.job = job
  if (isPresentRun) {
    if (end.checkpoint !== '' && task.step.step.savesProgress === true) saveCheckpoint(task, end)
    job.clearRun(task)
  }
  const args = { ctx, job, task, end, runnerId, occupant, applied }
  if (isNew && !job.isFinal) handlers[end.how](args)
  return applied
}

/** The task of a name, if its job is known and its occurrence open. */
export function findTask(jobs: ReadonlyMap<string, JobState>, name: string): Task | undefined {
  const parsed = parseTaskName(name)
  if (parsed === undefined) return undefined
  return jobs.get(parsed.jobId)?.task(parsed.occurrence, parsed.step, parsed.index)
}

const handlers: Record<RunEnd, (args: EndArgs) => void> = {
  done: onDone,
  failed: onFailed,
  stopped: () => undefined,
  lapsed: () => undefined,
  broken: () => undefined,
  alone: () => undefined,
}

function onDone({ ctx, job, task, runnerId, occupant, applied }: EndArgs): void {
  ctx.health.succeeded(runnerId, job.job.id, performance.now())
  if (task.step.step.isLasting === true || task.isDone) return
  // A run that resumed from a checkpoint says little about the whole task.
  if (occupant?.confirmedAt !== undefined && task.checkpoint === '') {
    ctx.times.observe(job.job.queue, performance.now() - occupant.confirmedAt)
  }
  if (task.run !== undefined) applied.stopTask = task
  job.markDone(task, ctx.wallNow())
}

function onFailed({ ctx, job, task, runnerId, applied }: EndArgs): void {
  const counted = task.step.step.isGang === true ? (task.step.tasks[0] ?? task) : task
  counted.failures += 1
  task.failedOn = runnerId
  applied.isRunnerClosed = ctx.health.failed(runnerId, job.job.id, performance.now())
  const attempts = ctx.queueOf(job)?.maxAttempts
  if (task.step.step.isLasting === true || attempts === undefined) return
  if (counted.failures < attempts || task.isDone) return
  job.end('failed', ctx.wallNow())
  applied.stopJob = true
}

/** All members of a gang resume from one checkpoint. */
function saveCheckpoint(task: Task, { checkpoint }: ListedEnd): void {
  const members = task.step.step.isGang === true ? task.step.tasks : [task]
  for (const member of members) member.checkpoint = checkpoint
}
