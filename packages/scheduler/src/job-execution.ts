import { canBeSuspect } from './crash-suspects.js'
import { hasEnded, type JobDefinition, type JobStatus, type Step } from './job.js'
import type { Progress, TaskProgress } from './progress.js'

/** Most occurrences of one job that are open at once. */
const maxOpenOccurrences = 1_000

/** Most tasks of one job whose occurrences are open at once, unless a single occurrence has more. */
const maxOpenTasks = 100_000

/** A recorded run of a task on a runner. */
export interface TaskRun {
  number: number
  runnerId: string
  /**
   * When the runner started, in Unix milliseconds; tells it from later restarts with the same id.
   */
  runnerStartedAt: number
}

/** One task of a step. */
export interface Task {
  readonly name: string
  readonly step: StepExecution
  isDone: boolean
  /** Number of runs that ended as failed. */
  failures: number
  /** Number of the last run; 0 before the first. */
  lastRun: number
  checkpoint: string
  /** The run that may be active; no other run starts while it is set. */
  run: TaskRun | undefined
  /**
   * Numbers of runs that were given up although their end was unknown; a runner may still report
   * it.
   */
  abandonedRuns: number[]
  /** Id of the runner of the last failed run, which the next run avoids. */
  lastFailedRunnerId: string | undefined
  /** Number of runners that crashed under the task, see `maxCrashes`. */
  crashes: number
}

/** The tasks of one step in one occurrence of a job. */
export interface StepExecution {
  /**
   * Name of the step, `<job>.<occurrence>.<number>`, unique across all jobs. The name of a task is
   * the name of its step followed by `.<index>`.
   */
  readonly name: string
  readonly job: JobExecution
  readonly occurrence: number
  readonly number: number
  readonly definition: Step
  readonly tasks: Task[]
  /** Number of tasks that are not done and have no run. */
  pendingCount: number
  /** Number of tasks that are done. */
  doneCount: number
}

/** One execution of all steps of a job; a job with a schedule can have several. */
export interface Occurrence {
  readonly number: number
  /** When the steps may start, in Unix milliseconds; 0 for a job without a schedule. */
  readonly startableFrom: number
  readonly steps: StepExecution[]
}

/** A job that the dispatcher executes, with its progress. */
export class JobExecution {
  readonly definition: JobDefinition
  status: JobStatus = 'queued'
  endedAt: number | undefined
  /** A caller has cancelled the job. */
  isCancelled = false
  /** The job has a row in the table of jobs that are queued: none of their tasks has begun. */
  hasQueuedRow: boolean
  /** Occurrences that have begun and are not complete, by number. */
  readonly openOccurrences = new Map<number, Occurrence>()
  /** Numbers of the occurrences whose tasks are all done. */
  readonly #completeOccurrences = new Set<number>()
  /** Tasks under which runners have crashed. */
  readonly #crashSuspects = new Set<Task>()

  constructor(job: JobDefinition, progress?: Progress) {
    this.definition = job
    this.hasQueuedRow =
      job.schedule === undefined && (progress === undefined || progress.status === 'queued')
    if (progress !== undefined) this.#restore(progress)
  }

  get hasEnded(): boolean {
    return hasEnded(this.status)
  }

