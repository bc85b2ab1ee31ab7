import { canBeSuspect } from './crash-suspects.js'
import { hasEnded, type JobDefinition, type JobStatus, type Step } from './job.js'
import { hasLostBlocks } from './lost-blocks.js'
import { NumberRanges } from './number-ranges.js'
import { stepStates, type Progress, type TaskProgress } from './progress.js'
import { StepTasks } from './step-tasks.js'
import { applyBlock, encodeBlock, tasksPerBlock, type TaskBlock } from './task-block.js'
import { partOf } from './tables.js'
import { parseTaskName, type Task, type TaskRun } from './task.js'

/** Most occurrences of one job that are open at once. */
const maxOpenOccurrences = 1_000

/** Most steps of one job that a placement pass is offered. */
const maxOfferedSteps = 64

/** Most steps of one job whose occurrences are open at once; the job's row has each of them. */
const maxOpenSteps = 8_000

/** Most tasks of the open occurrences of a job whose progress is in its own row. */
const maxInlineTasks = 256

/** Most bytes of a job's own row; larger progress goes into blocks. */
const maxInlineBytes = 16_000

/** Most bytes of a block of tasks; in base64 it must be below the store's limit for a row. */
const maxBlockBytes = 45_000

/** Most tasks of one job whose occurrences are open at once, unless a single occurrence has more. */
const maxOpenTasks = 100_000

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
  readonly tasks: StepTasks
  /** Number of tasks that are not done and have no run. */
  pendingCount: number
  /** Number of tasks that are done. */
  doneCount: number
  /** Highest number of a run of any task; 0 before the first. */
  lastRun: number
}

/** One execution of all steps of a job; a job with a schedule can have several. */
export interface Occurrence {
  readonly number: number
  /** When the steps may start, in Unix milliseconds; 0 for a job without a schedule. */
  readonly startableFrom: number
  readonly steps: StepExecution[]
  /** Steps that are not done and whose preceding steps are; undefined after a step was done. */
  readySteps: StepExecution[] | undefined
}

/** A stored block of tasks; `key` is `<occurrence>.<step>.<block>`. */
export interface StoredBlock {
  key: string
  value: unknown
}

/** The stored state of a job: the value of its row, and the blocks to write or, if null, to delete. */
export interface JobState {
  progress: Progress
  blocks: { key: string; value: TaskBlock | null }[]
}

/** A job that the dispatcher executes, with its progress. */
export class JobExecution {
  readonly definition: JobDefinition
  /** Part of the store that has the rows of the job. */
  readonly part: string
  status: JobStatus = 'queued'
  endedAt: number | undefined
  /** A caller has cancelled the job. */
  isCancelled = false
  /** The job has a row in the table of jobs that are queued: none of their tasks has begun. */
  hasQueuedRow: boolean
  /** Number of rows that hold the definition, if it is too large for the row of the job. */
  definitionChunks = 0
  /** Steps that were restored as done because blocks of them are missing from the store. */
  readonly stepsWithLostBlocks: readonly StepExecution[]
  /** Called when one of several open occurrences is complete. */
  onOccurrenceComplete: () => void = () => undefined
  /** Occurrences that have begun and are not complete, by number. */
  readonly openOccurrences = new Map<number, Occurrence>()
  /** Numbers of the occurrences whose tasks are all done. */
  #completeOccurrences = new NumberRanges()
  /** All occurrences before this one are open or complete. */
  #firstUnopened = 0
  /** Where the next call of `startableSteps` goes on, if there are very many. */
  #firstOfferedStep = 0
  #isPlaced = false
  /** The progress of tasks is stored in blocks; it stays so until the job ends. */
  #usesBlocks = false
  /** Keys of blocks that differ from the stored ones. */
  readonly #changedBlocks = new Set<string>()
  /** Keys of blocks that may be stored. */
  readonly #storedBlocks = new Set<string>()
  /** Tasks that have a recorded run. */
  readonly #tasksWithRun = new Set<Task>()
  /** Tasks under which runners have crashed. */
  readonly #crashSuspects = new Set<Task>()

