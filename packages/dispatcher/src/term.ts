import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { normalizeError, systemClock } from '@bulrushbridge/errors'
import { createRunnerSpeeds, createRunTimeModel } from '@bulrushbridge/run-times'
import {
  createGuaranteedWork,
  createRunnerFailureTracker,
  acceptedJobsTable,
  partNames,
  type JobExecution,
} from '@bulrushbridge/scheduler'
import {
  followTable,
  wait,
  type HeldLease,
  type TableFollower,
  type TableFollowerOptions,
} from '@bulrushbridge/store'
import { createAdviceCache, type AdviceCache } from './advice-cache.js'
import type { DispatcherOptions } from './dispatcher.js'
import { JobTracker } from './job-tracker.js'
import { createLoadLog, type LoadLog } from './load-log.js'
import { createLoadPublisher, withListObserver, type LoadPublisher } from './load-publisher.js'
import type { MachineContext } from './machine-context.js'
import { createMachineController, type MachineController } from './machine-controller.js'
import { defaultMachineOrdersPerSecond, MachineOrderRate } from './machine-order-rate.js'
import { MachineOrderRecord } from './machine-order-record.js'
import { createMemoryBudget } from './memory-budget.js'
import { createOrganisationUsage } from './organisation-usage.js'
import { createPartWriter, FencedError, type PartWriter } from './part-writer.js'
import { PlacementPass } from './placement-pass.js'
import { PoolDemand } from './pool-demand.js'
import { createProgressRetention, type ProgressRetention } from './progress-retention.js'
import { readProgress } from './read-progress.js'
import { createRunMonitor, type RunMonitor } from './run-monitor.js'
import { createRunTimeStore, type RunTimeStore } from './run-time-store.js'
import { RunnerSessions } from './runner-sessions.js'
import { createStartLimit } from './start-limit.js'
import type { TermContext } from './term-context.js'
import { createTurnSlicer } from './turn-slicer.js'

/** Delay from a change to the placement pass, so that several changes share a pass; in ms. */
const passDelayMs = 8

/** Longest time between two placement passes, which start job occurrences that are due; in ms. */
const passIntervalMs = 200

/**
 * No job of a part of the store is placed while a change there has waited this long to be stored, in
 * ms; a transaction of a slow store takes 400 ms.
 */
const maxStoreLagMs = 2_000

/** Pause between two fetches of job changes, so that several come in one answer; in ms. */
const jobsFeedPauseMs = 15

/**
 * Pause between two fetches of runner registry changes, in ms; the runners' heartbeats rewrite its
 * rows constantly.
 */
const registryFeedPauseMs = 150

/** Pause before a failed takeover step is retried, in milliseconds. */
const takeoverRetryMs = 100

/** What a term needs from its dispatcher. */
export interface TermOwner {
  /** Whether the lease of the term has not ended by the clock; it ends before `suspend` is called. */
  isLeaseHeld: () => boolean
  /** Called when a runner, the platform or the store has seen a later dispatcher. */
  onFenced: () => void
}

/** One term of a dispatcher: from its takeover until it loses or releases the lease. */
export class Term {
  readonly #ctx: TermContext
  readonly #held: HeldLease
  readonly #closing = new AbortController()
  readonly #writers = new Map<string, PartWriter>()
  readonly #jobTracker: JobTracker
  readonly #runnerSessions: RunnerSessions
  readonly #placement: PlacementPass
  readonly #poolDemand: PoolDemand
  readonly #monitor: RunMonitor
  readonly #runTimeStore: RunTimeStore
  readonly #advice: AdviceCache | undefined
  readonly #loadLog: LoadLog
  readonly #loadPublisher: LoadPublisher
  readonly #startLimit = createStartLimit()
  #followers: TableFollower[] = []
  #machineController: MachineController | undefined
  #retention: ProgressRetention | undefined
  #isSuspended = false
  #isTakeoverComplete = false
  #isPassDue = false
  #passTimer: NodeJS.Timeout | undefined
  #stopWatchingView: (() => void) | undefined

