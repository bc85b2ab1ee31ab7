import type { StepExecution } from './job-execution.js'
import { createTask, type Task } from './task.js'

/**
 * The tasks of a step. Only tasks that have had a run and are not done take memory; the others are
 * created when they are asked for. A job may have millions of tasks, of which few run at a time.
 */
export class StepTasks implements Iterable<Task> {
  readonly length: number
  readonly #step: StepExecution
  /** Tasks that are kept, because they have a state that a new task does not have. */
  readonly #kept = new Map<number, Task>()
  /** Kept tasks that are not done and have no run. */
  readonly #released = new Set<Task>()
  /** One bit for each done task; undefined before the first and after the last. */
  #doneBits: Uint8Array | undefined
  #doneCount = 0
  /** Tasks from this index on are neither kept nor done, except by chance. */
  #firstNew = 0
  #lastCheckpoint = ''

  constructor(step: StepExecution, length: number) {
    this.#step = step
    this.length = length
  }

  get doneCount(): number {
    return this.#doneCount
  }

  /** The checkpoint that a task of the step reported last; empty before the first one. */
  get lastCheckpoint(): string {
    return this.#lastCheckpoint
  }

  /** Whether no task has begun. One that has not may be kept, but nothing of it is stored. */
  get isUntouched(): boolean {
    if (this.#doneCount > 0) return false
    for (const { lastRun } of this.#kept.values()) if (lastRun > 0) return false
    return true
  }

  *[Symbol.iterator](): Generator<Task> {
    for (let index = 0; index < this.length; index++) yield this.#at(index)
  }

  /** The task at an index, kept from now on; undefined outside of the step. */
  get(index: number): Task | undefined {
    if (!Number.isInteger(index) || index < 0 || index >= this.length) return undefined
    const task = this.#at(index)
    if (!task.isDone) this.#keep(task)
    return task
  }

  /** The task at an index if it is kept. */
  peek(index: number): Task | undefined {
    return this.#kept.get(index)
  }

  /** Tasks that have, or have had, a run and are not done. */
  kept(): Iterable<Task> {
    return this.#kept.values()
  }

  /** Tasks that are not done, have no run and have had one. */
  released(): Iterable<Task> {
    return this.#released
  }

  /** Tasks that are not done and have no run. A task is kept only once its run is recorded. */
  *pending(): Generator<Task, undefined> {
    yield* this.#released
    for (let index = this.#firstNew; index < this.length; index++) {
      if (!this.#kept.has(index) && !this.isDone(index)) yield createTask(this.#step, index)
    }
  }

  isDone(index: number): boolean {
    if (this.#doneCount === this.length) return true
    return ((this.#doneBits?.[index >> 3] ?? 0) & (1 << (index & 7))) !== 0
  }

  /** Saves a checkpoint of a task; the caller then notes the change of the task. */
  saveCheckpoint(task: Task, checkpoint: string): void {
    if (checkpoint === '') return
    task.checkpoint = checkpoint
    this.#lastCheckpoint = checkpoint
  }

  /** Follows a change of a task's run. */
  update(task: Task): void {
    this.#keep(task)
    if (task.run === undefined) this.#released.add(task)
    else this.#released.delete(task)
  }

  /** Marks a task as done; it is not kept any longer. */
  markDone(index: number): void {
    if (this.isDone(index) || index >= this.length) return
    const task = this.#kept.get(index)
    if (task !== undefined) {
      this.#kept.delete(index)
      this.#released.delete(task)
    }
    this.#doneBits ??= new Uint8Array((this.length + 7) >> 3)
    this.#doneBits[index >> 3] = (this.#doneBits[index >> 3] ?? 0) | (1 << (index & 7))
    this.#doneCount += 1
    this.#skipTouched()
    if (this.#doneCount === this.length) this.#doneBits = undefined
  }

  markAllDone(): void {
    this.#kept.clear()
    this.#released.clear()
    this.#doneBits = undefined
    this.#doneCount = this.length
    this.#firstNew = this.length
  }

  #at(index: number): Task {
    const kept = this.#kept.get(index)
    if (kept !== undefined) return kept
    const task = createTask(this.#step, index)
    task.isDone = this.isDone(index)
    return task
  }

  #keep(task: Task): void {
    if (this.#kept.has(task.index)) return
    this.#kept.set(task.index, task)
    if (task.run === undefined) this.#released.add(task)
    this.#skipTouched()
  }

  #skipTouched(): void {
    while (
      this.#firstNew < this.length &&
      (this.#kept.has(this.#firstNew) || this.isDone(this.#firstNew))
    )
      this.#firstNew += 1
  }
}
