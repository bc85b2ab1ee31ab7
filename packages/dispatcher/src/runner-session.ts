import { setMaxListeners } from 'node:events'
import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  runnerFence,
  type ReportedEnd,
  type RunnerApi,
  type RunnerEntry,
  type RunnerReport,
} from '@bulrushbridge/scheduler'
import { wait } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { IdlePause } from './idle-pause.js'
import { allocationKey, type Allocation } from './allocation.js'
import { EndTracker } from './end-tracker.js'
import { changedFields } from './entry-change.js'
import { RunnerAllocations } from './runner-allocations.js'
import { createRunnerClock, type RunnerClock } from './runner-clock.js'
import { RunnerOrders, type RunnerOrdersOptions } from './runner-orders.js'

/** Pause after a failed poll, in milliseconds. */
const failedPollPauseMs = 150

/** Longest pause of a session whose runner runs nothing, in milliseconds; changes end it early. */
const maxIdlePauseMs = 60_000

/** Longest wait for run ends to be stored before the next poll renews the lease, in ms. */
const maxStoreWaitMs = 400

/** Pause between polls while run ends are not stored and so not acknowledged, in milliseconds. */
const unstoredEndsPauseMs = 250

/**
 * Why a run is given up although its runner listed no end; also a metric value.
 *
 * - `reborn`: the runner restarted.
 * - `lease-ended`: all leases of an unreachable runner expired.
 * - `vanished`: the runner no longer lists the run.
 * - `not-started`: no start was carried out.
 * - `machine-gone`: the machine is down, has moved, or runs another runner.
 */
export type GiveUpCause = 'reborn' | 'lease-ended' | 'vanished' | 'not-started' | 'machine-gone'

/** Callbacks from a session to its dispatcher. */
export interface SessionEvents {
  /** The runner listed the end of a run; resolves when it is stored and may be acknowledged. */
  onEnd(session: RunnerSession, end: ReportedEnd, allocation: Allocation | undefined): Promise<void>
  /** A run was given up without a listed end. */
  onRunGivenUp(session: RunnerSession, allocation: Allocation, cause: GiveUpCause): void
  /** Runs were lost with the runner, which crashed or can't be reached any more. */
  onRunsLost(session: RunnerSession, allocations: readonly Allocation[]): void
  /** Creates the allocation of a run that the runner lists and that is not expected there. */
  allocateUnexpectedRun(session: RunnerSession, name: string, run: number): Allocation
  /** The runner's free resources, reachability or readiness changed. */
  onChange(session: RunnerSession): void
  /** The runner has seen a later dispatcher. */
  onFenced(): void
  /** The runner has confirmed that a run started. */
  onStartConfirmed(session: RunnerSession, allocation: Allocation): void
  /** An allocation was added (`sign` is 1) or removed (-1). */
  onAllocationChange(allocation: Allocation, sign: 1 | -1): void
}

/** Options of {@link createRunnerSession}. */
export interface RunnerSessionOptions {
  id: string
  /** Undefined for a runner that is not registered and may still run something. */
  entry: RunnerEntry | undefined
  /** Fencing token of the term. */
  fence: number
  /** Lease that each poll grants, in milliseconds. */
  leaseMs: number
  /** Longest lease that a runner takes; it shortens longer ones to this, in milliseconds. */
  maxLeaseMs: number
  /** How long the runner may delay its answer to a poll until a run ends, in milliseconds. */
  pollWaitMs: number
  /** Time by which all leases that earlier dispatchers granted have certainly ended. */
  assumedLeaseEnd: number
  createRunner: (opts: { address: string; runnerId: string; zone: string }) => RunnerApi
  events: SessionEvents
  /** Whether the dispatcher holds its lease, without which no order and no new token is sent. */
  mayOrder: () => boolean
  log: Logger
}

/**
 * Starts the session of one runner.
 *
 * @example
 * const session = createRunnerSession({ id: 'r1', entry, fence, events, log, ...rest })
 */
export function createRunnerSession(opts: RunnerSessionOptions): RunnerSession {
  return new RunnerSession(opts)
}

