import { addAmounts, suspicionOf, type Amounts } from '@bulrushbridge/scheduler'
import { allocationKey, type Allocation } from './allocation.js'

/**
 * The allocations of one runner, with the sums over them that the choice of a runner needs. The sums
 * are kept up to date with each change, as a pass over a large fleet would spend most of its time on
 * counting them anew.
 */
export class RunnerAllocations {
  readonly byKey = new Map<string, Allocation>()
  /** Capacity of the runner that no allocation takes. */
  readonly free: Amounts = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  /** Number of tasks on the runner by step name; steps without tasks are absent. */
  readonly tasksByStep = new Map<string, number>()
  servingTasks = 0
  fillerTasks = 0
  /** Number of tasks that are not lasting. */
  finiteTasks = 0
  /** Sum of the suspicion of the tasks that they crash runners. */
  suspicion = 0
  /** Number of tasks that must run alone. */
  loneTasks = 0

  /** Sets the capacity of the runner, which is not known before its registry entry is. */
  setCapacity(capacity: Amounts): void {
    Object.assign(this.free, capacity)
    for (const { amounts } of this.byKey.values()) addAmounts(this.free, amounts, -1)
  }

  add(allocation: Allocation): void {
    const key = allocationKey(allocation.taskName, allocation.runNumber)
    const replaced = this.byKey.get(key)
    if (replaced !== undefined) this.remove(replaced)
    this.byKey.set(key, allocation)
    addAmounts(this.free, allocation.amounts, -1)
    this.#count(allocation, 1)
  }

  /** Removes an allocation; returns whether the runner had it. */
  remove(allocation: Allocation): boolean {
    const key = allocationKey(allocation.taskName, allocation.runNumber)
    if (!this.byKey.delete(key)) return false
    addAmounts(this.free, allocation.amounts)
    this.#count(allocation, -1)
    return true
  }

  #count({ task, crashes, isAlone }: Allocation, change: 1 | -1): void {
    if (task === undefined) return
    this.suspicion += change * suspicionOf(crashes)
    if (isAlone) this.loneTasks += change
    const { name, definition } = task.step
    if (definition.isLasting !== true) this.finiteTasks += change
    const count = (this.tasksByStep.get(name) ?? 0) + change
    if (count > 0) this.tasksByStep.set(name, count)
    else this.tasksByStep.delete(name)
    if (definition.isFiller === true) this.fillerTasks += change
    else if (definition.targetMs !== undefined) this.servingTasks += change
  }
}
