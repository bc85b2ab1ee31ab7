import type { RunnerSpeeds, RunTimeModel } from '@bulrushbridge/run-times'
import type {
  GuaranteedWork,
  JobExecution,
  JobQueue,
  RunnerFailureTracker,
  SchedulerConfiguration,
} from '@bulrushbridge/scheduler'
import type { DispatcherOptions, RunnerConnections } from './dispatcher.js'
import type { MemoryBudget } from './memory-budget.js'
import type { OrganisationUsage } from './organisation-usage.js'
import type { RunnerSession } from './runner-session.js'
import type { TurnSlicer } from './turn-slicer.js'

/** State and callbacks that the components of one term share. */
export interface TermContext {
  readonly opts: DispatcherOptions
  /** Fencing token of the term. */
  readonly fence: number
  /** When the term began, in `performance.now()` milliseconds. */
  readonly startedAt: number
  readonly jobs: Map<string, JobExecution>
  readonly sessions: Map<string, RunnerSession>
  readonly connections: RunnerConnections
  readonly usage: OrganisationUsage
  readonly guaranteed: GuaranteedWork
  readonly memory: MemoryBudget
  /** For work on all runs of a job or a gang. */
  readonly turns: TurnSlicer
  readonly runnerFailures: RunnerFailureTracker
  readonly runTimes: RunTimeModel
  readonly speeds: RunnerSpeeds
  /**
   * Stores a job; resolves when its current state or a later one is stored. Never settles if the
   * term ends or another dispatcher takes over before that.
   */
  storeJob: (job: JobExecution) => Promise<void>
  /** Schedules a placement pass. */
  requestPass: () => void
  /** Whether orders to runners may be sent now: the lease is held, and the term has not ended. */
  mayOrder: () => boolean
  /** False while the lease is in doubt, before the takeover is complete, and after the term. */
  isActive: () => boolean
  /** Called when a runner, the platform or the store has seen a later dispatcher. */
  onFenced: () => void
  /** Called when a runner has confirmed a start, with the time since the order was first sent. */
  onStartConfirmed: (ms: number) => void
}

/** The queues of each configuration that is in use, as a configuration may have thousands. */
const queuesByConfiguration = new WeakMap<SchedulerConfiguration, ReadonlyMap<string, JobQueue>>()

const noQueues: ReadonlyMap<string, JobQueue> = new Map()

/** The queues of the current configuration, by name. */
export function queuesOf({ opts }: TermContext): ReadonlyMap<string, JobQueue> {
  const cfg = opts.view.configuration()
  if (cfg === undefined) return noQueues
  let queues = queuesByConfiguration.get(cfg)
  if (queues === undefined) {
    queues = new Map(cfg.queues.map(queue => [queue.name, queue]))
    queuesByConfiguration.set(cfg, queues)
  }
  return queues
}