/**
 * The dispatcher's view of one runner: its allocations, its lease, and the loop that polls it. Each
 * poll renews the lease and collects the ends of runs. The loop polls for as long as something may
 * run on the runner.
 */
export class RunnerSession {
  readonly id: string
  /** What the allocations take, and the tasks they are for. */
  readonly load = new RunnerAllocations()
  readonly allocations: ReadonlyMap<string, Allocation> = this.load.byKey
  /** No new runs start, because the machine is about to begin its upkeep or leave the pool. */
  isCordoned = false
  /** An upkeep or a move of the machine was ordered and is neither accepted nor refused. */
  hasOpenMachineOrder = false
  /** A pool move brought the machine into a working pool, see `PoolMoves`. */
  isLent = false
  /** An upkeep order, which ends everything on the machine, has been or may have been sent. */
  isUpkeepExpected = false
  /** Since when polls have failed; undefined while they succeed. */
  unreachableSince: number | undefined
  /** When the runner last listed a run that ended as done; undefined before the first. */
  lastDoneAt: number | undefined
  /** When the runner last answered a poll; undefined before the first answer of this term. */
  answeredAt: number | undefined
  /** When the last poll of this term that the runner answered was sent; undefined before the first. */
  answeredPollSentAt: number | undefined
  readonly #opts: RunnerSessionOptions
  readonly #closing = new AbortController()
  readonly #clock: RunnerClock
  readonly #orders: RunnerOrders
  readonly #loopDone: Promise<void>
  #entry: RunnerEntry | undefined
  #isRegistered: boolean
  #api: RunnerApi | undefined
  #runnerStartedAt: number | undefined
  /** Restarts of the runner that were seen in this term. */
  #restarts = 0
  #wasRestartExpected = false
  readonly #endTracker = new EndTracker()
  /**
   * The present incarnation of the runner has answered a poll with its fencing token, so that calls
   * from before are refused, and nothing has invalidated what it listed.
   */
  #isReconciled = false
  /**
   * The runner may have restarted or its runs may have changed. Until the next poll succeeds, the
   * session polls even without allocations, asks for an immediate answer, and acknowledges nothing.
   */
  #needsResync = true
  readonly #idlePause = new IdlePause()
  /** Of a runner that is not polled while it is idle; settled by the next poll. */
  #nextPoll: Deferred | undefined

