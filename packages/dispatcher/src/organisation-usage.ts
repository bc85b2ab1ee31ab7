import {
  addAmounts,
  noAmounts,
  type Amounts,
  type Organisation,
  type QueueUsage,
  type Task,
} from '@bulrushbridge/scheduler'
import type { Allocation } from './allocation.js'

/** Sums the amounts that the runs of each organisation take, or may take. */
export interface OrganisationUsage {
  /** Adds the amounts of an allocation's task, or with `sign` -1 subtracts them. */
  add(allocation: Allocation, sign: 1 | -1): void
  /**
   * Amounts that new runs of each organisation may still reserve. The map contains every given
   * organisation; an amount without a limit is infinite.
   */
  allowance(organisations: readonly Organisation[]): Map<string, Amounts>
  /** What the runs of each organisation reserve, by queue; organisations without runs are absent. */
  byQueue(): Iterable<QueueUsage>
}

/** Creates an empty record of the usage of all organisations. */
export function createOrganisationUsage(): OrganisationUsage {
  const usage = new Map<string, Amounts>()
  const queueUsage = new Map<string, QueueUsage & { runs: number }>()
  const addToQueue = ({ step }: Task, amounts: Amounts, sign: 1 | -1) => {
    const { organisation = '', queue } = step.job.definition
    const key = `${organisation}\0${queue}`
    const sum = queueUsage.get(key) ?? {
      organisation,
      queue,
      amounts: { ...noAmounts },
      lasting: { ...noAmounts },
      runs: 0,
    }
    addAmounts(sum.amounts, amounts, sign)
    if (step.definition.isLasting === true) addAmounts(sum.lasting, amounts, sign)
    sum.runs += sign
    if (sum.runs === 0) queueUsage.delete(key)
    else queueUsage.set(key, sum)
  }
  return {
    add: ({ task, amounts }, sign) => {
      if (task === undefined) return
      addToQueue(task, amounts, sign)
      const { organisation } = task.step.job.definition
      if (organisation === undefined) return
      const sum = usage.get(organisation) ?? { ...noAmounts }
      addAmounts(sum, task.step.definition.amounts, sign)
      usage.set(organisation, sum)
    },
    allowance: organisations =>
      new Map(
        organisations.map(({ name, limit }) => {
          const used = usage.get(name) ?? noAmounts
          const remaining = {
            cpuMillis: remainingAmount(limit.cpuMillis, used.cpuMillis),
            memoryMb: remainingAmount(limit.memoryMb, used.memoryMb),
            accelerators: remainingAmount(limit.accelerators, used.accelerators),
          }
          return [name, remaining]
        }),
      ),
    byQueue: () => queueUsage.values(),
  }
}

/** What is left of a limit; a limit of 0 means no limit. */
function remainingAmount(limit: number, used: number): number {
  return limit === 0 ? Number.POSITIVE_INFINITY : limit - used
}
