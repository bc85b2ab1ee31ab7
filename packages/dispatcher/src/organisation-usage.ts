import { addAmounts, noAmounts, type Amounts, type Organisation } from '@bulrushbridge/scheduler'
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
}

/** Creates an empty record of the usage of all organisations. */
export function createOrganisationUsage(): OrganisationUsage {
  const usage = new Map<string, Amounts>()
  return {
    add: ({ task }, sign) => {
      const organisation = task?.step.job.definition.organisation
      if (task === undefined || organisation === undefined) return
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
  }
}

/** What is left of a limit; a limit of 0 means no limit. */
function remainingAmount(limit: number, used: number): number {
  return limit === 0 ? Number.POSITIVE_INFINITY : limit - used
}
