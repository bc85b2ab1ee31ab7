import {
  isAllowedOn,
  type JobExecution,
  type StepExecution,
  type TaskStart,
} from '@bulrushbridge/scheduler'
import type { AdviceCache } from './advice-cache.js'
import { createAllocation, type Allocation } from './allocation.js'
import type { JobTracker } from './job-tracker.js'
import type { RunnerSession } from './runner-session.js'
import { queuesOf, type TermContext } from './term-context.js'

/** A recorded run and the session of its runner. */
interface RecordedRun {
  session: RunnerSession
  allocation: Allocation
}

/** Runs of one job that are ordered together: those of a gang, or those on one runner. */
interface StartGroup {
  /** Set for a gang, which starts only as a whole. */
  gang: StepExecution | undefined
  runs: RecordedRun[]
}

/** Records the runs that a placement pass has chosen, and sends their start orders once they are stored. */
export class RunStarter {
  readonly #ctx: TermContext
  readonly #jobTracker: JobTracker
  readonly #advice: AdviceCache | undefined

  constructor(ctx: TermContext, jobTracker: JobTracker, advice: AdviceCache | undefined) {
    this.#ctx = ctx
    this.#jobTracker = jobTracker
    this.#advice = advice
  }

  /** Records runs; each job is stored once, then its start orders are sent. */
  begin(starts: readonly TaskStart[]): void {
    const groupsByJob = new Map<JobExecution, Map<StepExecution | RunnerSession, StartGroup>>()
    for (const { task, runnerId } of starts) {
      const session = this.#ctx.sessions.get(runnerId)
      if (session === undefined) continue
      const { step } = task
      step.job.beginRun(task, runnerId, session.runnerStartedAt)
      const allocation = createAllocation(task, session.runnerStartedAt)
      session.add(allocation)
      const groups = getOrCreate(
        groupsByJob,
        step.job,
        () => new Map<StepExecution | RunnerSession, StartGroup>(),
      )
      const gang = step.definition.isGang === true ? step : undefined
      const { runs } = getOrCreate(groups, gang ?? session, () => ({ gang, runs: [] }))
      runs.push({ session, allocation })
    }
    for (const [job, groups] of groupsByJob) {
      void this.#ctx.storeJob(job).then(() => {
        for (const group of groups.values()) void this.#start(job, group)
      })
    }
  }

  /** Whether the state of the runner and its zone allows new runs. */
  canStartOn(session: RunnerSession): boolean {
    const zone = session.entry?.zone
    return (
      session.isAvailable && zone !== undefined && !this.#ctx.opts.view.withdrawnZones().has(zone)
    )
  }

  /** Sends the start orders of a group of stored runs, but for those that must not start any more. */
  async #start(job: JobExecution, { gang, runs }: StartGroup): Promise<void> {
    const sessions = [...new Set(runs.map(({ session }) => session))]
    await Promise.all(sessions.map(session => session.whenCurrent()))
    const isGangWhole =
      gang === undefined ||
      (runs.every(({ allocation }) => isCurrent(allocation)) &&
        sessions.every(session => this.#isStillAllowed(gang, session)))
    await this.#ctx.turns.forEach(runs, run => {
      this.#order(job, run, isGangWhole)
    })
  }

  #order(job: JobExecution, { session, allocation }: RecordedRun, isGangWhole: boolean): void {
    const { task } = allocation
    const run = task?.run
    if (task === undefined || run === undefined || !isCurrent(allocation)) {
      // The task was done by an earlier run while this one was being stored.
      if (allocation.state === 'recorded') session.remove(allocation)
      return
    }
    const canStart = isGangWhole && !job.hasEnded && this.#ctx.isActive()
    if (!canStart || !this.#isStillAllowed(task.step, session)) {
      session.remove(allocation)
      this.#jobTracker.onRunGivenUp(session, allocation, 'not-started')
      return
    }
    run.isOrdered = true
    const ticket = this.#advice?.ticketFor(task.step, session.id)
    void session.start(allocation, job.definition.payload, ticket)
  }

  /** The entry of the runner or the configuration may have changed while the run was being stored. */
  #isStillAllowed(step: StepExecution, session: RunnerSession): boolean {
    const queue = queuesOf(this.#ctx).get(step.job.definition.queue)
    if (queue === undefined || session.entry === undefined) return false
    return this.canStartOn(session) && isAllowedOn(step, queue, session.entry)
  }
}

/** Whether a recorded run is the run of its task and has not been ordered. */
function isCurrent({ task, runNumber, state }: Allocation): boolean {
  return task?.run?.number === runNumber && state === 'recorded'
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key)
  if (value === undefined) {
    value = create()
    map.set(key, value)
  }
  return value
}