  /** `wallNow` is the time at which the stored state was read, in Unix milliseconds. */
  constructor(
    job: JobDefinition,
    progress?: Progress,
    blocks: readonly StoredBlock[] = [],
    wallNow = Date.now(),
  ) {
    this.definition = job
    this.part = partOf(job.id)
    this.hasQueuedRow =
      job.schedule === undefined && (progress === undefined || progress.status === 'queued')
    if (progress !== undefined) this.#restore(progress)
    for (const block of blocks) this.#restoreBlock(block)
    this.stepsWithLostBlocks =
      progress === undefined ? [] : this.#completeStepsWithLostBlocks(progress)
    for (const { steps } of this.openOccurrences.values()) {
      for (const step of steps) if (!step.tasks.isUntouched) this.#finishRestore(step)
    }
    for (const { occurrence } of this.stepsWithLostBlocks)
      this.#completeOccurrence(occurrence, wallNow)
    // A dispatcher ended while it moved the progress from the own row to blocks.
    if (this.#usesBlocks && progress?.steps === undefined) this.#changeAllBlocks()
    this.#isPlaced = this.openOccurrences.size > 0
  }

  get hasEnded(): boolean {
    return hasEnded(this.status)
  }

  /**
   * Opens occurrences that are due; returns whether it opened any. While very many are open, or they
   * have very many tasks, the others wait until one of them is complete. `hasRoom` is asked before each
   * one that is opened beside another.
   */
  openDueOccurrences(wallNow: number, hasRoom: () => boolean = () => true): boolean {
    const previousCount = this.openOccurrences.size
    const maxOpen = this.#maxOpenOccurrences()
    const count = this.#occurrenceCount()
    while (this.#firstUnopened < count && this.openOccurrences.size < maxOpen) {
      const number = this.#firstUnopened
      const completeUntil = this.#completeOccurrences.endOfRange(number)
      if (completeUntil === undefined) {
        if (this.#startableFrom(number) > wallNow) break
        if (this.openOccurrences.size > 0 && !hasRoom()) break
        this.#openOccurrence(number)
      }
      this.#firstUnopened = (completeUntil ?? number) + 1
    }
    return this.openOccurrences.size > previousCount
  }

  /**
   * Steps that have tasks to start and whose preceding steps are done. Of very many, each call returns
   * others in turn, so that one job does not take the time of all.
   */
  startableSteps(): StepExecution[] {
    const found: StepExecution[] = []
    for (const occurrence of this.openOccurrences.values()) {
      occurrence.readySteps ??= occurrence.steps.filter(
        step => !isStepDone(step) && isReady(step, occurrence.steps),
      )
      for (const step of occurrence.readySteps) if (step.pendingCount > 0) found.push(step)
    }
    if (found.length <= maxOfferedSteps) return found
    const from = this.#firstOfferedStep % found.length
    this.#firstOfferedStep = from + maxOfferedSteps
    return [...found.slice(from), ...found.slice(0, from)].slice(0, maxOfferedSteps)
  }

  task(occurrence: number, step: number, index: number): Task | undefined {
    return this.openOccurrences.get(occurrence)?.steps[step]?.tasks.get(index)
  }

  /** All tasks that have a recorded run, whether it has started or not. */
  tasksWithRun(): Iterable<Task> {
    return this.#tasksWithRun
  }

  get hasRuns(): boolean {
    return this.#tasksWithRun.size > 0
  }

  /** Records a new run. The caller must store the job before it orders the run. */
  beginRun(task: Task, runnerId: string, runnerStartedAt: number): TaskRun {
    const number = nextRunNumber(task)
    task.lastRun = number
    task.step.lastRun = Math.max(task.step.lastRun, number)
    task.run = { number, runnerId, runnerStartedAt, isOrdered: false }
    this.#tasksWithRun.add(task)
    task.step.pendingCount -= 1
    this.touch(task)
    this.#isPlaced = true
    return task.run
  }

  /** Whether a run has been recorded, which may not have started. */
  get isPlaced(): boolean {
    return this.#isPlaced || this.status !== 'queued'
  }

  /** Notes that a task has certainly started; returns whether it is the first one of the job. */
  markBegun(): boolean {
    if (this.status !== 'queued') return false
    this.status = 'running'
    return true
  }

  /** Removes the run of a task; the task may run again unless it is then marked as done. */
  clearRun(task: Task): void {
    if (task.run === undefined) return
    task.run = undefined
    this.#tasksWithRun.delete(task)
    if (task.isDone) return
    task.step.pendingCount += 1
    this.touch(task)
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
    this.touch(task)
  }

  /** Clears a task of the suspicion that it crashes runners. */
  clearCrashes(task: Task): void {
    task.crashes = 0
    this.#crashSuspects.delete(task)
    this.touch(task)
  }

  /** Notes that the state of a task has changed; callers that change its fields must call this. */
  touch(task: Task): void {
    if (!task.isDone) task.step.tasks.update(task)
    this.#changedBlocks.add(blockKey(task.step, task.index))
  }

  /**
   * Marks a task as done by one of its runs, and with it the tasks of its gang, except those of which
   * the same run has not been ordered. Completes the occurrence and the job when it was the last one.
   */
  markDone(task: Task, run: number, wallNow: number): void {
    const { step } = task
    this.markBegun()
    const members = step.definition.isGang === true ? step.tasks : [task]
    for (const member of members) {
      const isUnordered = member.run?.number === run && !member.run.isOrdered
      if (member === task || !isUnordered) this.#markTaskDone(member)
    }
    if (!isStepDone(step)) return
    const occurrence = this.openOccurrences.get(step.occurrence)
    if (occurrence !== undefined) occurrence.readySteps = undefined
    this.#deleteBlocks(step)
    this.#completeOccurrence(step.occurrence, wallNow)
  }

  /** Has the blocks of a step that is done deleted with the next write. */
  #deleteBlocks(step: StepExecution): void {
    for (const key of blockKeys(step)) if (this.#storedBlocks.has(key)) this.#changedBlocks.add(key)
  }

  /** Completes an open occurrence, and with the last one the job, if its steps are all done. */
  #completeOccurrence(number: number, wallNow: number): void {
    if (this.openOccurrences.get(number)?.steps.every(isStepDone) !== true) return
    this.openOccurrences.delete(number)
    if (this.openOccurrences.size > 0) this.onOccurrenceComplete()
    this.#completeOccurrences.add(number)
    if (this.#completeOccurrences.size === this.#occurrenceCount() && !this.hasEnded)
      this.end('completed', wallNow)
  }

  /** Ends the job with its final status. */
  end(status: 'completed' | 'failed' | 'cancelled', wallNow: number): void {
    this.status = status
    this.endedAt = wallNow
  }

  /**
   * Encodes the job's progress for its own row; an ended job without runs keeps no task progress. Use
   * {@link takeState} to store the job, which may be too large for one row.
   */
  encode(): Progress {
    const summary = this.#encodeSummary()
    if (this.#hasNoMoreRuns()) return summary
    const occurrences: NonNullable<Progress['occurrences']> = {}
    for (const [number, { steps }] of this.openOccurrences) {
      if (steps.every(({ tasks }) => tasks.isUntouched)) continue
      occurrences[String(number)] = steps.map(({ tasks }) => Array.from(tasks, encodeTask))
    }
    const crashes = this.#encodeCrashes()
    return {
      ...summary,
      ...this.#encodeComplete(),
      occurrences,
      ...(crashes === undefined ? {} : { crashes }),
    }
  }

  /**
   * Returns what must be stored for the job to be stored as it is now. The blocks count as stored from
   * now on; if they are not, {@link markUnstored} must be called with their keys.
   */
  takeState(): JobState {
    if (this.#hasNoMoreRuns()) {
      const blocks = [...this.#storedBlocks].map(key => ({ key, value: null }))
      this.#storedBlocks.clear()
      return { progress: this.#encodeSummary(), blocks }
    }
    if (!this.#usesBlocks) {
      const progress = this.#fitsInline() ? this.encode() : undefined
      if (progress !== undefined && jsonBytes(progress) <= maxInlineBytes) {
        this.#changedBlocks.clear()
        return { progress, blocks: [] }
      }
      this.#usesBlocks = true
      this.#changeAllBlocks()
    }
    const steps: NonNullable<Progress['steps']> = {}
    for (const [number, occurrence] of this.openOccurrences) {
      const states = occurrence.steps.map(stateOfStep).join('')
      if (/[^0]/.test(states)) steps[String(number)] = states
    }
    const progress = { ...this.#encodeSummary(), ...this.#encodeComplete(), steps }
    return { progress, blocks: this.#takeChangedBlocks() }
  }

  /** Notes that blocks which {@link takeState} returned may not be stored as they were. */
  markUnstored(keys: Iterable<string>): void {
    // They go first, so that the blocks of a step are stored in the order in which they have begun.
    const changedLater = [...this.#changedBlocks]
    this.#changedBlocks.clear()
    for (const key of keys) {
      this.#changedBlocks.add(key)
      this.#storedBlocks.add(key)
    }
    for (const key of changedLater) this.#changedBlocks.add(key)
  }

  #takeChangedBlocks(): JobState['blocks'] {
    const blocks: JobState['blocks'] = []
    for (const key of this.#changedBlocks) {
      const value = this.#encodeBlock(key) ?? null
      if (value === null && !this.#storedBlocks.has(key)) continue
      blocks.push({ key, value })
      if (value === null) this.#storedBlocks.delete(key)
      else this.#storedBlocks.add(key)
    }
    this.#changedBlocks.clear()
    return blocks
  }

  #encodeBlock(key: string): TaskBlock | undefined {
    const [occurrence, step, block] = key.split('.').map(Number)
    const execution = this.openOccurrences.get(occurrence ?? -1)?.steps[step ?? -1]
    if (execution === undefined || isStepDone(execution)) return undefined
    return encodeBlock(execution.tasks, block ?? 0, maxBlockBytes)
  }

  #changeAllBlocks(): void {
    for (const { steps } of this.openOccurrences.values()) {
      for (const step of steps) {
        if (step.tasks.isUntouched || isStepDone(step)) continue
        for (const key of blockKeys(step)) this.#changedBlocks.add(key)
      }
    }
  }

  #fitsInline(): boolean {
    const { steps } = this.definition
    const taskCount = steps.reduce((sum, { count }) => sum + count, 0)
    return taskCount * this.openOccurrences.size <= maxInlineTasks
  }

  #hasNoMoreRuns(): boolean {
    return this.hasEnded && !this.hasRuns
  }

  #encodeSummary(): Progress {
    const { queue, organisation, acceptedAt } = this.definition
    return {
      status: this.status,
      queue,
      ...(organisation === undefined ? {} : { organisation }),
      ...(this.endedAt === undefined ? {} : { endedAt: this.endedAt, acceptedAt }),
    }
  }

  #encodeComplete(): Pick<Progress, 'complete'> {
    const complete = this.#completeOccurrences.toJSON()
    return complete.length === 0 ? {} : { complete }
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
    const { steps } = this.definition
    const tasks = steps.reduce((sum, { count }) => sum + count, 0)
    const limits = [maxOpenTasks / tasks, maxOpenSteps / steps.length]
    return Math.max(1, Math.min(maxOpenOccurrences, ...limits.map(Math.floor)))
  }

  #restore(progress: Progress): void {
    this.status = progress.status
    this.endedAt = progress.endedAt
    this.isCancelled = progress.status === 'cancelled'
    this.#completeOccurrences = new NumberRanges(progress.complete)
    for (const [name, stored] of Object.entries(progress.occurrences ?? {})) {
      const number = Number(name)
      if (stored === 1) this.#completeOccurrences.add(number)
      else this.#restoreTasks(this.#openOccurrence(number), stored)
    }
    this.#usesBlocks = progress.steps !== undefined
    for (const [name, states] of Object.entries(progress.steps ?? {})) {
      const { steps } = this.#openOccurrence(Number(name))
      for (const [index, step] of steps.entries()) {
        if (states[index] !== stepStates.done) continue
        step.tasks.markAllDone()
        step.doneCount = step.tasks.length
      }
    }
    for (const [name, crashes] of Object.entries(progress.crashes ?? {})) {
      const parsed = parseTaskName(`${this.definition.id}.${name}`)
      const task =
        parsed === undefined ? undefined : this.task(parsed.occurrence, parsed.step, parsed.index)
      if (task !== undefined) task.crashes = crashes
    }
  }

  #restoreTasks({ steps }: Occurrence, stored: TaskProgress[][]): void {
    for (const [stepIndex, step] of steps.entries()) {
      for (const [index, each] of (stored[stepIndex] ?? []).entries()) {
        if (each === 1) step.tasks.markDone(index)
        else if (each !== 0) restoreTask(step, index, each)
      }
      step.doneCount = step.tasks.doneCount
    }
  }

