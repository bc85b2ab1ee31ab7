import { addAmounts, noAmounts, type Amounts, type Organisation } from '@bulrushbridge/scheduler'
import type { Occupant } from './occupant.js'

/** What each organisation has running, or may have. */
export interface OrganisationUsage {
  /** Adds an occupant's amounts, or with -1 takes them away. */
  change(occupant: Occupant, times: 1 | -1): void
  /** What each organisation may still start. */
  allowance(organisations: readonly Organisation[]): Map<string, Amounts>
}

/** Creates the usage of all organisations. */
export function createOrganisationUsage(): OrganisationUsage {
  const usage = new Map<string, Amounts>()
  return {
    change: ({ task }, times) => {
      const organisation = task?.step.job.job.organisation
      if (task === undefined || organisation === undefined) return
      const sum = usage.get(organisation) ?? { ...noAmounts }
      addAmounts(sum, task.step.step.amounts, times)
      usage.set(organisation, sum)
    },
    allowance: organisations =>
      new Map(
        organisations.map(({ name, limit }) => {
          const used = usage.get(name) ?? noAmounts
          const left = {
            cpuMillis: leftOf(limit.cpuMillis, used.cpuMillis),
            memoryMb: leftOf(limit.memoryMb, used.memoryMb),
            accelerators: leftOf(limit.accelerators, used.accelerators),
          }
          return [name, left]
        }),
      ),
  }
}

/** A limit of 0 is no limit. */
function leftOf(limit: number, used: number): number {
  return limit === 0 ? Number.POSITIVE_INFINITY : limit - used
}
