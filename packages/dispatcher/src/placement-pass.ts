import {
  chooseStarts,
  noAmounts,
  sumWaitingWork,
  type Amounts,
  type JobState,
  type OpenRunner,
  type Queue,
  type StepState,
  type Task,
} from '@bulrushbridge/scheduler'
import type { AdviceBook } from './advice-book.js'
import type { JobRuns } from './job-runs.js'
import { createOccupant, type Occupant } from './occupant.js'
import { asOpenRunner } from './open-runner.js'
import type { RunnerSession } from './runner-session.js'
import { queuesOf, type TermContext } from './term-context.js'

/** Starts in one pass; more follow in the next, after others had their turn. */
const startsPerPass = 200

/** Places work: chooses starts, records them and orders them once they are stored. */
export class PlacementPass {
  readonly #ctx: TermContext
  readonly #runs: JobRuns
  readonly #advice: AdviceBook | undefined
  /** What the startable tasks of each pool take that found no room in the last pass. */
  #waiting = new Map<string, Amounts>()

  constructor(ctx: TermContext, runs: JobRuns, advice: AdviceBook | undefined) {
    this.#ctx = ctx
    this.#runs = runs
    this.#advice = advice
  }

  /** What the startable tasks of a pool take that found no room in the last pass. */
  waitingIn(pool: string): Amounts {
    return this.#waiting.get(pool) ?? noAmounts
  }

  /** Whether startable tasks of any pool found no room in the last pass. */
  get isRoomShort(): boolean {
    return [...this.#waiting.values()].some(({ cpuMillis }) => cpuMillis > 0)
  }

  /** Chooses starts and records them; each is ordered once it is stored. */
  run(): void {
    const steps = this.#startableSteps()
    this.#waiting = new Map()
    if (steps.length === 0) return
    const allowance = this.#ctx.usage.allowance(
      this.#ctx.opts.view.configuration()?.organisations ?? [],
    )
    const runners = this.#openRunners()
    const queues = queuesOf(this.#ctx)
    const starts = chooseStarts({
      steps,
      queues,
      runners,
      times: this.#ctx.times,
      allowance,
      advised: step => this.#advisedRunners(step, queues, runners),
      wallNow: Date.now(),
      limit: startsPerPass,
    })
    for (const { task, runnerId } of starts) this.#record(task, runnerId)
    this.#waiting = sumWaitingWork({ steps, queues, runners, allowance })
  }

  #advisedRunners(
    step: StepState,
    queues: ReadonlyMap<string, Queue>,
    runners: readonly OpenRunner[],
  ): ReadonlySet<string> | undefined {
    const queue = queues.get(step.job.job.queue)
    if (queue?.advice === undefined) return undefined
    const ids = runners.filter(({ pool }) => pool === queue.pool).map(({ id }) => id)
    return this.#advice?.runnersFor(step, queue.advice, ids)
  }

  #startableSteps(): StepState[] {
    const wallNow = Date.now()
    const steps: StepState[] = []
    for (const job of this.#ctx.jobs.values()) {
      if (job.isFinal) continue
      job.openDue(wallNow)
      steps.push(...job.startable())
    }
    return steps
  }

  #record(task: Task, runnerId: string): void {
    const session = this.#ctx.sessions.get(runnerId)
    if (session === undefined) return
    const { job } = task.step
    job.beginRun(task, runnerId, session.bornAt)
    const occupant = createOccupant(task, session.bornAt)
    session.add(occupant)
    void this.#ctx.store(job).then(() => {
      this.#order(session, occupant, job)
    })
  }

  /** Orders a stored run, unless something has changed since it was chosen. */
  #order(session: RunnerSession, occupant: Occupant, job: JobState): void {
    const isCurrent = occupant.task?.run?.number === occupant.run && occupant.state === 'recorded'
    if (!isCurrent) return
    if (job.isFinal || !this.#ctx.mayDecide() || !this.#mayStart(session)) {
      session.remove(occupant)
      this.#runs.onDeath(session, occupant, 'not-started')
      return
    }
    const ticket = this.#advice?.ticketFor(occupant.task.step, session.id)
    void session.start(occupant, job.job.payload, ticket)
  }

  #mayStart(session: RunnerSession): boolean {
    const zone = session.entry?.zone
    return session.isOpen && zone !== undefined && !this.#ctx.opts.view.zonesOut().has(zone)
  }

  #openRunners(): OpenRunner[] {
    const now = performance.now()
    const found: OpenRunner[] = []
    for (const session of this.#ctx.sessions.values()) {
      const { entry } = session
      if (entry === undefined || !this.#mayStart(session)) continue
      if (this.#ctx.health.isClosed(session.id, now)) continue
      found.push(asOpenRunner(session, entry))
    }
    return found
  }
}
