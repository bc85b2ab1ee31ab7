import type { WorkResources } from '@bulrushbridge/host'
import type { Resources } from '@bulrushbridge/team-share'

/** Whether what is free is enough. */
export function fits(free: WorkResources, size: WorkResources): boolean {
  return (
    size.cpus <= free.cpus &&
    size.memoryMb <= free.memoryMb &&
    size.accelerators <= free.accelerators
  )
}

/** Subtracts in place; the result is negative where more is promised than there is. */
export function take(from: WorkResources, size: WorkResources): void {
  from.cpus -= size.cpus
  from.memoryMb -= size.memoryMb
  from.accelerators -= size.accelerators
}

/** Adds in place. */
export function giveBack(to: WorkResources, size: WorkResources): void {
  to.cpus += size.cpus
  to.memoryMb += size.memoryMb
  to.accelerators += size.accelerators
}

/** The sum of amounts, without other fields of the items. */
export function sumOf(sizes: Iterable<WorkResources>): WorkResources {
  const sum = { cpus: 0, memoryMb: 0, accelerators: 0 }
  for (const size of sizes) giveBack(sum, size)
  return sum
}

/** Amounts under the names of `team-share`. */
export function toResources({ cpus, memoryMb, accelerators }: WorkResources): Resources {
  return { cpus, memory: memoryMb, accelerators }
}

/** What the tasks leave free on each worker, by worker id. */
export function freeByWorker(
  workers: readonly (WorkResources & { id: string })[],
  tasks: Iterable<WorkResources & { worker: string }>,
): Map<string, WorkResources> {
  const free = new Map(workers.map(worker => [worker.id, sumOf([worker])]))
  for (const task of tasks) {
    const left = free.get(task.worker)
    if (left !== undefined) take(left, task)
  }
  return free
}
