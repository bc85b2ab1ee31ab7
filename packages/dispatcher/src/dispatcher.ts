import { normalizeError } from '@bulrushbridge/errors'
import type {
  AdviceApi,
  Machine,
  MachineApi,
  OperatorView,
  RunnerApi,
  RunnerEntry,
} from '@bulrushbridge/scheduler'
import {
  createDuty,
  type Duty,
  type FollowedTableService,
  type HeldDuty,
  type Write,
} from '@bulrushbridge/store'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import { Term } from './term.js'

/** Name of the duty whose holder places all work. */
const dutyName = 'dispatch'

/** Failed calls for the lease are logged this often at most, in milliseconds. */
const doubtLogMs = 2_000

/** Times of a dispatcher, in milliseconds. */
export interface DispatcherTiming {
  /** Lifetime of the dispatcher's own lease. */
  dutyLeaseMs: number
  /** Lease given to runners at each look. */
  leaseMs: number
  lookWaitMs: number
  /** How long runners' leases are renewed after the own lease is in doubt. */
  suspendedMs: number
  /** Two holders must not order one machine within this time. */
  machineLeaseMs: number
  upkeepMs: number
  /** How long the state of an ended job can be asked for. */
  statusKeptMs: number
}

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  store: FollowedTableService
  /** Name of this host. */
  holder: string
  timing: DispatcherTiming
  view: OperatorView
  runners: { table: string; decode(id: string, value: unknown): RunnerEntry | undefined }
  createRunner: (opts: { address: string; runnerId: string }) => RunnerApi
  machines: MachineApi<Machine> | undefined
  advice: AdviceApi | undefined
  /** Row that tells operators the state of a wave. */
  waveStatusRow: (wave: number, state: 'running' | 'completed') => Write
  log: Logger
  metrics: Metrics
}

/** Competes for the duty to place all work, and does it while it holds the duty. */
export interface Dispatcher {
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
  return new HeldDispatcher(opts)
}

class HeldDispatcher implements Dispatcher {
  readonly #opts: DispatcherOptions
  readonly #duty: Duty
  #term: Term | undefined
  #suspension: NodeJS.Timeout | undefined
  /** Changes of the term, one after another. */
  #changing: Promise<void> = Promise.resolve()

  constructor(opts: DispatcherOptions) {
    this.#opts = opts
    const { store, holder, timing } = opts
    let doubtLoggedAt = -doubtLogMs
    const onError = (err: unknown) => {
      if (performance.now() - doubtLoggedAt < doubtLogMs) return
      doubtLoggedAt = performance.now()
      opts.log.warn('call for the lease of the dispatcher failed', {
        reason: normalizeError(err).message,
      })
    }
    this.#duty = createDuty({
      table: store,
      duty: dutyName,
      holder,
      ttlMs: timing.dutyLeaseMs,
      isSoleHolder: true,
      onError,
    })
    this.#duty.onChange(held => {
      if (held === undefined) this.#suspend()
      else this.#enqueue(() => this.#begin(held))
    })
  }

  get isHolder(): boolean {
    return this.#term !== undefined && !this.#term.isSuspended
  }

  async close(): Promise<void> {
    this.#enqueue(() => this.#end('stopped'))
    await this.#changing
    await this.#duty.close()
  }

  #enqueue(change: () => Promise<void>): void {
    this.#changing = this.#changing.then(change).catch((err: unknown) => {
      this.#opts.log.error('term failed', { reason: normalizeError(err).message })
    })
  }

  async #begin(held: HeldDuty): Promise<void> {
    await this.#end('superseded by an own term')
    this.#opts.log.info('term begins', { fence: held.token })
    const term = new Term(this.#opts, held, () => {
      this.#enqueue(() => (this.#term === term ? this.#end('deposed') : Promise.resolve()))
    })
    this.#term = term
    // Opening retries for as long as the store is away, so it must not block the end of the term.
    void term.open().catch((err: unknown) => {
      this.#opts.log.error('takeover failed', { reason: normalizeError(err).message })
    })
  }

  /** The lease has run out without a known successor: runners keep theirs for a while. */
  #suspend(): void {
    const term = this.#term
    if (term === undefined) return
    term.suspend()
    this.#opts.log.warn('term suspended', { fence: term.fence })
    this.#suspension = setTimeout(() => {
      this.#enqueue(() => (this.#term === term ? this.#end('lease lost') : Promise.resolve()))
    }, this.#opts.timing.suspendedMs)
  }

  async #end(reason: string): Promise<void> {
    clearTimeout(this.#suspension)
    const term = this.#term
    if (term === undefined) return
    this.#term = undefined
    await term.close()
    this.#opts.log.info('term ended', { fence: term.fence, reason })
  }
}
