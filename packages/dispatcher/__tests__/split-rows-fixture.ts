import {
  createGuaranteedWork,
  JobExecution,
  maxCrashes,
  progressTable,
  taskBlocksTable,
  type JobDefinition,
  type Task,
} from '@bulrushbridge/scheduler'
import { createMemoryStore, waitUntil, type MemoryStore } from '@bulrushbridge/standins'
import { StoreError } from '@bulrushbridge/store'
import { createLogger } from '@bulrushbridge/telemetry'
import { takeJobRows } from '../src/job-rows.js'
import { createPartWriter, type PartWriter } from '../src/part-writer.js'
import { readProgress, type EarlierProgress } from '../src/read-progress.js'
import { queueName } from './fixture.js'

/** Failed runs of a task after which the scenarios end its job. */
export const maxAttempts = 2

/** What becomes of one transaction: whether it is applied, and whether the writer gets an answer. */
export type WriteFault = 'refused' | 'answer-lost'

/** Logger of what the play calls. */
const log = createLogger({ program: 'test', level: 'silent' })

/** Number of deleted blocks after which {@link SplitPlay.deleteBlocksFirst} checks the job. */
const checkedDeletions = 47

interface TaskState {
  isDone: boolean
  lastRun: number
  failures: number
  crashes: number
  run: number | undefined
}

interface JobSummary {
  hasEnded: boolean
  tasks: Map<string, TaskState>
}

/** A job whose rows are read, as by the next dispatcher, after each transaction of its writer. */
export interface SplitPlay {
  readonly job: JobExecution
  /** Transactions with rows of the job that the last call of `write` has led to. */
  readonly transactionCount: number
  /** What was wrong after one of the transactions. */
  readonly breaches: readonly string[]
  /** Writes the job; `fault` befalls the transaction with this number, and `whileFailed` is called then. */
  write(fault?: { at: number; kind: WriteFault; whileFailed: () => void }): Promise<void>
  /**
   * Deletes the blocks that the next write would delete, one by one and before all other rows, as earlier
   * builds did.
   */
  deleteBlocksFirst(): Promise<void>
  /** Number of blocks that the store has. */
  blockCount(): Promise<number>
  close(): Promise<void>
}

/** Creates a play of a job that has been accepted and not begun. */
export async function createSplitPlay(definition: JobDefinition): Promise<SplitPlay> {
  const play = new StoredJobPlay(definition)
  await play.open()
  return play
}

class StoredJobPlay implements SplitPlay {
  readonly job: JobExecution
  readonly breaches: string[] = []
  transactionCount = 0
  readonly #store = createMemoryStore()
  readonly #commit = this.#store.commit.bind(this.#store)
  readonly #writer: PartWriter
  /** The job as it was when a write of it was last answered. */
  #answered: JobSummary
  #fault: Parameters<SplitPlay['write']>[0]

  constructor(definition: JobDefinition) {
    this.job = new JobExecution(definition)
    this.#answered = summarize(this.job)
    this.#writer = createWriter(this.#store, this.job.part)
  }

  async open(): Promise<void> {
    const { id } = this.job.definition
    const { part } = this.job
    const value = { status: 'queued', queue: queueName }
    const accepted = [{ table: progressTable, part, key: id, value }]
    await this.#store.commit({ checks: [], writes: accepted }, { part })
    await this.#writer.claim()
    const commit = this.#commit
    this.#store.commit = async (tx, opts) => {
      if (!tx.writes.some(({ key }) => key.startsWith(id))) return commit(tx, opts)
      this.transactionCount += 1
      if (this.#fault?.at !== this.transactionCount) {
        const result = await commit(tx, opts)
        await this.#check()
        return result
      }
      const { kind, whileFailed } = this.#fault
      if (kind === 'answer-lost') await commit(tx, opts)
      await this.#check()
      whileFailed()
      throw new StoreError('no answer', { isResultKnown: kind === 'refused' })
    }
  }

  async write(fault?: Parameters<SplitPlay['write']>[0]): Promise<void> {
    this.transactionCount = 0
    this.#fault = fault
    let isStored = false
    void this.#writer.write(this.job).then(() => {
      isStored = true
    })
    await waitUntil(() => isStored)
    this.#answered = summarize(this.job)
  }

  async deleteBlocksFirst(): Promise<void> {
    const { part } = this.job
    const { after } = takeJobRows(this.job)
    this.transactionCount = 0
    for (const write of after) {
      this.transactionCount += 1
      await this.#commit({ checks: [], writes: [write] }, { part })
      if (this.transactionCount % checkedDeletions === 0) await this.#check()
    }
    await this.#check()
  }

  async blockCount(): Promise<number> {
    return (await this.#store.scan(taskBlocksTable, { part: this.job.part })).length
  }

  close(): Promise<void> {
    return this.#writer.close()
  }

  /** Checks what the next dispatcher would restore, and what one after it would. */
  async #check(): Promise<void> {
    const present = summarize(this.job)
    const restored = await restore(this.#store, this.job.definition)
    if (restored === undefined) {
      if (!this.job.hasEnded || this.job.hasRuns) this.#note('the job is over')
      return
    }
    const next = summarize(restored)
    this.#compare(this.#answered, next, present)
    if (restored.hasEnded) return
    for (const [name, { failures, crashes }] of next.tasks)
      if (failures >= maxAttempts || crashes >= maxCrashes)
        this.#note(`${name} may start once more`)
    await this.#checkGangs()
    const copy = await copyJobRows(this.#store, restored)
    const writer = createWriter(copy, restored.part)
    await writer.claim()
    await writer.write(restored)
    await writer.close()
    const later = await restore(copy, restored.definition)
    if (later === undefined) this.#note('the job is over after the next takeover')
    else this.#compare(next, summarize(later), next)
  }

  /** Checks that a restored state is neither behind what was answered nor beyond the present state. */
  #compare(least: JobSummary, found: JobSummary, most: JobSummary): void {
    if (least.hasEnded && !found.hasEnded) this.#note('the job has not ended')
    if (found.hasEnded && !most.hasEnded) this.#note('the job has ended')
    for (const [name, task] of found.tasks) {
      const before = least.tasks.get(name) ?? task
      const after = most.tasks.get(name) ?? task
      const isPending = !task.isDone && task.run === undefined
      if (before.isDone && !task.isDone) this.#note(`${name} is not done`)
      if (task.isDone && !after.isDone) this.#note(`${name} is done`)
      if (isPending && after.isDone) this.#note(`${name} would start although it is done`)
      if (isPending && before.run !== undefined && before.run === after.run)
        this.#note(`${name} would start beside its run`)
      if (task.isDone) continue
      if (task.lastRun < before.lastRun) this.#note(`${name} would repeat a run number`)
      if (task.failures < before.failures) this.#note(`${name} has lost a failure`)
    }
  }

  /** The members of a gang share the number of their run, also of the next one after a takeover. */
  async #checkGangs(): Promise<void> {
    const restored = await restore(this.#store, this.job.definition)
    for (const { steps } of restored?.openOccurrences.values() ?? []) {
      for (const { name, definition, tasks, job } of steps) {
        if (definition.isGang !== true) continue
        for (const task of [...tasks.kept()]) job.abandonRun(task)
        for (const task of [...tasks.pending()]) job.beginRun(task, 'i-7f3a91c0', 1)
        const numbers = new Set(Array.from(tasks.kept(), ({ run }) => run?.number))
        if (numbers.size > 1) this.#note(`${name} would start with several run numbers`)
      }
    }
  }

  #note(breach: string): void {
    this.breaches.push(`after transaction ${this.transactionCount}: ${breach}`)
  }
}