  constructor(opts: RunnerSessionOptions) {
    this.#opts = opts
    this.id = opts.id
    this.#entry = opts.entry
    this.#isRegistered = opts.entry !== undefined
    // Each run's pending order adds a listener, so Node's warning about a leak is switched off.
    setMaxListeners(0, this.#closing.signal)
    this.#clock = createRunnerClock(opts.assumedLeaseEnd)
    this.#orders = new RunnerOrders(this.#runnerOrdersOptions())
    if (opts.entry !== undefined) this.#connect(opts.entry)
    this.#loopDone = Promise.resolve().then(() => this.#pollLoop())
  }

  get entry(): RunnerEntry | undefined {
    return this.#entry
  }

  get isRegistered(): boolean {
    return this.#isRegistered
  }

  /** Labels are [kind, rack]; the rack is the first label that is not the kind. */
  get rack(): string {
    return this.#entry?.labels.find(label => label !== this.#entry?.labels[0]) ?? ''
  }

  get runnerStartedAt(): number {
    return this.#runnerStartedAt ?? this.#entry?.startedAt ?? 0
  }

  /** Whether the state of the runner itself allows new runs. */
  get isAvailable(): boolean {
    return (
      this.#isReconciled &&
      this.#isRegistered &&
      this.#isEntryCurrent() &&
      this.unreachableSince === undefined &&
      !this.isCordoned &&
      this.#entry?.isDraining === false
    )
  }

  /**
   * Whether the registry entry is of the incarnation that answers polls. After a restart the pool, the
   * labels and the capacity may be others.
   */
  #isEntryCurrent(): boolean {
    const registered = this.#entry?.startedAt ?? 0
    // An entry without a start time is of any incarnation.
    return registered === 0 || registered === (this.#runnerStartedAt ?? registered)
  }

  /** Whether the registry shows a later incarnation than the last poll; it has seen no fencing token. */
  #hasUnseenRestart(): boolean {
    return (this.#entry?.startedAt ?? 0) > (this.#runnerStartedAt ?? Infinity)
  }

  /** Applies a changed registry entry of the runner. */
  update(entry: RunnerEntry): void {
    const before = this.#entry
    this.#entry = entry
    // A session that was unregistered and has no allocations does not poll.
    if (!this.#isRegistered) this.#idlePause.wake()
    this.#isRegistered = true
    const changed = before === undefined ? undefined : changedFields(before, entry)
    if (changed !== undefined)
      this.#opts.log.info('runner entry changed', { runner: this.id, ...changed })
    if (before?.address !== entry.address) this.#connect(entry)
    if (before?.startedAt !== entry.startedAt) this.#needsResync = true
    this.#recomputeFree()
    const isSame =
      before?.isDraining === entry.isDraining &&
      before.startedAt === entry.startedAt &&
      before.address === entry.address
    if (isSame) return
    this.#idlePause.wake()
    this.#opts.events.onChange(this)
  }

  /**
   * Handles the removal of the runner's registry entry; its runs are polled until they end or the
   * lease ends.
   */
  unregister(): void {
    this.#isRegistered = false
    this.#idlePause.wake()
  }

  /** Adds the allocation of a recorded run. */
  add(allocation: Allocation): void {
    if (this.#idlePause.isPausing) this.#nextPoll ??= createDeferred()
    this.load.add(allocation)
    this.#opts.events.onAllocationChange(allocation, 1)
    this.#idlePause.wake()
  }

  /** Removes the allocation of a run that is over or was never ordered. */
  remove(allocation: Allocation): void {
    if (!this.load.remove(allocation)) return
    this.#opts.events.onAllocationChange(allocation, -1)
  }

  /**
   * Resolves when a poll has shown whether the runner restarted while it was idle and not polled; at
   * once if it is polled anyway.
   */
  whenCurrent(): Promise<void> {
    return this.#nextPoll?.promise ?? Promise.resolve()
  }

  /** Sends the start order of a recorded run; retries or stops it if the answer is lost. */
  start(allocation: Allocation, payload: string, ticket: string | undefined): Promise<void> {
    return this.#orders.start(allocation, payload, ticket)
  }

  /** Sends a stop order for a run, and repeats it until it is answered or the run is over. */
  stop(allocation: Allocation): Promise<void> {
    return this.#orders.stop(allocation)
  }

  /** Orders a run to work for the given share of its time (duty cycle), in percent. */
  pace(allocation: Allocation, percent: number): Promise<void> {
    return this.#orders.pace(allocation, percent)
  }

  /**
   * Gives up the runs, because the list of machines that was requested at `listRequestedAt` shows the
   * machine as down, as moved or with another runner. An answer to a later poll outweighs the list. A
   * run whose start order got no answer stays until its leases have ended: the order may still be
   * carried out by the next incarnation of the runner, which has seen no fencing token.
   */
  markMachineUnavailable(listRequestedAt: number): void {
    if ((this.answeredPollSentAt ?? 0) > listRequestedAt) return
    this.#isReconciled = false
    this.#needsResync = true
    const lost = [...this.allocations.values()].filter(allocation => !isStartUnanswered(allocation))
    this.#loseRuns(lost, 'machine-gone')
  }

  async close(): Promise<void> {
    this.#closing.abort()
    this.#idlePause.wake()
    await this.#api?.close()
    await this.#loopDone
  }

  async #pollLoop(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      if (this.#isIdle()) {
        await this.#idlePause.wait(maxIdlePauseMs)
        // The runner may have restarted meanwhile, so a poll that follows because a run was added
        // acknowledges nothing.
        if (this.allocations.size > 0) this.#needsResync = true
        continue
      }
      if (this.#haveLeasesEnded()) this.#giveUpAll()
      // A poll that tells the runner a new fencing token is an order; the others renew leases.
      const isAllowed = this.#isReconciled || this.#opts.mayOrder()
      if (this.#api === undefined || !isAllowed) {
        await this.#pause(failedPollPauseMs)
        continue
      }
      try {
        await this.#poll(this.#api)
      } catch (err) {
        this.#markUnreachable(normalizeError(err).message)
        await this.#pause(failedPollPauseMs)
      }
    }
  }

  #isIdle(): boolean {
    if (!this.#isRegistered || this.#api === undefined) return this.allocations.size === 0
    const isSettled = this.#endTracker.isFullyAcknowledged && !this.#needsResync
    const isReachable = this.#isReconciled && this.unreachableSince === undefined
    return isReachable && isSettled && this.allocations.size === 0
  }

  /** Whether all leases ended while the runner was unreachable, so that nothing runs there. */
  #haveLeasesEnded(): boolean {
    if (this.allocations.size === 0) return false
    const isUnreachable = this.unreachableSince !== undefined || this.#api === undefined
    return (
      (isUnreachable || !this.#isReconciled) && performance.now() > this.#clock.allLeasesEndAt()
    )
  }

  #giveUpAll(): void {
    this.#loseRuns([...this.allocations.values()], 'lease-ended')
  }

