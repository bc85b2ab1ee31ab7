import { isFinal, type Job, type JobStatus, type Step } from './job.js'
import type { Progress, TaskProgress } from './progress.js'

/** A recorded run of a task on one life of a runner. */
export interface TaskRun {
  number: number
  runnerId: string
  runnerBornAt: number
}

/** One task of a step. */
export interface Task {
  readonly name: string
  readonly step: StepState
  isDone: boolean
  /** Runs that ended as failed. */
  failures: number
  /** Number of the last run; 0 before the first. */
  lastRun: number
  checkpoint: string
  /** The run that may be under way; no other run starts while it is set. */
  run: TaskRun | undefined
  /** Runs given up without an end; their runner may still list one. */
  givenUp: number[]
  /** Runner of the last run that failed, which is avoided for the next one. */
  failedOn: string | undefined
}

/** The tasks of one step in one occurrence of a job. */
export interface StepState {
  readonly job: JobState
  readonly occurrence: number
  readonly number: number
  readonly step: Step
  readonly tasks: Task[]
  /** Tasks that are neither done nor have a run. */
  pending: number
  done: number
}

/** One run of all steps of a job. */
export interface Occurrence {
  readonly number: number
  /** Unix milliseconds. */
  readonly dueAt: number
  readonly steps: StepState[]
}

/** A job of the dispatcher: what was accepted and how far it is. */
export class JobState {
  readonly job: Job
  status: JobStatus = 'queued'
  endedAt: number | undefined
  /** A caller has cancelled it. */
  isCancelled = false
  /** It has a row in the list of jobs that have not begun. */
  isListedWaiting: boolean
  /** Occurrences that have begun and are not complete, by number. */
  readonly open = new Map<number, Occurrence>()
  readonly #complete = new Set<number>()

  constructor(job: Job, progress?: Progress) {
    this.job = job
    this.isListedWaiting =
      job.schedule === undefined && (progress === undefined || progress.status === 'queued')
    if (progress !== undefined) this.#restore(progress)
  }

  get isFinal(): boolean {
    return isFinal(this.status)
  }

