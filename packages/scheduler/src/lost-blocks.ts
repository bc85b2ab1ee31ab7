import { tasksPerBlock } from './task-block.js'
import type { StepTasks } from './step-tasks.js'

/**
 * Whether blocks of a step that is not done by its job's own row have been deleted because it was done.
 * Earlier builds deleted the blocks of a step some transactions before the own row said that it was
 * done. Of a step that goes on at least one block is stored, and as tasks begin in the order of their
 * index, a block is missing below another one only if that one has tasks which have not begun.
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
