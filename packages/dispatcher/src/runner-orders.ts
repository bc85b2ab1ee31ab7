import { systemClock } from '@bulrushbridge/errors'
import {
  maxUnconfirmedRuns,
  type CallResult,
  type RunnerOrderAnswer,
  type RunnerApi,
} from '@bulrushbridge/scheduler'
import { wait } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import type { Allocation } from './allocation.js'
import { createOrderSlots, type OrderSlots } from './order-slots.js'

/** Pause before a start order without a known result is repeated, in milliseconds. */
const startRetryPauseMs = 60

/** Pause before a stop order without a known result is repeated, in milliseconds. */
const stopRetryPauseMs = 150

/** Attempts of a start order; after the last one without a result, the run is stopped. */
const maxStartAttempts = 3

/** What {@link RunnerOrders} needs from the session of its runner. */
export interface RunnerOrdersOptions {
  readonly runnerId: string
  readonly closing: AbortSignal
  readonly log: Logger
  /** Fencing token for orders to the present incarnation of the runner. */
  fence(): number
  /** Whether the dispatcher holds its lease, without which no order is sent. */
  mayOrder(): boolean
  /** Undefined while the runner's address is not known. */
  api(): RunnerApi | undefined
  /** Lease deadline for a start order; undefined before the runner's clock is known. */
  leaseDeadline(): number | undefined
  observeClock(clockMs: number): void
  /** Whether no poll has failed since the last one, and the registry shows no other incarnation. */
  isReachable(): boolean
  /** Whether the session still has the allocation. */
  isAllocated(allocation: Allocation): boolean
  /** The run did not start and never will start. */
  onNotStarted(allocation: Allocation): void
  /** Called when no start order of a run reached the runner. */
  markUnreachable(reason: string): void
  /** Makes the session poll soon, without an acknowledgement. */
  pollSoon(): void
  /** Called when the runner's answer to the start order confirms that the run started. */
  onStartConfirmed(allocation: Allocation): void
  /** Called when the runner refused an order because it has seen a later dispatcher. */
  onFenced(): void
}

/** Sends orders to one runner, and repeats them when an answer is lost. */
export class RunnerOrders {
  readonly #opts: RunnerOrdersOptions
  readonly #startSlots = createOrderSlots(maxUnconfirmedRuns)
  readonly #stopSlots = createOrderSlots(maxUnconfirmedRuns)

  constructor(opts: RunnerOrdersOptions) {
    this.#opts = opts
    opts.closing.addEventListener('abort', () => {
      this.#startSlots.close()
      this.#stopSlots.close()
    })
  }

