import { normalizeError } from '@bulrushbridge/errors'
import {
  createDutyLease,
  wait,
  type HeldLease,
  type TableService,
  type WaitingClock,
} from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Lifetime of a duty's lease after its last renewal, in milliseconds (design page, 8). */
const leaseTtlMs = 5_000

/** One term of a duty: the time from the acquisition of its lease until the loss. */
export interface DutyTerm {
  /** Runs one round of the work. A rejection is logged, and the next round follows after the pause. */
  runRound(): Promise<void>
  /** Releases the resources of the term; called once, after its last round. */
  close(): void | Promise<void>
}

/** Options of {@link createDutyTask}. */
export interface DutyTaskOptions {
  table: TableService
  /** Name of the duty. */
  duty: string
  /** Id of this process, shown to operators as the holder of the lease. */
  holder: string
  clock: WaitingClock
  log: Logger
  /** Pause between two rounds, in milliseconds. */
  intervalMs: number
  /** Begins a term; `held` returns its lease, or undefined once this process no longer holds it. */
  beginTerm(held: () => HeldLease | undefined): DutyTerm
}

/**
 * Competes for the lease of a duty and runs the rounds of the duty while this process holds it.
 * Otherwise it only reads the row of the lease.
 *
 * @example
 * const task = createDutyTask({ table, duty: 'records', holder, clock, log, intervalMs, beginTerm })
 */
export function createDutyTask(opts: DutyTaskOptions): { close(): Promise<void> } {
  const { table, duty: name, holder, clock, log } = opts
  const duty = createDutyLease({ table, duty: name, holder, ttlMs: leaseTtlMs, clock })
  let termChain = Promise.resolve()
  let termAbort: AbortController | undefined

  const runTerm = async (lease: HeldLease, signal: AbortSignal) => {
    // Undefined for a lease that this process has acquired later: it has another token, and the work
    // of this term must not continue under it.
    const currentLease = () => (duty.held()?.token === lease.token ? duty.held() : undefined)
    const term = opts.beginTerm(currentLease)
    while (!signal.aborted) {
      if (currentLease() !== undefined) {
        await term.runRound().catch((err: unknown) => {
          log.warn('duty round failed', { duty: name, error: normalizeError(err).message })
        })
      }
      await wait(clock, opts.intervalMs, signal)
    }
    await term.close()
  }

  const stopListening = duty.onChange(lease => {
    termAbort?.abort()
    termAbort = undefined
    if (lease === undefined) {
      log.info('duty lease lost', { duty: name })
      return
    }
    log.info('duty lease acquired', { duty: name, token: lease.token })
    const controller = new AbortController()
    termAbort = controller
    termChain = termChain
      .then(() => runTerm(lease, controller.signal))
      .catch((err: unknown) => {
        log.error('duty term failed', { duty: name, error: normalizeError(err).message })
      })
  })

  return {
    close: async () => {
      stopListening()
      termAbort?.abort()
      await termChain
      await duty.close()
    },
  }
}