  async #poll(api: RunnerApi): Promise<void> {
    const sentAt = performance.now()
    const isResync = this.#needsResync
    // Ends are acknowledged once, as a poll that is carried out after a restart of the runner would
    // acknowledge ends of the new incarnation.
    const hasAcknowledged = this.#endTracker.isAcknowledged
    const acknowledged = isResync || hasAcknowledged ? 0 : this.#endTracker.stored
    const result = await api.poll({
      fence: this.#fence(),
      acknowledged,
      leaseDeadline: this.#isReconciled
        ? this.#clock.grantLease(sentAt, this.#opts.leaseMs)
        : undefined,
      waitMs:
        isResync || this.#endTracker.hasUnstoredEnds() || !this.#isReconciled
          ? 0
          : this.#opts.pollWaitMs,
    })
    if (this.#closing.signal.aborted || api !== this.#api) return
    if (result.outcome !== 'done') {
      this.#markUnreachable(result.reason)
      await this.#pause(failedPollPauseMs)
      return
    }
    if (result.value.isFenced) {
      this.#opts.events.onFenced()
      await this.#pause(failedPollPauseMs)
      return
    }
    this.#endTracker.acknowledge(acknowledged)
    const applied = this.#applyReport(result.value.report, sentAt)
    this.#settleNextPoll()
    await applied
  }

