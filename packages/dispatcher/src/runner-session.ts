import { setMaxListeners } from 'node:events'
import { systemClock } from '@bulrushbridge/errors'
import {
  addAmounts,
  type Amounts,
  type ListedEnd,
  type RunnerApi,
  type RunnerEntry,
  type RunnerReport,
} from '@bulrushbridge/scheduler'
import { wait } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { IdlePause } from './idle-pause.js'
import { occupantKey, type Occupant } from './occupant.js'
import { EndsLedger } from './ends-ledger.js'
import { createRunnerClock, type RunnerClock } from './runner-clock.js'
import { RunnerOrders, type OrderTarget } from './runner-orders.js'

/** Pause after a look that failed, in milliseconds. */
const failedLookPauseMs = 150

/** Longest pause of a session that has nothing to look for; it is woken earlier. In milliseconds. */
const idleCheckMs = 60_000

/** Time for which ends are waited to be stored before the lease is renewed without them. */
const storeWaitMs = 400

/** Pause between looks while ends cannot be acknowledged, in milliseconds. */
const unstoredPauseMs = 250

/** Why a run is over without an end that its runner listed. */
export type DeathCause = 'reborn' | 'lease-ended' | 'vanished' | 'not-started' | 'machine-gone'

/** What a session tells its dispatcher. */
export interface SessionEvents {
  /** A runner listed an end; resolves when it is stored and may be acknowledged. */
  onEnd(session: RunnerSession, end: ListedEnd, occupant: Occupant | undefined): Promise<void>
  /** A run is over without a listed end. */
  onDeath(session: RunnerSession, occupant: Occupant, cause: DeathCause): void
  /** A runner lists a run that is not expected there. */
  onStranger(session: RunnerSession, name: string, run: number): Occupant
  /** Room, reachability or readiness changed. */
  onChange(session: RunnerSession): void
  /** The runner knows a later dispatcher. */
  onFenced(): void
  /** A run has been confirmed by its runner. */
  onConfirmed(session: RunnerSession, occupant: Occupant): void
  /** Occupancy changed by `times` (1 or -1) of the occupant. */
  onOccupancy(occupant: Occupant, times: 1 | -1): void
}

/** Options of {@link createRunnerSession}. */
export interface RunnerSessionOptions {
  id: string
  /** Undefined for a runner that is not registered and may still run something. */
  entry: RunnerEntry | undefined
  fence: number
  /** Lease given at each look, in milliseconds. */
  leaseMs: number
  /** How long a look waits for an end, in milliseconds. */
  lookWaitMs: number
  /** When leases that earlier dispatchers gave have ended for certain. */
  assumedLeaseEnd: number
  createRunner: (opts: { address: string; runnerId: string }) => RunnerApi
  events: SessionEvents
  log: Logger
}

/** Starts the session of one runner. */
export function createRunnerSession(opts: RunnerSessionOptions): RunnerSession {
  return new RunnerSession(opts)
}

/**
 * One runner as the dispatcher knows it: what occupies it, its lease, and the looks that renew the
 * lease and collect ends. One task looks at the runner for as long as something may run there.
 */
export class RunnerSession {
  readonly id: string
  readonly occupants = new Map<string, Occupant>()
  readonly free: Amounts = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  /** The machine is to have its upkeep or leave the pool, so nothing new starts. */
  isClosing = false
  /** The machine has come from another pool and is to go back. */
  isLent = false
  /** An order that ends everything on the machine has been sent. */
  isLeaving = false
  /** Since when looks have failed; undefined while they succeed. */
  suspectSince: number | undefined
  readonly #opts: RunnerSessionOptions
  readonly #closing = new AbortController()
  readonly #clock: RunnerClock
  readonly #orders: RunnerOrders
  readonly #running: Promise<void>
  #entry: RunnerEntry | undefined
  #isRegistered: boolean
  #api: RunnerApi | undefined
  #bornAt: number | undefined
  readonly #ends = new EndsLedger()
  /** The runner has answered with this term's fence. */
  #isReconciled = false
  /** The next look must acknowledge nothing, because the runner may have begun anew. */
  #needsFreshLook = true
  readonly #idlePause = new IdlePause()

