import { tasksPerBlock } from './task-block.js'
import type { StepTasks } from './step-tasks.js'

/**
 * Whether blocks are missing of a step that the job's own row shows as in blocks. Earlier builds deleted
 * the blocks of a step that was done some transactions before the own row said so, and no other blocks.
 *
 * A step that goes on has at least one block. As its tasks begin in the order of their index, it has no
 * block above a missing one, unless that block has tasks which have not begun.
 *
 * `stored` are the numbers of the step's stored blocks, which have been applied to `tasks`.
 *
 * @example
 * if (hasLostBlocks(step.tasks, [1, 2])) step.tasks.markAllDone()
 */
export function hasLostBlocks(tasks: StepTasks, stored: readonly number[]): boolean {
  const present = new Set(stored)
  const hasGap = stored.some(block => block > 0 && !present.has(block - 1))
  if (stored.length > 0 && !hasGap) return false
  return stored.every(block => hasBegun(tasks, block))
}

function hasBegun(tasks: StepTasks, block: number): boolean {
  const first = block * tasksPerBlock
  const end = Math.min(tasks.length, first + tasksPerBlock)
  for (let index = first; index < end; index++) {
    if (!tasks.isDone(index) && (tasks.peek(index)?.lastRun ?? 0) === 0) return false
  }
  return true
}