  /** Sends the start order of a recorded run; retries or stops it if the answer is lost. */
  async start(allocation: Allocation, payload: string, ticket: string | undefined): Promise<void> {
    if (allocation.task === undefined) return
    allocation.state = 'ordered'
    await withSlot(this.#startSlots, () => this.#start(allocation, payload, ticket))
  }

  async #start(allocation: Allocation, payload: string, ticket: string | undefined): Promise<void> {
    // What follows may have changed while the order waited for its turn.
    if (!this.#opts.isAllocated(allocation) || isStopping(allocation)) return
    if (this.#opts.closing.aborted) return
    if (!this.#opts.mayOrder()) {
      this.#logOrder('start', allocation, 'the lease is in doubt')
      this.#opts.onNotStarted(allocation)
      return
    }
    allocation.mayHaveStarted = true
    allocation.orderedAt = performance.now()
    // If the runner restarts, repetitions are refused like the first attempt.
    const fence = this.#opts.fence()
    let isOutcomeUnknown = false
    for (let attempt = 1; attempt <= maxStartAttempts; attempt++) {
      const leaseDeadline = this.#opts.leaseDeadline()
      const api = this.#opts.api()
      if (api === undefined || leaseDeadline === undefined) break
      const result = await api.start({
        task: allocation.taskName,
        run: allocation.runNumber,
        payload,
        checkpoint: allocation.checkpoint,
        ticket,
        fence,
        leaseDeadline,
      })
      if (!this.#opts.isAllocated(allocation)) return
      this.#observeClock(result, fence)
      if (result.outcome === 'done') {
        this.#applyStartAnswer(allocation, result.value, { fence, isRepeated: isOutcomeUnknown })
        return
      }
      this.#logOrder('start', allocation, result.reason)
      if (result.outcome === 'unknown') isOutcomeUnknown = true
      if (!isOutcomeUnknown || attempt === maxStartAttempts) break
      await this.#pause(startRetryPauseMs)
      if (!this.#opts.isAllocated(allocation) || isStopping(allocation)) return
      // The runner may have crashed under the run, and would start it again after its restart, perhaps
      // as another kind.
      if (!this.#opts.isReachable() || !this.#opts.mayOrder()) break
    }
    if (isOutcomeUnknown) {
      void this.stop(allocation)
      return
    }
    // No start order reached the runner.
    this.#opts.markUnreachable('order failed')
    this.#opts.onNotStarted(allocation)
  }

  /** Sends a stop order for a run, and repeats it until it is answered or the run is over. */
  async stop(allocation: Allocation): Promise<void> {
    if (allocation.state === 'stopping') return
    allocation.state = 'stopping'
    while (this.#isStopDue(allocation)) {
      const { taskName: task, runNumber: run } = allocation
      let fence = this.#opts.fence()
      const result = await withSlot(this.#stopSlots, async () => {
        const api = this.#opts.api()
        if (api === undefined || !this.#isStopDue(allocation) || !this.#opts.mayOrder())
          return undefined
        fence = this.#opts.fence()
        return api.stop({ task, run, fence })
      })
      if (result === undefined) {
        await this.#pause(stopRetryPauseMs)
        continue
      }
      this.#observeClock(result, fence)
      const answer = result.outcome === 'done' ? result.value : undefined
      const isSuperseded = answer?.refusal === 'fence' && fence < this.#opts.fence()
      if (answer !== undefined && !isSuperseded && !wasStopRefused(answer)) {
        if (answer.refusal === 'fence') this.#opts.onFenced()
        // From now on the runner lists the run's end, or the run is not there and never will be.
        else allocation.confirmedAt ??= performance.now()
        this.#opts.pollSoon()
        return
      }
      this.#logOrder('stop', allocation, reasonOf(result))
      await this.#pause(stopRetryPauseMs)
    }
  }

  #isStopDue(allocation: Allocation): boolean {
    return this.#opts.isAllocated(allocation) && !this.#opts.closing.aborted
  }

  /** Orders a run to work for the given share of its time (duty cycle), in percent. */
  async pace(allocation: Allocation, percent: number): Promise<void> {
    const api = this.#opts.api()
    if (api === undefined || !this.#opts.mayOrder()) return
    const { taskName: task, runNumber: run } = allocation
    const before = allocation.pacePercent
    allocation.pacePercent = percent
    const result = await api.pace({ task, run, fence: this.#opts.fence(), percent })
    if (result.outcome === 'done' && result.value.refusal === undefined) return
    allocation.pacePercent = before
    this.#logOrder('pace', allocation, result.outcome === 'done' ? 'refused' : result.reason)
  }

  /** `isRepeated`: an earlier attempt got no answer, so it may still be carried out. */
  #applyStartAnswer(
    allocation: Allocation,
    { refusal }: RunnerOrderAnswer,
    { fence, isRepeated }: { fence: number; isRepeated: boolean },
  ): void {
    if (refusal === undefined || (refusal === 'old' && isRepeated)) {
      // After a lost answer, `old` means that an earlier attempt started the run and it has ended.
      if (allocation.state === 'ordered') allocation.state = 'present'
      if (allocation.confirmedAt === undefined) {
        allocation.confirmedAt = performance.now()
        this.#opts.onStartConfirmed(allocation)
      }
      return
    }
    this.#logOrder('start', allocation, refusal)
    // The runner has restarted since, so its next report tells whether the run is there.
    if (refusal === 'fence' && fence < this.#opts.fence()) return
    if (refusal === 'fence') this.#opts.onFenced()
    if (refusal === 'room' || refusal === 'late') this.#opts.pollSoon()
    // The refusal says nothing about the earlier attempt; only a stop keeps it from starting.
    if (isRepeated && refusal !== 'fence') void this.stop(allocation)
    else this.#opts.onNotStarted(allocation)
  }

  /** The answer to a call with an outdated token may be of an earlier incarnation, with another clock. */
  #observeClock(result: CallResult<RunnerOrderAnswer>, fence: number): void {
    if (result.outcome !== 'done' || result.value.clockMs === undefined) return
    if (fence !== this.#opts.fence()) return
    this.#opts.observeClock(result.value.clockMs)
  }

  #logOrder(order: string, allocation: Allocation, reason: string): void {
    const { taskName, runNumber } = allocation
    const { runnerId: runner, log } = this.#opts
    log.info('runner order refused or not confirmed', {
      order,
      runner,
      task: taskName,
      run: runNumber,
      reason,
    })
  }

  #pause(ms: number): Promise<void> {
    return wait(systemClock, ms, this.#opts.closing)
  }
}

async function withSlot<T>(slots: OrderSlots, send: () => Promise<T>): Promise<T> {
  // An order that can be sent at once is sent before anything else happens.
  const turn = slots.acquire()
  if (turn !== undefined) await turn
  try {
    return await send()
  } finally {
    slots.release()
  }
}

/** A function, because the compiler assumes that the state does not change during awaits. */
function isStopping({ state }: Allocation): boolean {
  return state === 'stopping'
}

/** Whether the runner did nothing about a stop order, so that the run may go on or still start. */
function wasStopRefused({ refusal }: RunnerOrderAnswer): boolean {
  return refusal !== undefined && refusal !== 'fence' && refusal !== 'old'
}

function reasonOf(result: CallResult<RunnerOrderAnswer>): string {
  return result.outcome === 'done' ? (result.value.refusal ?? '') : result.reason
}
