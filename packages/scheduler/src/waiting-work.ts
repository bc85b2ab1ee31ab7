import { addAmounts, noAmounts, countFitting, type Amounts } from './amounts.js'
import type { AvailableRunner } from './choose-starts.js'
import type { JobQueue } from './configuration.js'
import type { StepExecution } from './job-execution.js'

/** Input of {@link sumWaitingWork}, as it is once the starts of a pass have been recorded. */
export interface WaitingWorkInput {
  steps: readonly StepExecution[]
  queues: ReadonlyMap<string, JobQueue>
  runners: readonly AvailableRunner[]
  /** Resources that each organisation may still reserve; absent for those without a limit. */
  allowance: ReadonlyMap<string, Amounts>
}

/**
 * Sums by pool the resources of the startable tasks that found no free capacity. The full needs of
 * the tasks count, also the processor time that fillers need but do not reserve. Tasks beyond the
 * limit of their organisation are left out, because they do not wait for capacity; each step is
 * compared with the whole remaining allowance. Tasks larger than every runner of all pools are left
 * out too, because they could never start.
 *
 * @example
 * const { cpuMillis = 0 } = sumWaitingWork({ steps, queues, runners, allowance }).get('finder') ?? {}
 */
export function sumWaitingWork(input: WaitingWorkInput): Map<string, Amounts> {
  const waiting = new Map<string, Amounts>()
  for (const step of input.steps) {
    const { organisation, queue } = step.job.definition
    const { amounts } = step.definition
    const pool = input.queues.get(queue)?.pool
    if (pool === undefined || step.pendingCount === 0) continue
    if (!input.runners.some(({ capacity }) => countFitting(capacity, amounts) > 0)) continue
    const remaining = organisation === undefined ? undefined : input.allowance.get(organisation)
    const allowedCount =
      remaining === undefined ? step.pendingCount : countFitting(remaining, amounts)
    const sum = waiting.get(pool) ?? { ...noAmounts }
    addAmounts(sum, amounts, Math.min(step.pendingCount, allowedCount))
    waiting.set(pool, sum)
  }
  return waiting
}