  constructor(opts: DispatcherOptions, held: HeldLease, owner: TermOwner) {
    this.#held = held
    // Every pending call and pause adds a listener, so Node's warning about a leak is switched off.
    setMaxListeners(0, this.#closing.signal)
    const ctx = this.#createContext(opts, owner)
    this.#ctx = ctx
    const { log, advice } = opts
    const onChange = () => {
      ctx.requestPass()
    }
    this.#advice = advice === undefined ? undefined : createAdviceCache({ advice, log, onChange })
    this.#poolDemand = new PoolDemand(ctx, held.check)
    this.#jobTracker = new JobTracker({
      ctx,
      openSession: id => this.#runnerSessions.openSession(id, undefined),
      onJobLoaded: job => {
        this.#poolDemand.noteLoaded(job)
      },
      onJobForgotten: id => this.#advice?.forgetJob(id),
    })
    this.#runnerSessions = new RunnerSessions(ctx, this.#jobTracker.events())
    this.#loadPublisher = createLoadPublisher({
      ...opts,
      ...ctx,
      leaseCheck: held.check,
      hasMachines: opts.machines !== undefined,
      hostCount: () => ctx.connections.hostCount?.() ?? 1,
    })
    this.#placement = new PlacementPass(ctx, this.#jobTracker, this.#advice, this.#loadPublisher)
    this.#monitor = createRunMonitor({ ...ctx, log })
    const leaseCheck = held.check
    this.#runTimeStore = createRunTimeStore({ ...opts, ...ctx, leaseCheck })
    this.#loadLog = createLoadLog({
      fence: held.token,
      log,
      readState: () => ({
        jobs: ctx.jobs.size,
        runs: [...ctx.sessions.values()].reduce(
          (sum, { allocations }) => sum + allocations.size,
          0,
        ),
        waitingTasks: this.#placement.waitingTaskCount,
        usedBytes: ctx.memory.usedBytes,
        storeLagMs: this.#storeLagMs(),
      }),
    })
  }

  get fence(): number {
    return this.#ctx.fence
  }

  get isSuspended(): boolean {
    return this.#isSuspended
  }

  /** Takes over from earlier terms, then starts to place work; retries until the term is closed. */
  async open(): Promise<void> {
    const { opts, jobs, sessions, startedAt } = this.#ctx
    this.#createWriters()
    const runTimesLoaded = this.#runTimeStore.load()
    await this.#retry('claim', () => Promise.all([...this.#writers.values()].map(w => w.claim())))
    await this.#retry('read progress', () =>
      readProgress(opts, this.#jobTracker.earlierProgress, this.#ctx.guaranteed),
    )
    await this.#retry('read demand forecast', () => this.#poolDemand.load())
    if (this.#isClosed()) return
    // Jobs are read before runners, as an end of an unknown job would be acknowledged and lost.
    await this.#followJobs().ready
    this.#jobTracker.earlierProgress.clear()
    await this.#jobTracker.whenStartedJobsLoaded()
    await runTimesLoaded
    await this.#followRunners().ready
    const machineContext = this.#createMachineContext()
    const record = machineContext === undefined ? undefined : new MachineOrderRecord(machineContext)
    // Read before the first start, as earlier orders may end what is started.
    await this.#retry('read machine orders', () => record?.load() ?? Promise.resolve())
    if (this.#isClosed()) return
    this.#placement.machineOrders = record
    this.#stopWatchingView = opts.view.onChange(() => {
      this.#requestPass()
    })
    this.#isTakeoverComplete = true
    this.#poolDemand.completeTakeover()
    if (machineContext !== undefined && record !== undefined)
      this.#machineController = createMachineController(machineContext, record)
    this.#retention = createProgressRetention({ ...opts, statusKeptMs: opts.timing.statusKeptMs })
    opts.log.info('dispatcher takeover complete', {
      fence: this.fence,
      jobs: jobs.size,
      runners: sessions.size,
      tookMs: Math.round(performance.now() - startedAt),
    })
    this.#passLoop()
  }

  /** Stops placing work but renews runners' leases, while the dispatcher's lease is in doubt. */
  suspend(): void {
    this.#isSuspended = true
  }

  async close(): Promise<void> {
    this.#closing.abort()
    this.#stopWatchingView?.()
    clearTimeout(this.#passTimer)
    this.#loadLog.close()
    this.#placement.close()
    this.#jobTracker.close()
    this.#ctx.turns.close()
    await Promise.all([
      this.#machineController?.close(),
      this.#retention?.close(),
      this.#runTimeStore.close(),
      this.#loadPublisher.close(),
      ...this.#followers.map(follower => follower.close()),
      ...[...this.#ctx.sessions.values()].map(session => session.close()),
      ...[...this.#writers.values()].map(writer => writer.close()),
    ])
    await this.#ctx.connections.close()
  }

  #createContext(opts: DispatcherOptions, { isLeaseHeld, onFenced }: TermOwner): TermContext {
    return {
      opts,
      fence: this.#held.token,
      startedAt: performance.now(),
      jobs: new Map(),
      sessions: new Map(),
      connections: opts.connectRunners(),
      usage: createOrganisationUsage(),
      guaranteed: createGuaranteedWork(),
      memory: createMemoryBudget(),
      turns: createTurnSlicer(),
      runnerFailures: createRunnerFailureTracker(),
      runTimes: createRunTimeModel(),
      speeds: createRunnerSpeeds(),
      storeJob: job => this.#storeJob(job),
      requestPass: () => {
        this.#requestPass()
      },
      mayOrder: () => !this.#isClosed() && isLeaseHeld(),
      isActive: () =>
        !this.#isSuspended && this.#isTakeoverComplete && !this.#isClosed() && isLeaseHeld(),
      onFenced,
      onStartConfirmed: ms => {
        this.#loadLog.addStart(ms)
        if (this.#placement.awaitsConfirmations) this.#requestPass()
      },
    }
  }

  #createWriters(): void {
    const { opts, fence, onFenced } = this.#ctx
    const term = randomUUID()
    for (const part of partNames) {
      const { store, log } = opts
      const writer = createPartWriter({ store, part, fence, term, log, onFenced })
      this.#writers.set(part, writer)
    }
  }

  #storeJob(job: JobExecution): Promise<void> {
    const writer = this.#writers.get(job.part)
    return writer === undefined ? Promise.resolve() : writer.write(job)
  }

  #createMachineContext(): MachineContext | undefined {
    const { opts, fence, sessions, onFenced, isActive } = this.#ctx
    const { machines, machineOrdersPerSecond = defaultMachineOrdersPerSecond } = opts
    if (machines === undefined) return undefined
    return {
      ...opts,
      orderRate: new MachineOrderRate(machineOrdersPerSecond, performance.now()),
      machines: withListObserver(machines, list => {
        this.#loadPublisher.noteMachines(list)
      }),
      fence,
      leaseCheck: this.#held.check,
      sessions,
      canStartOn: session => this.#placement.canStartOn(session, performance.now()),
      demand: this.#poolDemand,
      waitingAmounts: pool => this.#placement.waitingAmounts(pool),
      isInactive: () => !isActive(),
      onFenced,
    }
  }

  async #retry(phase: string, attempt: () => Promise<unknown>): Promise<void> {
    const { opts, onFenced } = this.#ctx
    while (!this.#isClosed()) {
      try {
        await attempt()
        return
      } catch (err) {
        opts.log.warn('dispatcher takeover step failed', {
          step: phase,
          reason: normalizeError(err).message,
        })
        if (err instanceof FencedError) {
          onFenced()
          return
        }
        await wait(systemClock, takeoverRetryMs, this.#closing.signal)
      }
    }
  }

  #followJobs(): TableFollower {
    const applyRows: TableFollowerOptions['onChanges'] = rows => {
      for (const row of rows) this.#jobTracker.applyRow(row)
      this.#requestPass()
    }
    const follow = { table: acceptedJobsTable, parts: partNames, pauseMs: jobsFeedPauseMs }
    return this.#follow({ ...follow, onSnapshotPage: applyRows, onChanges: applyRows })
  }

  #followRunners(): TableFollower {
    return this.#follow({
      table: this.#ctx.opts.runners.table,
      parts: [''],
      pauseMs: registryFeedPauseMs,
      onSnapshot: rows => {
        this.#runnerSessions.applySnapshot(rows)
      },
      onChanges: rows => {
        for (const row of rows) this.#runnerSessions.applyRow(row)
      },
    })
  }

  #follow(opts: Omit<TableFollowerOptions, 'store' | 'onRejected' | 'onState'>): TableFollower {
    const { store, log } = this.#ctx.opts
    const onRejected: TableFollowerOptions['onRejected'] = ({ key }, reason) => {
      log.error('row could not be applied', { table: opts.table, key, reason })
    }
    const onState: TableFollowerOptions['onState'] = (state, detail) => {
      log.warn(`change feed ${state}`, { table: opts.table, detail })
    }
    const follower = followTable({ ...opts, store, onRejected, onState })
    this.#followers.push(follower)
    return follower
  }

  #requestPass(): void {
    if (this.#isPassDue) return
    this.#isPassDue = true
    const dueAt = performance.now() + passDelayMs
    setTimeout(() => {
      this.#isPassDue = false
      this.#pass(dueAt)
    }, passDelayMs)
  }

  #passLoop(): void {
    if (this.#isClosed()) return
    if (this.#ctx.isActive()) this.#monitor.check(performance.now())
    this.#jobTracker.removeOldEndedIds()
    this.#ctx.guaranteed.prune(Date.now())
    this.#jobTracker.loadWaiting()
    this.#requestPass()
    this.#passTimer = setTimeout(() => {
      this.#passLoop()
    }, passIntervalMs)
  }

  #pass(dueAt: number): void {
    const startedAt = performance.now()
    const maxStarts = this.#startLimit.next(startedAt - dueAt)
    if (!this.#ctx.isActive()) return
    if (this.#placement.place(maxStarts, this.#laggingParts())) this.#requestPass()
    this.#loadLog.addPass(performance.now() - startedAt)
    if (this.#placement.hasWaitingTasks || this.#poolDemand.hasRisen())
      this.#machineController?.wake()
  }

  #laggingParts(): ReadonlySet<string> {
    const lagging = new Set<string>()
    for (const [part, writer] of this.#writers)
      if (writer.lagMs() > maxStoreLagMs) lagging.add(part)
    return lagging
  }

  /** How long the oldest unwritten change of a job has waited, in milliseconds. */
  #storeLagMs(): number {
    return Math.max(0, ...[...this.#writers.values()].map(writer => writer.lagMs()))
  }

  /** A method, because the compiler assumes that the property does not change during awaits. */
  #isClosed(): boolean {
    return this.#closing.signal.aborted
  }
}
