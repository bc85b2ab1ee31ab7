import type { ResourceAmounts } from '@bulrushbridge/host'
import type { Resources } from '@bulrushbridge/team-share'

/** Whether the free resources are enough for a job or task of the given size. */
export function fits(free: ResourceAmounts, size: ResourceAmounts): boolean {
  return (
    size.cpus <= free.cpus &&
    size.memoryMb <= free.memoryMb &&
    size.accelerators <= free.accelerators
  )
}

/** Subtracts `size` in place. The result is negative where more is reserved than exists. */
export function subtractResources(from: ResourceAmounts, size: ResourceAmounts): void {
  from.cpus -= size.cpus
  from.memoryMb -= size.memoryMb
  from.accelerators -= size.accelerators
}

/** Adds `size` in place. */
export function addResources(to: ResourceAmounts, size: ResourceAmounts): void {
  to.cpus += size.cpus
  to.memoryMb += size.memoryMb
  to.accelerators += size.accelerators
}

/** Sums resources. The result holds no other fields of the items. */
export function sumResources(sizes: Iterable<ResourceAmounts>): ResourceAmounts {
  const sum = { cpus: 0, memoryMb: 0, accelerators: 0 }
  for (const size of sizes) addResources(sum, size)
  return sum
}

/** Converts resources to the type of the `team-share` package. */
export function toShareResources({ cpus, memoryMb, accelerators }: ResourceAmounts): Resources {
  return { cpus, memory: memoryMb, accelerators }
}

/** Resources of each worker that no task uses, by worker id. */
export function freeResourcesByWorker(
  workers: readonly (ResourceAmounts & { id: string })[],
  tasks: Iterable<ResourceAmounts & { worker: string }>,
): Map<string, ResourceAmounts> {
  const free = new Map(workers.map(worker => [worker.id, sumResources([worker])]))
  for (const task of tasks) {
    const workerFree = free.get(task.worker)
    if (workerFree !== undefined) subtractResources(workerFree, task)
  }
  return free
}