  /** Restores the tasks of a block, whose progress is not older than that in the own row. */
  #restoreBlock({ key, value }: StoredBlock): void {
    this.#storedBlocks.add(key)
    const [number = -1, step = -1, block = 0] = key.split('.').map(Number)
    const isComplete = this.#completeOccurrences.has(number)
    const execution = isComplete ? undefined : this.#openOccurrence(number).steps[step]
    if (execution === undefined || isStepDone(execution)) {
      // It is left over from a complete step and is deleted with the next write.
      this.#changedBlocks.add(key)
      return
    }
    this.#usesBlocks = true
    applyBlock(execution.tasks, block, value)
  }

  /** Marks steps as done whose blocks were deleted before the own row said that they are done. */
  #completeStepsWithLostBlocks({ status, steps: states = {} }: Progress): StepExecution[] {
    const found: StepExecution[] = []
    // The own row of a job that has ended is stored before its blocks.
    if (hasEnded(status)) return found
    for (const [name, statesOfSteps] of Object.entries(states)) {
      for (const step of this.openOccurrences.get(Number(name))?.steps ?? []) {
        if (statesOfSteps[step.number] !== stepStates.inBlocks) continue
        const stored = blockKeys(step).flatMap((key, n) => (this.#storedBlocks.has(key) ? [n] : []))
        if (!hasLostBlocks(step.tasks, stored)) continue
        step.tasks.markAllDone()
        this.#deleteBlocks(step)
        found.push(step)
      }
    }
    return found
  }

  /** Counts the tasks of a step, after they were restored. */
  #finishRestore(step: StepExecution): void {
    let runCount = 0
    for (const task of step.tasks.kept()) {
      if (task.crashes > 0) this.#crashSuspects.add(task)
      step.lastRun = Math.max(step.lastRun, task.lastRun)
      if (task.run === undefined) continue
      this.#tasksWithRun.add(task)
      runCount += 1
    }
    step.doneCount = step.tasks.doneCount
    step.pendingCount = step.tasks.length - step.doneCount - runCount
  }

  #openOccurrence(number: number): Occurrence {
    let occurrence = this.openOccurrences.get(number)
    if (occurrence === undefined) {
      occurrence = this.#createOccurrence(number)
      this.openOccurrences.set(number, occurrence)
    }
    return occurrence
  }

  #createOccurrence(number: number): Occurrence {
    const steps = this.definition.steps.map(
      (definition, stepNumber) =>
        new StepRuns(this, definition, { occurrence: number, number: stepNumber }),
    )
    return { number, startableFrom: this.#startableFrom(number), steps, readySteps: undefined }
  }

  #markTaskDone(task: Task): void {
    if (task.isDone) return
    if (task.run === undefined) task.step.pendingCount -= 1
    task.isDone = true
    task.run = undefined
    this.#tasksWithRun.delete(task)
    task.checkpoint = ''
    task.step.tasks.markDone(task.index)
    task.step.doneCount += 1
    this.touch(task)
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
    return earlier !== undefined && isStepDone(earlier)
  })
}

