import { normalizeError } from '@bulrushbridge/errors'
import {
  createDutyLease,
  wait,
  type HeldLease,
  type TableService,
  type WaitingClock,
} from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Lifetime of a duty's lease, in milliseconds (design page, 8). */
const leaseMs = 5_000

/** One term of a duty, from an acquisition to the loss. */
export interface DutyTerm {
  /** One round of the work; a rejection is logged and the next round follows. */
  round(): Promise<void>
  close(): void | Promise<void>
}

/** Options of {@link createDutyTask}. */
export interface DutyTaskOptions {
  table: TableService
  duty: string
  holder: string
  clock: WaitingClock
  log: Logger
  /** Pause between two rounds, in milliseconds. */
  intervalMs: number
  /** Begins a term; `held` returns undefined once the lease has ended. */
  begin(held: () => HeldLease | undefined): DutyTerm
}

/**
 * Competes for a duty and runs its rounds while the lease is held. Without the lease it only
 * observes the duty's row.
 *
 * @example
 * const task = createDutyTask({ table, duty: 'records', holder, clock, log, intervalMs, begin })
 */
export function createDutyTask(opts: DutyTaskOptions): { close(): Promise<void> } {
  const { table, duty: name, holder, clock, log } = opts
  const duty = createDutyLease({ table, duty: name, holder, ttlMs: leaseMs, clock })
  let running = Promise.resolve()
  let ending: AbortController | undefined

  const runTerm = async (held: HeldLease, signal: AbortSignal) => {
    // A new term of the same process has another token, and must not serve the former one.
    const current = () => (duty.held()?.token === held.token ? duty.held() : undefined)
    const term = opts.begin(current)
    while (!signal.aborted) {
      if (current() !== undefined) {
        await term.round().catch((err: unknown) => {
          log.warn('duty round failed', { duty: name, error: normalizeError(err).message })
        })
      }
      await wait(clock, opts.intervalMs, signal)
    }
    await term.close()
  }

  const stopListening = duty.onChange(held => {
    ending?.abort()
    ending = undefined
    if (held === undefined) {
      log.info('duty lost', { duty: name })
      return
    }
    log.info('duty taken', { duty: name, token: held.token })
    const controller = new AbortController()
    ending = controller
    running = running
      .then(() => runTerm(held, controller.signal))
      .catch((err: unknown) => {
        log.error('duty term failed', { duty: name, error: normalizeError(err).message })
      })
  })

  return {
    close: async () => {
      stopListening()
      ending?.abort()
      await running
      await duty.close()
    },
  }
}