  /**
   * Opens the occurrences that are due; returns whether it opened any. While very many are open, or
   * they have very many tasks, the others wait until one of them is complete.
   */
  openDueOccurrences(wallNow: number): boolean {
    const previousCount = this.openOccurrences.size
    const maxOpen = this.#maxOpenOccurrences()
    for (let number = 0; number < this.#occurrenceCount(); number++) {
      if (this.#startableFrom(number) > wallNow || this.openOccurrences.size >= maxOpen) break
      if (!this.openOccurrences.has(number) && !this.#completeOccurrences.has(number))
        this.openOccurrences.set(number, this.#createOccurrence(number))
    }
    return this.openOccurrences.size > previousCount
  }

  /** Steps that have tasks to start and whose preceding steps are done. */
  startableSteps(): StepExecution[] {
    const found: StepExecution[] = []
    for (const { steps } of this.openOccurrences.values()) {
      for (const execution of steps)
        if (execution.pendingCount > 0 && isReady(execution, steps)) found.push(execution)
    }
    return found
  }

  task(occurrence: number, step: number, index: number): Task | undefined {
    return this.openOccurrences.get(occurrence)?.steps[step]?.tasks[index]
  }

  /** Yields all tasks that have a recorded run, whether it has started or not. */
  *tasksWithRun(): Generator<Task> {
    for (const { steps } of this.openOccurrences.values()) {
      for (const { tasks } of steps)
        for (const task of tasks) if (task.run !== undefined) yield task
    }
  }

  /** Records a new run. The caller must store the job before it orders the run. */
  beginRun(task: Task, runnerId: string, runnerStartedAt: number): TaskRun {
    const number = task.lastRun + 1
    task.lastRun = number
    task.run = { number, runnerId, runnerStartedAt }
    task.step.pendingCount -= 1
    if (this.status === 'queued') this.status = 'running'
    return task.run
  }

  /** Removes the run of a task; the task may run again unless it is then marked as done. */
  clearRun(task: Task): void {
    if (task.run === undefined) return
    task.run = undefined
    if (!task.isDone) task.step.pendingCount += 1
  }

  /** Treats the run of a task as over although its runner has reported no end. */
  abandonRun(task: Task): void {
    if (task.run !== undefined) task.abandonedRuns.push(task.run.number)
    this.clearRun(task)
  }

  /** Counts a crash of a runner under a task, unless the task can be no suspect. */
  recordCrash(task: Task): void {
    if (!canBeSuspect(task)) return
    task.crashes += 1
    this.#crashSuspects.add(task)
  }

  /** Clears a task of the suspicion that it crashes runners. */
  clearCrashes(task: Task): void {
    task.crashes = 0
    this.#crashSuspects.delete(task)
  }

  /**
   * Marks a task as done, and with it all tasks of its gang. Completes the occurrence and the job
   * when it was the last one.
   */
  markDone(task: Task, wallNow: number): void {
    const { step } = task
    const members = step.definition.isGang === true ? step.tasks : [task]
    for (const member of members) this.#markTaskDone(member)
    const occurrence = this.openOccurrences.get(step.occurrence)
    if (occurrence?.steps.every(each => each.doneCount === each.tasks.length) === true) {
      this.openOccurrences.delete(step.occurrence)
      this.#completeOccurrences.add(step.occurrence)
      if (this.#completeOccurrences.size === this.#occurrenceCount() && !this.hasEnded)
        this.end('completed', wallNow)
    }
  }

  /** Ends the job with its final status. */
  end(status: 'completed' | 'failed' | 'cancelled', wallNow: number): void {
    this.status = status
    this.endedAt = wallNow
  }

  /**
   * Encodes the value of the job's progress row; an ended job without runs keeps no task progress.
   */
  encode(): Progress {
    const { queue, organisation } = this.definition
    const summary = {
      status: this.status,
      queue,
      ...(organisation === undefined ? {} : { organisation }),
      ...(this.endedAt === undefined ? {} : { endedAt: this.endedAt }),
    }
    const hasRuns = !this.tasksWithRun().next().done
    if (this.hasEnded && !hasRuns) return summary
    const occurrences: NonNullable<Progress['occurrences']> = {}
    for (const number of this.#completeOccurrences) occurrences[String(number)] = 1
    for (const [number, { steps }] of this.openOccurrences) {
      occurrences[String(number)] = steps.map(({ tasks }) => tasks.map(encodeTask))
    }
    const crashes = this.#encodeCrashes()
    return { ...summary, occurrences, ...(crashes === undefined ? {} : { crashes }) }
  }

  #encodeCrashes(): Progress['crashes'] {
    if (this.#crashSuspects.size === 0) return undefined
    const prefixLength = this.definition.id.length + 1
    const suspects = [...this.#crashSuspects].filter(({ isDone }) => !isDone)
    return Object.fromEntries(
      suspects.map(({ name, crashes }) => [name.slice(prefixLength), crashes]),
    )
  }

  #maxOpenOccurrences(): number {
    const tasks = this.definition.steps.reduce((sum, { count }) => sum + count, 0)
    return Math.min(maxOpenOccurrences, Math.max(1, Math.floor(maxOpenTasks / tasks)))
  }

  #restore(progress: Progress): void {
    this.status = progress.status
    this.endedAt = progress.endedAt
    this.isCancelled = progress.status === 'cancelled'
    for (const [name, stored] of Object.entries(progress.occurrences ?? {})) {
      const number = Number(name)
      if (stored === 1) this.#completeOccurrences.add(number)
      else this.openOccurrences.set(number, this.#createOccurrence(number, stored))
    }
    for (const [name, crashes] of Object.entries(progress.crashes ?? {})) {
      const parsed = parseTaskName(`${this.definition.id}.${name}`)
      const task =
        parsed === undefined ? undefined : this.task(parsed.occurrence, parsed.step, parsed.index)
      if (task === undefined) continue
      task.crashes = crashes
      this.#crashSuspects.add(task)
    }
  }

  #createOccurrence(number: number, stored?: TaskProgress[][]): Occurrence {
    const steps = this.definition.steps.map((step, stepIndex) => {
      const execution: StepExecution = {
        name: `${this.definition.id}.${number}.${stepIndex}`,
        job: this,
        occurrence: number,
        number: stepIndex,
        definition: step,
        tasks: [],
        pendingCount: 0,
        doneCount: 0,
      }
      for (let index = 0; index < step.count; index++) {
        const task = decodeTask(
          `${execution.name}.${index}`,
          execution,
          stored?.[stepIndex]?.[index] ?? 0,
        )
        execution.tasks.push(task)
        if (task.isDone) execution.doneCount += 1
        else if (task.run === undefined) execution.pendingCount += 1
      }
      return execution
    })
    return { number, startableFrom: this.#startableFrom(number), steps }
  }

  #markTaskDone(task: Task): void {
    if (task.isDone) return
    if (task.run === undefined) task.step.pendingCount -= 1
    task.isDone = true
    task.run = undefined
    task.checkpoint = ''
    task.step.doneCount += 1
  }

  #occurrenceCount(): number {
    return this.definition.schedule?.occurrences ?? 1
  }

  #startableFrom(number: number): number {
    const { schedule } = this.definition
    return schedule === undefined ? 0 : schedule.firstAt + number * schedule.intervalMs
  }
}

function isReady(execution: StepExecution, steps: readonly StepExecution[]): boolean {
  return (execution.definition.after ?? []).every(earlierNumber => {
    const earlier = steps[earlierNumber]
    return earlier !== undefined && earlier.doneCount === earlier.tasks.length
  })
}

function encodeTask(task: Task): TaskProgress {
  if (task.isDone) return 1
  const { failures, lastRun, checkpoint, run } = task
  if (lastRun === 0) return 0
  return [0, failures, lastRun, checkpoint, run?.runnerId ?? '', run?.runnerStartedAt ?? 0]
}

function decodeTask(name: string, step: StepExecution, stored: TaskProgress): Task {
  const task: Task = {
    name,
    step,
    isDone: stored === 1,
    failures: 0,
    lastRun: 0,
    checkpoint: '',
    run: undefined,
    abandonedRuns: [],
    lastFailedRunnerId: undefined,
    crashes: 0,
  }
  if (typeof stored === 'number') return task
  const [, failures, lastRun, checkpoint, runnerId, runnerStartedAt] = stored
  Object.assign(task, { failures, lastRun, checkpoint })
  if (runnerId !== '') task.run = { number: lastRun, runnerId, runnerStartedAt }
  return task
}

/** The components of a task's name. */
export interface TaskName {
  jobId: string
  occurrence: number
  step: number
  index: number
}

/**
 * Parses a task's name, `<job id>.<occurrence>.<step>.<index>`; undefined if it has another number
 * of components. A job id must not contain a dot.
 */
export function parseTaskName(name: string): TaskName | undefined {
  const [jobId, occurrence, step, index, ...rest] = name.split('.')
  if (jobId === undefined || index === undefined || rest.length > 0) return undefined
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) }
}
