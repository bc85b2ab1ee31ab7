import {
  stepName,
  type AdviceApi,
  type AdviceTerms,
  type StepState,
} from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'

/** Most runners in one call. */
const maxRunnersPerCall = 100

/** Part of a ticket's validity in which it is used, so that the order arrives in time. */
const usedShare = 0.7

/** Pause after a call that failed, in milliseconds. */
const retryPauseMs = 300

interface Advice {
  /** Ticket by runner. */
  tickets: Map<string, string>
  /** When the tickets stop being used. */
  deadline: number
}

/** Tickets for the steps of advised queues. */
export interface AdviceBook {
  /** Runners that may run the step; undefined while the advice is being asked for. */
  runnersFor(
    step: StepState,
    terms: AdviceTerms,
    runnerIds: readonly string[],
  ): ReadonlySet<string> | undefined
  ticketFor(step: StepState, runnerId: string): string | undefined
  forget(jobId: string): void
}

/**
 * Creates the book of advice. One step is asked about at a time, since the service answers one call
 * at a time.
 *
 * @example
 * const allowed = book.runnersFor(step, queue.advice, runnerIds)
 */
export function createAdviceBook(opts: {
  advice: AdviceApi
  log: Logger
  onChange: () => void
}): AdviceBook {
  const known = new Map<string, Advice>()
  let isAsking = false
  let retryAt = 0
  const ask = async (name: string, terms: AdviceTerms, runnerIds: readonly string[]) => {
    isAsking = true
    const result = await opts.advice.advise(name, runnerIds.slice(0, maxRunnersPerCall))
    isAsking = false
    const now = performance.now()
    if (result.outcome === 'done') {
      const tickets = new Map(result.value.map(({ runnerId, ticket }) => [runnerId, ticket]))
      known.set(name, { tickets, deadline: now + usedShare * terms.validMs })
      opts.log.info('advice taken', { step: name, asked: runnerIds.length, allowed: tickets.size })
    } else {
      retryAt = now + retryPauseMs
      opts.log.warn('no advice', { step: name, reason: result.reason })
    }
    opts.onChange()
  }
  const current = (name: string) => {
    const advice = known.get(name)
    return advice !== undefined && performance.now() < advice.deadline ? advice : undefined
  }
  return {
    runnersFor: (step, terms, runnerIds) => {
      const name = stepName(step)
      const advice = current(name)
      if (advice !== undefined) return new Set(advice.tickets.keys())
      const mayAsk = !isAsking && performance.now() >= retryAt && runnerIds.length > 0
      if (mayAsk) void ask(name, terms, runnerIds)
      return undefined
    },
    ticketFor: (step, runnerId) => current(stepName(step))?.tickets.get(runnerId),
    forget: jobId => {
      for (const name of known.keys()) if (name.startsWith(`${jobId}.`)) known.delete(name)
    },
  }
}