  constructor(opts: RunnerSessionOptions) {
    this.#opts = opts
    this.id = opts.id
    this.#entry = opts.entry
    this.#isRegistered = opts.entry !== undefined
    // Orders that wait for their next attempt listen, one for each run.
    setMaxListeners(0, this.#closing.signal)
    this.#clock = createRunnerClock(opts.assumedLeaseEnd)
    this.#orders = new RunnerOrders(this.#orderTarget())
    if (opts.entry !== undefined) this.#connect(opts.entry)
    this.#running = Promise.resolve().then(() => this.#run())
  }

  get entry(): RunnerEntry | undefined {
    return this.#entry
  }

  get isRegistered(): boolean {
    return this.#isRegistered
  }

  get rack(): string {
    return this.#entry?.labels.find(label => label !== this.#entry?.labels[0]) ?? ''
  }

  get bornAt(): number {
    return this.#bornAt ?? this.#entry?.bornAt ?? 0
  }

  /** Whether new runs may start, as far as the runner itself is concerned. */
  get isOpen(): boolean {
    return (
      this.#isReconciled &&
      this.#isRegistered &&
      this.suspectSince === undefined &&
      !this.isClosing &&
      this.#entry?.isDraining === false
    )
  }

  /** Takes a new entry of the registry. */
  update(entry: RunnerEntry): void {
    const before = this.#entry
    this.#entry = entry
    this.#isRegistered = true
    if (before?.address !== entry.address) this.#connect(entry)
    if (before?.bornAt !== entry.bornAt) this.#needsFreshLook = true
    this.#countFree()
    const isSame =
      before?.isDraining === entry.isDraining &&
      before.bornAt === entry.bornAt &&
      before.address === entry.address
    if (isSame) return
    this.#idlePause.wake()
    this.#opts.events.onChange(this)
  }

  /** The runner's entry is gone; what runs there is watched until its lease has ended. */
  unregister(): void {
    this.#isRegistered = false
    this.#idlePause.wake()
  }

  /** Adds a run that was recorded. */
  add(occupant: Occupant): void {
    this.occupants.set(occupantKey(occupant.name, occupant.run), occupant)
    addAmounts(this.free, occupant.amounts, -1)
    this.#opts.events.onOccupancy(occupant, 1)
    this.#idlePause.wake()
  }

  /** Removes a run that is over or was never ordered. */
  remove(occupant: Occupant): void {
    if (!this.occupants.delete(occupantKey(occupant.name, occupant.run))) return
    addAmounts(this.free, occupant.amounts)
    this.#opts.events.onOccupancy(occupant, -1)
  }

  /** Orders a recorded run, and settles a lost answer. */
  start(occupant: Occupant, payload: string, ticket: string | undefined): Promise<void> {
    return this.#orders.start(occupant, payload, ticket)
  }

  /** Orders a run to stop and repeats the order until it is answered or the run is over. */
  stop(occupant: Occupant): Promise<void> {
    return this.#orders.stop(occupant)
  }

  /** Lets a run work at a share of its time, in percent. */
  pace(occupant: Occupant, percent: number): Promise<void> {
    return this.#orders.pace(occupant, percent)
  }

  /** The machine under the runner is down, moved, or runs another runner: nothing runs here. */
  declareGone(): void {
    this.#isReconciled = false
    this.#needsFreshLook = true
    for (const occupant of [...this.occupants.values()]) this.#die(occupant, 'machine-gone')
  }

  async close(): Promise<void> {
    this.#closing.abort()
    this.#idlePause.wake()
    await this.#api?.close()
    await this.#running
  }

  async #run(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      if (this.#isIdle()) {
        await this.#idlePause.wait(idleCheckMs)
        // The runner may have begun anew meanwhile, so the next look acknowledges nothing.
        this.#needsFreshLook = this.occupants.size > 0
        continue
      }
      if (this.#isLeaseOver()) this.#loseAll()
      if (this.#api === undefined) {
        await this.#pause(failedLookPauseMs)
        continue
      }
      await this.#look(this.#api)
    }
  }

  #isIdle(): boolean {
    if (!this.#isRegistered || this.#api === undefined) return this.occupants.size === 0
    const isSettled = this.#ends.isSettled && !this.#needsFreshLook
    const isReachable = this.#isReconciled && this.suspectSince === undefined
    return isReachable && isSettled && this.occupants.size === 0
  }

  /** All leases have ended while the runner could not be reached, so nothing runs there. */
  #isLeaseOver(): boolean {
    if (this.occupants.size === 0) return false
    const isCutOff = this.suspectSince !== undefined || this.#api === undefined
    return (isCutOff || !this.#isReconciled) && performance.now() > this.#clock.leaseEnd()
  }

  #loseAll(): void {
    for (const occupant of [...this.occupants.values()]) this.#die(occupant, 'lease-ended')
  }

  async #look(api: RunnerApi): Promise<void> {
    const sentAt = performance.now()
    const isFresh = this.#needsFreshLook
    const acknowledged = isFresh ? 0 : this.#ends.stored
    const result = await api.hold({
      fence: this.#opts.fence,
      acknowledged,
      leaseDeadline: this.#isReconciled
        ? this.#clock.deadline(sentAt, this.#opts.leaseMs)
        : undefined,
      waitMs: isFresh || this.#ends.isBehind() || !this.#isReconciled ? 0 : this.#opts.lookWaitMs,
    })
    if (this.#closing.signal.aborted || api !== this.#api) return
    if (result.outcome !== 'done') {
      this.#suspect(result.reason)
      await this.#pause(failedLookPauseMs)
      return
    }
    if (result.value.isFenced) {
      this.#opts.events.onFenced()
      await this.#pause(failedLookPauseMs)
      return
    }
    this.#ends.acknowledge(acknowledged)
    await this.#takeReport(result.value.report, sentAt)
  }

  async #takeReport(report: RunnerReport, sentAt: number): Promise<void> {
    const isNewLife = report.bornAt !== undefined && report.bornAt !== this.#bornAt
    if (isNewLife) this.#beginLife(report.bornAt)
    this.#clock.observe(report.clockMs, performance.now())
    this.#ends.take(report.ended, end => {
      const occupant = this.occupants.get(occupantKey(end.task, end.run))
      if (occupant !== undefined) this.remove(occupant)
      return this.#opts.events.onEnd(this, end, occupant)
    })
    this.#takeRunning(report, sentAt)
    const wasOpen = this.#isReconciled && this.suspectSince === undefined
    if (this.suspectSince !== undefined) this.#opts.log.info('runner regained', { runner: this.id })
    this.suspectSince = undefined
    this.#isReconciled = true
    // A new life is confirmed by a second look, whose acknowledgement then counts its own ends.
    this.#needsFreshLook = false
    if (!wasOpen || report.ended.length > 0) this.#opts.events.onChange(this)
    if (!this.#ends.isBehind()) return
    // The runner would repeat its ends at once, so the next look waits for the store.
    await Promise.race([this.#ends.storing, this.#pause(storeWaitMs)])
    if (this.#ends.isBehind()) await this.#pause(unstoredPauseMs)
  }

  #beginLife(bornAt: number | undefined): void {
    const isFirst = this.#bornAt === undefined
    this.#bornAt = bornAt
    this.#ends.reset()
    if (!isFirst) {
      this.#clock.reset()
      this.isClosing = false
      this.isLeaving = false
    }
    for (const occupant of [...this.occupants.values()]) {
      if (occupant.runnerBornAt !== 0 && occupant.runnerBornAt !== bornAt) {
        this.#die(occupant, 'reborn')
      }
    }
  }

  #takeRunning(report: RunnerReport, sentAt: number): void {
    const now = performance.now()
    const listed = new Set<string>()
    for (const { task, run, checkpoint, percent, usage } of report.running) {
      const key = occupantKey(task, run)
      listed.add(key)
      let occupant = this.occupants.get(key)
      if (occupant === undefined) {
        occupant = this.#opts.events.onStranger(this, task, run)
        this.add(occupant)
        void this.stop(occupant)
      }
      if (occupant.percent !== percent) {
        occupant.percent = percent
        occupant.percentAt = now
      }
      occupant.usage = usage
      if (checkpoint !== '' && occupant.task?.step.step.savesProgress === true) {
        occupant.task.checkpoint = checkpoint
      }
      if (occupant.state === 'recorded') occupant.state = 'present'
      if (occupant.confirmedAt === undefined) {
        occupant.confirmedAt = now
        this.#opts.events.onConfirmed(this, occupant)
      }
    }
    for (const [key, occupant] of [...this.occupants]) {
      if (listed.has(key)) continue
      // A run recorded by an earlier term can no longer start once its fence is outdated here.
      const isLeftOver = !this.#isReconciled && occupant.state === 'recorded'
      const isConfirmed = occupant.confirmedAt !== undefined && occupant.confirmedAt < sentAt
      if (isLeftOver || isConfirmed) this.#die(occupant, 'vanished')
    }
  }

  #orderTarget(): OrderTarget {
    const { fence, leaseMs, log, events } = this.#opts
    return {
      runnerId: this.id,
      fence,
      closing: this.#closing.signal,
      log,
      api: () => this.#api,
      leaseDeadline: () => this.#clock.deadline(performance.now(), leaseMs),
      observeClock: clockMs => {
        this.#clock.observe(clockMs, performance.now())
      },
      isPresent: occupant =>
        this.occupants.get(occupantKey(occupant.name, occupant.run)) === occupant,
      notStarted: occupant => {
        this.#die(occupant, 'not-started')
      },
      suspect: reason => {
        this.#suspect(reason)
      },
      lookSoon: () => {
        this.#needsFreshLook = true
        this.#idlePause.wake()
      },
      onConfirmed: occupant => {
        events.onConfirmed(this, occupant)
      },
      onFenced: () => {
        events.onFenced()
      },
    }
  }

  #die(occupant: Occupant, cause: DeathCause): void {
    this.remove(occupant)
    this.#opts.events.onDeath(this, occupant, cause)
  }

  #suspect(reason: string): void {
    this.#needsFreshLook = true
    if (this.suspectSince === undefined) {
      this.suspectSince = performance.now()
      this.#opts.log.warn('runner lost', { runner: this.id, reason, runs: this.occupants.size })
      this.#opts.events.onChange(this)
    }
    this.#idlePause.wake()
  }

  #connect(entry: RunnerEntry): void {
    void this.#api?.close()
    this.#api = this.#opts.createRunner({ address: entry.address, runnerId: entry.id })
    this.#needsFreshLook = true
    this.#countFree()
  }

  #countFree(): void {
    const capacity = this.#entry?.capacity
    if (capacity === undefined) return
    Object.assign(this.free, capacity)
    for (const { amounts } of this.occupants.values()) addAmounts(this.free, amounts, -1)
  }

  #pause(ms: number): Promise<void> {
    return wait(systemClock, ms, this.#closing.signal)
  }
}
