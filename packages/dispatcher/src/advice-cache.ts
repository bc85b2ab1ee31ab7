import { type AdviceApi, type AdviceTerms, type StepExecution } from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'

/**
 * Most runners in one call to the advice service. Any further runners are not asked about, and
 * count as not allowed until the tickets that were received are no longer used.
 */
const maxRunnersPerCall = 100

/** Fraction of a ticket's validity in which it is used, so that the start order arrives in time. */
const usedValidityFraction = 0.7

/** Pause after a call that failed, in milliseconds. */
const retryPauseMs = 300

interface Advice {
  /** Tickets of the allowed runners, by runner. */
  tickets: Map<string, string>
  /** Local time from which the tickets are not used any more. */
  usableUntil: number
}

/**
 * Caches tickets for the steps of queues whose policy allows only some runners. The advice is
 * binding: such a step starts only on runners with a ticket, which the start order carries.
 */
export interface AdviceCache {
  /** Runners that may run the step; undefined while that is not known. */
  runnersFor(
    step: StepExecution,
    terms: AdviceTerms,
    runnerIds: readonly string[],
  ): ReadonlySet<string> | undefined
  /** Ticket that allows the runner to run the step. */
  ticketFor(step: StepExecution, runnerId: string): string | undefined
  /** Forgets the tickets for all steps of a job. */
  forgetJob(jobId: string): void
}

/**
 * Creates the cache. It sends one call at a time, because the service answers one call at a time.
 *
 * @example
 * const allowed = cache.runnersFor(step, queue.advice, runnerIds)
 */
export function createAdviceCache(opts: {
  advice: AdviceApi
  log: Logger
  onChange: () => void
}): AdviceCache {
  const adviceByStep = new Map<string, Advice>()
  let isFetching = false
  let retryAt = 0
  const fetchAdvice = async (name: string, terms: AdviceTerms, runnerIds: readonly string[]) => {
    isFetching = true
    const result = await opts.advice.advise(name, runnerIds.slice(0, maxRunnersPerCall))
    isFetching = false
    const now = performance.now()
    if (result.outcome === 'done') {
      const tickets = new Map(result.value.map(({ runnerId, ticket }) => [runnerId, ticket]))
      adviceByStep.set(name, { tickets, usableUntil: now + usedValidityFraction * terms.validMs })
      opts.log.info('advice received', {
        step: name,
        asked: runnerIds.length,
        allowed: tickets.size,
      })
    } else {
      retryAt = now + retryPauseMs
      opts.log.warn('advice call failed', { step: name, reason: result.reason })
    }
    opts.onChange()
  }
  const current = (name: string) => {
    const advice = adviceByStep.get(name)
    return advice !== undefined && performance.now() < advice.usableUntil ? advice : undefined
  }
  return {
    runnersFor: (step, terms, runnerIds) => {
      const { name } = step
      const advice = current(name)
      if (advice !== undefined) return new Set(advice.tickets.keys())
      const canFetch = !isFetching && performance.now() >= retryAt && runnerIds.length > 0
      if (canFetch) void fetchAdvice(name, terms, runnerIds)
      return undefined
    },
    ticketFor: (step, runnerId) => current(step.name)?.tickets.get(runnerId),
    forgetJob: jobId => {
      for (const name of adviceByStep.keys())
        if (name.startsWith(`${jobId}.`)) adviceByStep.delete(name)
    },
  }
}
