import { addAmounts, noAmounts, timesFitting, type Amounts } from './amounts.js'
import type { OpenRunner } from './choose-starts.js'
import type { Queue } from './configuration.js'
import type { StepState } from './job-state.js'

/** What the sum is made from, after the starts of a pass have been recorded. */
export interface WaitingWorkState {
  steps: readonly StepState[]
  queues: ReadonlyMap<string, Queue>
  runners: readonly OpenRunner[]
  allowance: ReadonlyMap<string, Amounts>
}

/**
 * Sums by pool what startable tasks take that found no room. Tasks that an organisation's limit
 * holds back do not wait for room, and a task larger than any machine would wait in vain.
 *
 * @example
 * const { cpuMillis = 0 } = sumWaitingWork({ steps, queues, runners, allowance }).get('finder') ?? {}
 */
export function sumWaitingWork(state: WaitingWorkState): Map<string, Amounts> {
  const waiting = new Map<string, Amounts>()
  for (const step of state.steps) {
    const { organisation, queue } = step.job.job
    const { amounts } = step.step
    const pool = state.queues.get(queue)?.pool
    if (pool === undefined || step.pending === 0) continue
    if (!state.runners.some(({ capacity }) => timesFitting(capacity, amounts) > 0)) continue
    const left = organisation === undefined ? undefined : state.allowance.get(organisation)
    const allowed = left === undefined ? step.pending : timesFitting(left, amounts)
    const sum = waiting.get(pool) ?? { ...noAmounts }
    addAmounts(sum, amounts, Math.min(step.pending, allowed))
    waiting.set(pool, sum)
  }
  return waiting
}
