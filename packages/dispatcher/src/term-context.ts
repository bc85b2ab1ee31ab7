import type { JobState, Queue, RunnerHealth, RunTimes } from '@bulrushbridge/scheduler'
import type { DispatcherOptions } from './dispatcher.js'
import type { OrganisationUsage } from './organisation-usage.js'
import type { RunnerSession } from './runner-session.js'

/** What the parts of one term share. */
export interface TermContext {
  readonly opts: DispatcherOptions
  /** Fencing token of the term. */
  readonly fence: number
  /** When the term began. */
  readonly startedAt: number
  readonly jobs: Map<string, JobState>
  readonly sessions: Map<string, RunnerSession>
  readonly usage: OrganisationUsage
  readonly health: RunnerHealth
  readonly times: RunTimes
  /** Resolves when the job's present state or a later one is stored. */
  store: (job: JobState) => Promise<void>
  /** Asks for a pass that places work. */
  requestPass: () => void
  /** False while the lease is in doubt, before the takeover is complete, and after the term. */
  mayDecide: () => boolean
  /** A runner or the platform knows a later dispatcher. */
  onFenced: () => void
}

/** The queues of the configuration in force, by name. */
export function queuesOf({ opts }: TermContext): ReadonlyMap<string, Queue> {
  return new Map(opts.view.configuration()?.queues.map(queue => [queue.name, queue]))
}
