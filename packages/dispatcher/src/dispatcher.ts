import { normalizeError } from '@bulrushbridge/errors'
import {
  fencesPerTerm,
  type AdviceApi,
  type Machine,
  type MachineApi,
  type OperatorView,
  type RunnerApi,
  type RunnerEntry,
} from '@bulrushbridge/scheduler'
import {
  createDutyLease,
  type DutyLease,
  type FollowableTableService,
  type HeldLease,
  type Write,
} from '@bulrushbridge/store'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import { Term } from './term.js'

/** Name of the lease whose holder, the active dispatcher, places all work. */
const dutyName = 'dispatch'

/** Least time between two log lines about failed calls for the lease, in milliseconds. */
const leaseErrorLogIntervalMs = 2_000

/** Timeouts and lease times of a dispatcher, in milliseconds. */
export interface DispatcherTiming {
  /** Lifetime of the dispatcher's own lease. */
  dispatcherLeaseMs: number
  /** Duration of the lease that each poll of a runner grants to its runs. */
  runnerLeaseMs: number
  /** Longest lease that a runner takes. */
  maxRunnerLeaseMs: number
  /** Longest time for which a runner may delay its answer to a poll until a run ends. */
  pollWaitMs: number
  /** How long runners' leases are still renewed after the dispatcher could not renew its own. */
  suspendedMs: number
  /** Least time between the orders that two dispatchers send for the same machine; not a lease. */
  machineOrderGapMs: number
  /** Duration of a machine's move to another pool. */
  moveMs: number
  /** Duration of a machine's upkeep. */
  upkeepMs: number
  /** How long the status of an ended job can be queried. */
  statusKeptMs: number
}

/** Creates the clients of runners, and closes what these share. */
export interface RunnerConnections {
  createRunner(opts: { address: string; runnerId: string; zone: string }): RunnerApi
  /** Number of entry hosts, if it is known. */
  hostCount?(): number
  close(): Promise<void>
}

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  store: FollowableTableService
  /** Name of this host, under which it holds the lease. */
  holder: string
  /**
   * Starts a second that this host can place. The lease goes to a host with much more of it than
   * the holder. Without it, all hosts are equal.
   */
  startsPerSecond?: number
  timing: DispatcherTiming
  view: OperatorView
  runners: { table: string; decode(id: string, value: unknown): RunnerEntry | undefined }
  /** Opens the connections to runners of one term. */
  connectRunners: () => RunnerConnections
  machines: MachineApi<Machine> | undefined
  /** Orders to machines that the platform accepts a second from all hosts. */
  machineOrdersPerSecond?: number | undefined
  /** Reads of the list of machines that the platform accepts a second. */
  machineListsPerSecond?: number | undefined
  advice: AdviceApi | undefined
  /** Creates the row that shows operators the state of a maintenance wave. */
  waveStatusRow: (wave: number, state: 'running' | 'completed') => Write
  log: Logger
  metrics: Metrics
}

/**
 * Competes with the dispatchers of other hosts for one lease. The holder of the lease places all
 * work; the others wait.
 */
export interface Dispatcher {
  /** Whether this dispatcher holds the lease and may decide. */
  readonly isHolder: boolean
  close(): Promise<void>
}

/**
 * Starts a dispatcher.
 *
 * @example
 * const dispatcher = createDispatcher({ store, holder: 'front-1', timing, view, ...rest })
 */
export function createDispatcher(opts: DispatcherOptions): Dispatcher {
  return new LeasedDispatcher(opts)
}

class LeasedDispatcher implements Dispatcher {
  readonly #opts: DispatcherOptions
  readonly #duty: DutyLease
  #term: Term | undefined
  #suspensionTimer: NodeJS.Timeout | undefined
  /** Begins and ends of terms run one after another. */
  #transitions: Promise<void> = Promise.resolve()

  constructor(opts: DispatcherOptions) {
    this.#opts = opts
    const { store, holder, timing, startsPerSecond } = opts
    let lastLoggedAt = -leaseErrorLogIntervalMs
    const onError = (err: unknown) => {
      if (performance.now() - lastLoggedAt < leaseErrorLogIntervalMs) return
      lastLoggedAt = performance.now()
      opts.log.warn('call for the lease of the dispatcher failed', {
        reason: normalizeError(err).message,
      })
    }
    this.#duty = createDutyLease({
      table: store,
      duty: dutyName,
      holder,
      ttlMs: timing.dispatcherLeaseMs,
      isSoleHolder: true,
      tokenStride: fencesPerTerm,
      ...(startsPerSecond === undefined ? {} : { capacity: startsPerSecond }),
      onHandoverRequest: ({ name, capacity }) => {
        opts.log.info('stronger host asks for the lease of the dispatcher', {
          candidate: name,
          startsPerSecond: capacity,
          ownStartsPerSecond: startsPerSecond,
        })
        this.#enqueue(() => this.#handOver())
      },
      onError,
    })
    this.#duty.onChange(held => {
      if (held === undefined) this.#suspend()
      else this.#enqueue(() => this.#beginTerm(held))
    })
  }

  get isHolder(): boolean {
    return this.#term !== undefined && !this.#term.isSuspended
  }

  async close(): Promise<void> {
    this.#enqueue(() => this.#endTerm('stopped'))
    await this.#transitions
    await this.#duty.close()
  }

  #enqueue(transition: () => Promise<void>): void {
    this.#transitions = this.#transitions.then(transition).catch((err: unknown) => {
      this.#opts.log.error('dispatcher term transition failed', {
        reason: normalizeError(err).message,
      })
    })
  }

  async #beginTerm(held: HeldLease): Promise<void> {
    await this.#endTerm('superseded by an own term')
    this.#opts.log.info('dispatcher term started', { fence: held.token })
    const term = new Term(this.#opts, held, {
      isLeaseHeld: () => this.#duty.held()?.token === held.token,
      onFenced: () => {
        this.#enqueue(() => (this.#term === term ? this.#endTerm('deposed') : Promise.resolve()))
      },
    })
    this.#term = term
    // open() retries while the store is unavailable, so it must not block the end of the term.
    void term.open().catch((err: unknown) => {
      this.#opts.log.error('dispatcher takeover failed', { reason: normalizeError(err).message })
    })
  }

  /** Ends the term and leaves the lease to a stronger host, which takes over within moments. */
  async #handOver(): Promise<void> {
    if (this.#term === undefined) return
    await this.#endTerm('handed over')
    await this.#duty.handOver()
  }

  /**
   * The lease has expired and no successor is known. No new decisions are made, but runners' leases
   * are renewed for `suspendedMs`, so that runs survive a short outage of the store.
   */
  #suspend(): void {
    const term = this.#term
    if (term === undefined) return
    term.suspend()
    this.#opts.log.warn('dispatcher term suspended', { fence: term.fence })
    this.#suspensionTimer = setTimeout(() => {
      this.#enqueue(() => (this.#term === term ? this.#endTerm('lease lost') : Promise.resolve()))
    }, this.#opts.timing.suspendedMs)
  }

  /**
   * Ends the current term, if there is one. `reason` is logged: `stopped` (the dispatcher is
   * closed), `lease lost` (not regained within `suspendedMs`), `handed over`
   * (to a stronger host), `superseded by an own term` (this
   * dispatcher has gained the lease again), or `deposed` (a later dispatcher has been seen).
   */
  async #endTerm(reason: string): Promise<void> {
    clearTimeout(this.#suspensionTimer)
    const term = this.#term
    if (term === undefined) return
    this.#term = undefined
    await term.close()
    this.#opts.log.info('dispatcher term ended', { fence: term.fence, reason })
  }
}