function createWriter(store: MemoryStore, part: string): PartWriter {
  const onFenced = () => {
    throw new Error('the writer was fenced')
  }
  return createPartWriter({ store, part, fence: 1, term: 'term', log, onFenced })
}

/** Restores a job as a takeover does; undefined if it is over. */
export async function restore(
  store: MemoryStore,
  definition: JobDefinition,
): Promise<JobExecution | undefined> {
  const found: EarlierProgress = new Map()
  await readProgress({ store, log }, found, createGuaranteedWork())
  const stored = found.get(definition.id)
  return stored === undefined
    ? undefined
    : new JobExecution(definition, stored.progress, stored.blocks)
}

async function copyJobRows(store: MemoryStore, { part }: JobExecution): Promise<MemoryStore> {
  const copy = createMemoryStore()
  for (const table of [progressTable, taskBlocksTable]) {
    for (const { key, value } of await store.scan(table, { part }))
      await copy.commit({ checks: [], writes: [{ table, part, key, value }] }, { part })
  }
  return copy
}

function summarize(job: JobExecution): JobSummary {
  const { steps, schedule } = job.definition
  const complete = job.encode().complete ?? []
  const isOver = job.status === 'completed'
  const tasks = new Map<string, TaskState>()
  for (let number = 0; number < (schedule?.occurrences ?? 1); number++) {
    const isComplete = isOver || complete.some(([first, last]) => first <= number && number <= last)
    const open = job.openOccurrences.get(number)
    for (const [step, { count }] of steps.entries()) {
      for (let index = 0; index < count; index++) {
        const execution = open?.steps[step]
        const task = execution?.tasks.peek(index)
        tasks.set(`${number}.${step}.${index}`, {
          isDone: isComplete || execution?.tasks.isDone(index) === true,
          lastRun: task?.lastRun ?? 0,
          failures: task?.failures ?? 0,
          crashes: task?.crashes ?? 0,
          run: task?.run?.number,
        })
      }
    }
  }
  return { hasEnded: job.hasEnded, tasks }
}

/** Records runs of all tasks that may start. */
export function beginAll(job: JobExecution): void {
  for (const { steps } of job.openOccurrences.values()) {
    for (const step of steps) {
      const isReady = (step.definition.after ?? []).every(
        number => steps[number]?.doneCount === steps[number]?.tasks.length,
      )
      if (!isReady) continue
      for (const task of [...step.tasks.pending()]) job.beginRun(task, 'i-7f3a91c0', 1)
    }
  }
}

/** Ends the runs of tasks as done, as long as `isConcerned` holds for them. */
export function finish(job: JobExecution, isConcerned: (task: Task) => boolean = () => true): void {
  for (const task of [...job.tasksWithRun()])
    if (isConcerned(task)) job.markDone(task, task.lastRun, 1)
}

/** Ends the run of a task as failed, and with the last attempt the job. */
export function fail(job: JobExecution, task: Task): void {
  job.clearRun(task)
  task.failures += 1
  job.touch(task)
  if (task.failures >= maxAttempts) job.end('failed', 1)
}
