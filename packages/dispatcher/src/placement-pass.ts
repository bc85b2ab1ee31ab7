import {
  chooseStarts,
  createWeightedShares,
  maxUnconfirmedRuns,
  noAmounts,
  slownessOf,
  sumWaitingWork,
  type Amounts,
  type AvailableRunner,
  type JobExecution,
  type JobQueue,
  type StepExecution,
} from '@bulrushbridge/scheduler'
import type { AdviceCache } from './advice-cache.js'
import type { JobTracker } from './job-tracker.js'
import { toAvailableRunner } from './available-runner.js'
import { bytesPerOccurrence, runBytes } from './memory-budget.js'
import type { LoadPublisher } from './load-publisher.js'
import type { MachineOrderRecord } from './machine-order-record.js'
import { RunStarter } from './run-starter.js'
import type { RunnerSession } from './runner-session.js'
import { createShareReport, type ShareReport } from './share-report.js'
import { queuesOf, type TermContext } from './term-context.js'

/** Most further occurrences of a job that a pass opens, so that the jobs of an organisation take turns. */
const maxOpenedPerPass = 64

/** Interval at which the slowness of runners is computed anew, in milliseconds; passes are more frequent. */
const slownessIntervalMs = 250

/** Places work: chooses which tasks start where. */
export class PlacementPass {
  readonly #ctx: TermContext
  readonly #starter: RunStarter
  readonly #advice: AdviceCache | undefined
  readonly #shareReport: ShareReport
  /** Sum of the amounts, by pool, of startable tasks for which the last pass found no runner. */
  #waiting = new Map<string, Amounts>()
  #waitingTaskCount = 0
  #awaitsConfirmations = false
  /** By runner, see `slownessOf`. */
  readonly #slowness = new Map<string, number>()
  #slownessAt = -Infinity
  /** Orders of earlier dispatchers to machines; set when they have been read. */
  machineOrders: MachineOrderRecord | undefined
  readonly #loadPublisher: LoadPublisher

  constructor(
    ctx: TermContext,
    jobTracker: JobTracker,
    advice: AdviceCache | undefined,
    loadPublisher: LoadPublisher,
  ) {
    this.#ctx = ctx
    this.#loadPublisher = loadPublisher
    this.#starter = new RunStarter(ctx, jobTracker, advice)
    this.#advice = advice
    this.#shareReport = createShareReport(ctx.opts)
  }

  close(): void {
    this.#shareReport.close()
  }

  /** Sum of the amounts of a pool's startable tasks for which the last pass found no runner. */
  waitingAmounts(pool: string): Amounts {
    return this.#waiting.get(pool) ?? noAmounts
  }

  /** Whether a runner gets no more runs until it has confirmed others. */
  get awaitsConfirmations(): boolean {
    return this.#awaitsConfirmations
  }

  /** Number of startable tasks that the last pass left without a run. */
  get waitingTaskCount(): number {
    return this.#waitingTaskCount
  }