  /** Opens the occurrences that are due; returns whether there are new ones. */
  openDue(wallNow: number): boolean {
    const before = this.open.size
    for (let k = 0; k < this.#total(); k++) {
      if (this.#dueAt(k) > wallNow) break
      if (!this.open.has(k) && !this.#complete.has(k)) this.open.set(k, this.#occurrence(k))
    }
    return this.open.size > before
  }

  /** Steps whose earlier steps are done and that have tasks to start. */
  startable(): StepState[] {
    const found: StepState[] = []
    for (const { steps } of this.open.values()) {
      for (const state of steps) if (state.pending > 0 && isReady(state, steps)) found.push(state)
    }
    return found
  }

  task(occurrence: number, step: number, index: number): Task | undefined {
    return this.open.get(occurrence)?.steps[step]?.tasks[index]
  }

  /** All tasks with a run. */
  *runningTasks(): Generator<Task> {
    for (const { steps } of this.open.values()) {
      for (const { tasks } of steps)
        for (const task of tasks) if (task.run !== undefined) yield task
    }
  }

  /** Records a new run; the caller orders it after this is stored. */
  beginRun(task: Task, runnerId: string, runnerBornAt: number): TaskRun {
    const number = task.lastRun + 1
    task.lastRun = number
    task.run = { number, runnerId, runnerBornAt }
    task.step.pending -= 1
    if (this.status === 'queued') this.status = 'running'
    return task.run
  }

  /** The run is over without a result; the task may run again. */
  clearRun(task: Task): void {
    if (task.run === undefined) return
    task.run = undefined
    if (!task.isDone) task.step.pending += 1
  }

  /** The run counts as over although its runner has listed no end. */
  giveUpRun(task: Task): void {
    if (task.run !== undefined) task.givenUp.push(task.run.number)
    this.clearRun(task)
  }

  /** The task is done. Completes the occurrence and the job when it was the last one. */
  markDone(task: Task, wallNow: number): void {
    const { step } = task
    const members = step.step.isGang === true ? step.tasks : [task]
    for (const member of members) this.#finish(member)
    const occurrence = this.open.get(step.occurrence)
    if (occurrence?.steps.every(each => each.done === each.tasks.length) === true) {
      this.open.delete(step.occurrence)
      this.#complete.add(step.occurrence)
      if (this.#complete.size === this.#total() && !this.isFinal) this.end('completed', wallNow)
    }
  }

  end(status: 'completed' | 'failed' | 'cancelled', wallNow: number): void {
    this.status = status
    this.endedAt = wallNow
  }

  /** The value of the job's row; a job at its end keeps only its state. */
  encode(): Progress {
    const { queue, organisation } = this.job
    const head = {
      status: this.status,
      queue,
      ...(organisation === undefined ? {} : { organisation }),
      ...(this.endedAt === undefined ? {} : { endedAt: this.endedAt }),
    }
    const hasRuns = !this.runningTasks().next().done
    if (this.isFinal && !hasRuns) return head
    const occurrences: NonNullable<Progress['occurrences']> = {}
    for (const k of this.#complete) occurrences[String(k)] = 1
    for (const [k, { steps }] of this.open) {
      occurrences[String(k)] = steps.map(({ tasks }) => tasks.map(encodeTask))
    }
    return { ...head, occurrences }
  }

  #restore(progress: Progress): void {
    this.status = progress.status
    this.endedAt = progress.endedAt
    this.isCancelled = progress.status === 'cancelled'
    for (const [name, stored] of Object.entries(progress.occurrences ?? {})) {
      const k = Number(name)
      if (stored === 1) this.#complete.add(k)
      else this.open.set(k, this.#occurrence(k, stored))
    }
  }

  #occurrence(number: number, stored?: TaskProgress[][]): Occurrence {
    const steps = this.job.steps.map((step, s) => {
      const state: StepState = {
        job: this,
        occurrence: number,
        number: s,
        step,
        tasks: [],
        pending: 0,
        done: 0,
      }
      for (let index = 0; index < step.count; index++) {
        const name = `${this.job.id}.${number}.${s}.${index}`
        const task = decodeTask(name, state, stored?.[s]?.[index] ?? 0)
        state.tasks.push(task)
        if (task.isDone) state.done += 1
        else if (task.run === undefined) state.pending += 1
      }
      return state
    })
    return { number, dueAt: this.#dueAt(number), steps }
  }

  #finish(task: Task): void {
    if (task.isDone) return
    if (task.run === undefined) task.step.pending -= 1
    task.isDone = true
    task.run = undefined
    task.checkpoint = ''
    task.step.done += 1
  }

  #total(): number {
    return this.job.schedule?.occurrences ?? 1
  }

  #dueAt(k: number): number {
    const { schedule } = this.job
    return schedule === undefined ? 0 : schedule.firstAt + k * schedule.intervalMs
  }
}

function isReady(state: StepState, steps: readonly StepState[]): boolean {
  return (state.step.after ?? []).every(earlier => {
    const other = steps[earlier]
    return other !== undefined && other.done === other.tasks.length
  })
}

function encodeTask(task: Task): TaskProgress {
  if (task.isDone) return 1
  const { failures, lastRun, checkpoint, run } = task
  if (lastRun === 0) return 0
  return [0, failures, lastRun, checkpoint, run?.runnerId ?? '', run?.runnerBornAt ?? 0]
}

function decodeTask(name: string, step: StepState, stored: TaskProgress): Task {
  const task: Task = {
    name,
    step,
    isDone: stored === 1,
    failures: 0,
    lastRun: 0,
    checkpoint: '',
    run: undefined,
    givenUp: [],
    failedOn: undefined,
  }
  if (typeof stored === 'number') return task
  const [, failures, lastRun, checkpoint, runnerId, runnerBornAt] = stored
  Object.assign(task, { failures, lastRun, checkpoint })
  if (runnerId !== '') task.run = { number: lastRun, runnerId, runnerBornAt }
  return task
}

/** The parts of a task's name. */
export interface TaskName {
  jobId: string
  occurrence: number
  step: number
  index: number
}

/** Parses a task's name, `<job id>.<occurrence>.<step>.<index>`. */
export function parseTaskName(name: string): TaskName | undefined {
  const [jobId, occurrence, step, index, ...rest] = name.split('.')
  if (jobId === undefined || index === undefined || rest.length > 0) return undefined
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) }
}
