import { z } from 'zod'
import type { StepTasks } from './step-tasks.js'
import type { Task } from './task.js'

/** Number of tasks in a block, so that a block of usual checkpoints is far below the limit of a row. */
export const tasksPerBlock = 128

const blockSchema = z.object({
  /** One bit for each task that is done, in base64. */
  done: z.string(),
  /** Runners of the current runs, with their start times in Unix milliseconds. */
  runners: z.array(z.tuple([z.string(), z.number()])),
  checkpoints: z.array(z.string()),
  tasks: z.array(
    z.tuple([
      // Position in the block.
      z.number(),
      // Number of runs that ended as failed.
      z.number(),
      // Number of the last run.
      z.number(),
      // Crashes of runners.
      z.number(),
      // Position of the checkpoint and of the runner, or -1 if there is none.
      z.number(),
      z.number(),
    ]),
  ),
})

/** Stored progress of up to {@link tasksPerBlock} tasks of a step. */
export type TaskBlock = z.infer<typeof blockSchema>

/** A list without duplicates, of which entries are named by their position. */
class Dictionary<T> {
  readonly entries: T[] = []
  readonly #positions = new Map<string, number>()

  positionOf(key: string, entry: T): number {
    let position = this.#positions.get(key)
    if (position === undefined) {
      position = this.entries.push(entry) - 1
      this.#positions.set(key, position)
    }
    return position
  }
}

/**
 * Encodes the tasks of one block; undefined if none has a state. A block that would take more than
 * `maxBytes` leaves out its largest checkpoints: those tasks start anew after a takeover, unless their
 * runner lists them.
 */
export function encodeBlock(
  tasks: StepTasks,
  block: number,
  maxBytes: number,
): TaskBlock | undefined {
  const encoded = encodeWithCheckpoints(tasks, block, Number.POSITIVE_INFINITY)
  if (encoded === undefined || byteLength(encoded) <= maxBytes) return encoded
  const lengths = encoded.checkpoints.map(byteLength).sort((a, b) => a - b)
  for (let limit = lengths.pop(); limit !== undefined; limit = lengths.pop()) {
    const smaller = encodeWithCheckpoints(tasks, block, limit)
    if (smaller === undefined || byteLength(smaller) <= maxBytes) return smaller
  }
  return encodeWithCheckpoints(tasks, block, 0)
}

/** Encodes a block without the checkpoints that take `limit` bytes or more. */
function encodeWithCheckpoints(
  tasks: StepTasks,
  block: number,
  limit: number,
): TaskBlock | undefined {
  const first = block * tasksPerBlock
  const end = Math.min(tasks.length, first + tasksPerBlock)
  const done = Buffer.alloc(tasksPerBlock / 8)
  const runners = new Dictionary<[string, number]>()
  const checkpoints = new Dictionary<string>()
  const rows: TaskBlock['tasks'] = []
  let hasDone = false
  for (let index = first; index < end; index++) {
    const position = index - first
    if (tasks.isDone(index)) {
      done.writeUInt8(done.readUInt8(position >> 3) | (1 << (position & 7)), position >> 3)
      hasDone = true
      continue
    }
    const task = tasks.peek(index)
    if (task === undefined || task.lastRun === 0) continue
    const { failures, lastRun, crashes, checkpoint, run } = task
    const isKept = checkpoint !== '' && (limit === Infinity || byteLength(checkpoint) < limit)
    rows.push([
      position,
      failures,
      lastRun,
      crashes,
      isKept ? checkpoints.positionOf(checkpoint, checkpoint) : -1,
      run === undefined
        ? -1
        : runners.positionOf(`${run.runnerId} ${run.runnerStartedAt}`, [
            run.runnerId,
            run.runnerStartedAt,
          ]),
    ])
  }
  if (!hasDone && rows.length === 0) return undefined
  return {
    done: hasDone ? done.toString('base64') : '',
    runners: runners.entries,
    checkpoints: checkpoints.entries,
    tasks: rows,
  }
}

/** Applies a stored block to the tasks of a step; false if the value is no block. */
export function applyBlock(tasks: StepTasks, block: number, value: unknown): boolean {
  const parsed = blockSchema.safeParse(value)
  if (!parsed.success) return false
  const { done, runners, checkpoints, tasks: rows } = parsed.data
  const first = block * tasksPerBlock
  const bits = Buffer.from(done, 'base64')
  for (let position = 0; position < tasksPerBlock; position++) {
    if (((bits[position >> 3] ?? 0) & (1 << (position & 7))) !== 0) tasks.markDone(first + position)
  }
  for (const [position, failures, lastRun, crashes, checkpointAt, runnerAt] of rows) {
    const task = tasks.get(first + position)
    if (task === undefined || task.isDone) continue
    const checkpoint = checkpoints[checkpointAt] ?? ''
    Object.assign(task, { failures, lastRun, crashes } satisfies Partial<Task>)
    tasks.saveCheckpoint(task, checkpoint)
    const [runnerId, runnerStartedAt] = runners[runnerAt] ?? []
    task.run =
      runnerId === undefined || runnerStartedAt === undefined
        ? undefined
        : { number: lastRun, runnerId, runnerStartedAt, isOrdered: true }
    tasks.update(task)
  }
  return true
}

function byteLength(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}