  /** Whether the last pass found no runner for startable tasks of any pool. */
  get hasWaitingTasks(): boolean {
    return [...this.#waiting.values()].some(({ cpuMillis }) => cpuMillis > 0)
  }

  /**
   * Places at most `maxStarts` tasks of jobs outside of `laggingParts` of the store; each start order
   * is sent once its run is stored. Returns whether it placed that many, so that there may be more.
   */
  place(maxStarts: number, laggingParts: ReadonlySet<string>): boolean {
    const steps = this.#startableSteps(laggingParts)
    this.#waitingTaskCount = 0
    this.#awaitsConfirmations = false
    if (steps.length === 0) {
      this.#waiting = new Map()
      this.#shareReport.notePass({ wallNow: Date.now() })
      this.#loadPublisher.notePass({ steps, starts: [], queues: queuesOf(this.#ctx), runners: [] })
      return false
    }
    const organisations = this.#ctx.opts.view.configuration()?.organisations ?? []
    const allowance = this.#ctx.usage.allowance(organisations)
    const queues = queuesOf(this.#ctx)
    const runners = this.#availableRunners()
    const wallNow = Date.now()
    const shares = createWeightedShares({
      organisations,
      usage: this.#ctx.usage.byQueue(),
      steps,
      queues,
      runners,
      allowance,
      isGuaranteed: (job, weight) => this.#ctx.guaranteed.isGuaranteed(job, weight, wallNow),
    })
    const starts = chooseStarts({
      steps,
      queues,
      runners,
      runTimes: this.#ctx.runTimes,
      allowance,
      advisedRunners: step => this.#advisedRunners(step, queues, runners),
      wallNow,
      maxStarts,
      shares,
      hasRoomForRuns: (organisation, count) =>
        this.#ctx.memory.hasRoom(organisation, count * runBytes, 'run'),
    })
    this.#awaitsConfirmations = runners.some(
      ({ unconfirmedRuns }) => unconfirmedRuns >= maxUnconfirmedRuns,
    )
    this.#starter.begin(starts)
    this.#shareReport.notePass({ shares, steps, queues, wallNow })
    this.#loadPublisher.notePass({ steps, starts, queues, runners })
    this.#waitingTaskCount = steps.reduce((sum, { pendingCount }) => sum + pendingCount, 0)
    // What a full pass left out has not been offered to a runner, so it does not lack capacity.
    if (starts.length >= maxStarts) return true
    if (this.#awaitsConfirmations) return false
    this.#waiting = sumWaitingWork({ steps, queues, runners, allowance })
    return false
  }

  #advisedRunners(
    step: StepExecution,
    queues: ReadonlyMap<string, JobQueue>,
    runners: readonly AvailableRunner[],
  ): ReadonlySet<string> | undefined {
    const queue = queues.get(step.job.definition.queue)
    if (queue?.advice === undefined) return undefined
    const ids = runners.filter(({ pool }) => pool === queue.pool).map(({ id }) => id)
    return this.#advice?.runnersFor(step, queue.advice, ids)
  }

  #startableSteps(laggingParts: ReadonlySet<string>): StepExecution[] {
    const wallNow = Date.now()
    const steps: StepExecution[] = []
    for (const job of this.#ctx.jobs.values()) {
      if (job.hasEnded || laggingParts.has(job.part)) continue
      this.#openDueOccurrences(job, wallNow)
      steps.push(...job.startableSteps())
    }
    return steps
  }

  #openDueOccurrences(job: JobExecution, wallNow: number): void {
    const { memory } = this.#ctx
    const { organisation = '' } = job.definition
    const bytes = bytesPerOccurrence(job.definition)
    let opened = 0
    job.openDueOccurrences(wallNow, () => {
      if (opened >= maxOpenedPerPass) return false
      opened += 1
      if (!memory.hasRoom(organisation, bytes, 'occurrence')) return false
      memory.take(organisation, bytes, 'occurrence')
      return true
    })
  }

  #updateSlowness(now: number): void {
    if (now - this.#slownessAt < slownessIntervalMs) return
    this.#slownessAt = now
    const { speeds, sessions } = this.#ctx
    for (const { id, runnerStartedAt } of sessions.values())
      this.#slowness.set(id, slownessOf(speeds.factor(id, runnerStartedAt, now)))
    for (const id of this.#slowness.keys()) if (!sessions.has(id)) this.#slowness.delete(id)
  }

  /** Whether a runner takes new runs: it and its zone allow them, and it is not quarantined. */
  canStartOn(session: RunnerSession, now: number): boolean {
    if (!this.#starter.canStartOn(session)) return false
    return !this.#ctx.runnerFailures.isQuarantined(session.id, now)
  }

  #availableRunners(): AvailableRunner[] {
    const now = performance.now()
    this.#updateSlowness(now)
    const threatened = this.machineOrders?.threatenedRunners()
    const found: AvailableRunner[] = []
    for (const session of this.#ctx.sessions.values()) {
      const { entry } = session
      if (entry === undefined || !this.canStartOn(session, now)) continue
      const isThreatened = threatened?.has(session.id) === true
      const slowness = this.#slowness.get(session.id) ?? 0
      found.push({ ...toAvailableRunner(session, entry), isThreatened, slowness })
    }
    return found
  }
}