class StepRuns implements StepExecution {
  readonly name: string
  readonly occurrence: number
  readonly number: number
  readonly tasks: StepTasks
  pendingCount: number
  doneCount = 0
  lastRun = 0

  constructor(
    readonly job: JobExecution,
    readonly definition: Step,
    { occurrence, number }: { occurrence: number; number: number },
  ) {
    this.name = `${job.definition.id}.${occurrence}.${number}`
    this.occurrence = occurrence
    this.number = number
    this.tasks = new StepTasks(this, definition.count)
    this.pendingCount = definition.count
  }
}

/**
 * Number of the run that begins with a task. The members of a gang share it, also after a takeover that
 * found the last start of only some of them stored.
 */
function nextRunNumber({ step, lastRun }: Task): number {
  if (step.definition.isGang !== true) return lastRun + 1
  const isFirstMember = step.pendingCount + step.doneCount === step.tasks.length
  return isFirstMember ? step.lastRun + 1 : step.lastRun
}

function isStepDone({ doneCount, tasks }: StepExecution): boolean {
  return doneCount === tasks.length
}

function stateOfStep(step: StepExecution): string {
  if (isStepDone(step)) return stepStates.done
  return step.tasks.isUntouched ? stepStates.untouched : stepStates.inBlocks
}

function blockKey({ occurrence, number }: StepExecution, index: number): string {
  return `${occurrence}.${number}.${Math.floor(index / tasksPerBlock)}`
}

/** Keys of all blocks that a step can have, in the order of their tasks. */
function blockKeys(step: StepExecution): string[] {
  const keys: string[] = []
  for (let index = 0; index < step.tasks.length; index += tasksPerBlock)
    keys.push(blockKey(step, index))
  return keys
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

function encodeTask(task: Task): TaskProgress {
  if (task.isDone) return 1
  const { failures, lastRun, checkpoint, run } = task
  if (lastRun === 0) return 0
  return [0, failures, lastRun, checkpoint, run?.runnerId ?? '', run?.runnerStartedAt ?? 0]
}

function restoreTask(step: StepExecution, index: number, stored: TaskProgress): void {
  const task = step.tasks.get(index)
  if (task === undefined || typeof stored === 'number') return
  const [, failures, lastRun, checkpoint, runnerId, runnerStartedAt] = stored
  Object.assign(task, { failures, lastRun })
  step.tasks.saveCheckpoint(task, checkpoint)
  if (runnerId !== '') task.run = { number: lastRun, runnerId, runnerStartedAt, isOrdered: true }
  step.tasks.update(task)
}