  async #applyReport(report: RunnerReport, sentAt: number): Promise<void> {
    this.answeredPollSentAt = sentAt
    this.answeredAt = performance.now()
    const previous = this.#runnerStartedAt
    const isNewIncarnation = report.startedAt !== undefined && report.startedAt !== previous
    if (isNewIncarnation) this.#beginIncarnation(report.startedAt)
    this.#clock.observe(report.clockMs, performance.now())
    // The next poll tells a restarted runner its new fencing token. Until then a call to its earlier
    // incarnation may still be carried out, so this report proves nothing about runs.
    if (isNewIncarnation && previous !== undefined) return
    this.#reportLostIncarnation()
    this.#endTracker.receive(report.ended, end => {
      const allocation = this.allocations.get(allocationKey(end.task, end.run))
      if (allocation !== undefined) this.remove(allocation)
      return this.#opts.events.onEnd(this, end, allocation)
    })
    this.#applyRunning(report, sentAt)
    const wasReachable = this.#isReconciled && this.unreachableSince === undefined
    if (this.unreachableSince !== undefined)
      this.#opts.log.info('runner reachable again', { runner: this.id })
    this.unreachableSince = undefined
    if (!report.hasMoreEnds) this.#isReconciled = true
    // The next poll may acknowledge again, because it counts ends of the present incarnation.
    this.#needsResync = false
    if (!wasReachable || report.ended.length > 0) this.#opts.events.onChange(this)
    if (!this.#endTracker.hasUnstoredEnds()) return
    // The runner repeats unacknowledged ends at once, so the next poll waits for the store.
    await Promise.race([this.#endTracker.whenStored, this.#pause(maxStoreWaitMs)])
    if (this.#endTracker.hasUnstoredEnds()) await this.#pause(unstoredEndsPauseMs)
  }

  /** Handles a new start time of the runner: it restarted, or this is its first report. */
  #beginIncarnation(startedAt: number | undefined): void {
    const previous = this.#runnerStartedAt
    this.#runnerStartedAt = startedAt
    this.#endTracker.reset()
    if (previous === undefined) return
    this.#opts.log.info('runner restarted', {
      runner: this.id,
      startedAt,
      previous,
      runs: this.allocations.size,
    })
    // An order may have reached the runner after its restart, with a deadline on its earlier clock.
    this.#clock.reset(performance.now() + this.#opts.maxLeaseMs)
    this.#restarts += 1
    this.#isReconciled = false
    this.#needsResync = true
    this.#wasRestartExpected = this.#isEndExpected()
    // The order may still be carried out.
    if (this.hasOpenMachineOrder) return
    this.isCordoned = false
    this.isUpkeepExpected = false
  }

  /** Whether the runner is about to end by an order or by itself, so that its end is no crash. */
  #isEndExpected(): boolean {
    return this.isCordoned || this.isUpkeepExpected || this.#entry?.isDraining === true
  }

  #applyRunning(report: RunnerReport, sentAt: number): void {
    const now = performance.now()
    const listed = new Set<string>()
    for (const { task, run, checkpoint, percent, usage } of report.running) {
      const key = allocationKey(task, run)
      listed.add(key)
      let allocation = this.allocations.get(key)
      if (allocation === undefined) {
        allocation = this.#opts.events.allocateUnexpectedRun(this, task, run)
        this.add(allocation)
        void this.stop(allocation)
      }
      if (allocation.percent !== percent) {
        allocation.percent = percent
        allocation.percentAt = now
      }
      allocation.usage = usage
      const { task: known } = allocation
      if (checkpoint !== '' && known?.step.definition.savesProgress === true) {
        known.step.tasks.saveCheckpoint(known, checkpoint)
        known.step.job.touch(known)
      }
      if (allocation.state === 'recorded') allocation.state = 'present'
      if (allocation.runnerStartedAt !== this.runnerStartedAt) {
        allocation.runnerStartedAt = this.runnerStartedAt
        allocation.isLossReported = false
        // The stop was accepted by an earlier incarnation, which did not have this run.
        if (allocation.state === 'stopping') {
          allocation.state = 'present'
          void this.stop(allocation)
        }
      }
      if (allocation.confirmedAt === undefined) {
        allocation.confirmedAt = now
        this.#opts.events.onStartConfirmed(this, allocation)
      }
    }
    // A run that is not listed may be among the ends that the runner has not listed yet.
    if (report.hasMoreEnds) return
    const ofEarlierIncarnation: Allocation[] = []
    for (const [key, allocation] of [...this.allocations]) {
      if (listed.has(key)) continue
      if (allocation.runnerStartedAt !== 0 && allocation.runnerStartedAt !== this.runnerStartedAt) {
        ofEarlierIncarnation.push(allocation)
        continue
      }
      // The runner has seen this term's fencing token and refuses orders with a lower one, so runs
      // of earlier terms can no longer start.
      const isFromEarlierTerm = !this.#isReconciled && allocation.state === 'recorded'
      const isConfirmed = allocation.confirmedAt !== undefined && allocation.confirmedAt < sentAt
      if (isFromEarlierTerm || isConfirmed) this.#giveUp(allocation, 'vanished')
    }
    this.#loseRuns(ofEarlierIncarnation, 'reborn')
  }

  #runnerOrdersOptions(): RunnerOrdersOptions {
    const { leaseMs, log, events, mayOrder } = this.#opts
    return {
      runnerId: this.id,
      fence: () => this.#fence(),
      closing: this.#closing.signal,
      log,
      api: () => this.#api,
      mayOrder,
      leaseDeadline: () => this.#clock.grantLease(performance.now(), leaseMs),
      observeClock: clockMs => {
        this.#clock.observe(clockMs, performance.now())
      },
      isReachable: () =>
        this.#isReconciled && this.unreachableSince === undefined && !this.#hasUnseenRestart(),
      isAllocated: allocation =>
        this.allocations.get(allocationKey(allocation.taskName, allocation.runNumber)) ===
        allocation,
      onNotStarted: allocation => {
        this.#giveUp(allocation, 'not-started')
      },
      markUnreachable: reason => {
        this.#markUnreachable(reason)
      },
      pollSoon: () => {
        this.#needsResync = true
        this.#idlePause.wake()
      },
      onStartConfirmed: allocation => {
        events.onStartConfirmed(this, allocation)
      },
      onFenced: () => {
        events.onFenced()
      },
    }
  }

  /** Fencing token for calls to the present incarnation of the runner. */
  #fence(): number {
    return runnerFence(this.#opts.fence, this.#restarts)
  }

  /**
   * Reports the runs that were ordered from an earlier incarnation, also those that the present one has
   * started by a repeated order: the earlier one may have crashed under them.
   */
  #reportLostIncarnation(): void {
    const startedAt = this.runnerStartedAt
    const ordered = [...this.allocations.values()].filter(
      allocation =>
        !allocation.isLossReported &&
        allocation.runnerStartedAt !== 0 &&
        allocation.runnerStartedAt !== startedAt,
    )
    if (ordered.length === 0) return
    if (!this.#wasRestartExpected) this.#opts.events.onRunsLost(this, ordered)
    this.#wasRestartExpected = false
    for (const allocation of ordered) allocation.isLossReported = true
  }

  /** Gives up runs that are lost with the runner or with its incarnation. */
  #loseRuns(lost: readonly Allocation[], cause: GiveUpCause): void {
    if (lost.length === 0) return
    for (const allocation of lost) this.remove(allocation)
    // The end of an incarnation has been reported already.
    if (cause !== 'reborn' && !this.#isEndExpected()) this.#opts.events.onRunsLost(this, lost)
    for (const allocation of lost) this.#giveUp(allocation, cause)
  }

  #giveUp(allocation: Allocation, cause: GiveUpCause): void {
    this.remove(allocation)
    this.#opts.events.onRunGivenUp(this, allocation, cause)
  }

  #settleNextPoll(): void {
    this.#nextPoll?.resolve()
    this.#nextPoll = undefined
  }

  #markUnreachable(reason: string): void {
    this.#needsResync = true
    this.#settleNextPoll()
    if (this.unreachableSince === undefined) {
      this.unreachableSince = performance.now()
      this.#opts.log.warn('runner unreachable', {
        runner: this.id,
        reason,
        runs: this.allocations.size,
      })
      this.#opts.events.onChange(this)
    }
    this.#idlePause.wake()
  }

  #connect(entry: RunnerEntry): void {
    void this.#api?.close()
    const { address, id: runnerId, zone } = entry
    this.#api = this.#opts.createRunner({ address, runnerId, zone })
    this.#needsResync = true
    this.#recomputeFree()
  }

  #recomputeFree(): void {
    if (this.#entry !== undefined) this.load.setCapacity(this.#entry.capacity)
  }

  #pause(ms: number): Promise<void> {
    return wait(systemClock, ms, this.#closing.signal)
  }
}

/** Whether this term has ordered the start of a run that no answer and no list has shown since. */
function isStartUnanswered({ state, orderedAt, confirmedAt }: Allocation): boolean {
  return state !== 'recorded' && orderedAt !== undefined && confirmedAt === undefined
}

/** A promise that other code resolves. */
interface Deferred {
  promise: Promise<void>
  resolve: () => void
}

function createDeferred(): Deferred {
  let resolve: () => void = () => undefined
  const promise = new Promise<void>(settle => (resolve = settle))
  return { promise, resolve }
}
