import type { RunnerEntry } from '@bulrushbridge/scheduler'
import type { ChangedRow } from '@bulrushbridge/store'
import { createRunnerSession, type RunnerSession, type SessionEvents } from './runner-session.js'
import type { TermContext } from './term-context.js'

/** Margin on the lease time after which a runner that cannot be reached runs nothing. */
const assumedLeaseMargin = 1.05

/** Opens a session for each runner that is registered or may still run something. */
export class RunnerRegistry {
  readonly #ctx: TermContext
  readonly #events: SessionEvents

  constructor(ctx: TermContext, events: SessionEvents) {
    this.#ctx = ctx
    this.#events = events
  }

  /** Runners that are missing from all rows of the registry are gone. */
  takeSnapshot(rows: readonly ChangedRow[]): void {
    const present = new Set(rows.map(({ key }) => key))
    for (const [id, session] of this.#ctx.sessions) if (!present.has(id)) session.unregister()
    for (const row of rows) this.takeRow(row)
  }

  /** Takes a row of the registry; one that cannot be read names no runner. */
  takeRow({ key, value, isDeleted }: ChangedRow): void {
    const session = this.#ctx.sessions.get(key)
    const entry = isDeleted ? undefined : this.#ctx.opts.runners.decode(key, value)
    if (entry === undefined) {
      if (session?.isRegistered === true) {
        this.#ctx.opts.log.info('runner unregistered', { runner: key, isDeleted })
        session.unregister()
      }
      return
    }
    if (session !== undefined) {
      session.update(entry)
      return
    }
    this.open(key, entry)
    const { pool, zone, isDraining } = entry
    this.#ctx.opts.log.info('runner registered', { runner: key, pool, zone, isDraining })
  }

  /** Opens the session of a runner; without an entry, of one that may still run something. */
  open(id: string, entry: RunnerEntry | undefined): RunnerSession {
    const { timing, createRunner, log } = this.#ctx.opts
    // Earlier dispatchers go on renewing leases for a while after they have lost their own.
    const assumedMs = (timing.leaseMs + timing.suspendedMs) * assumedLeaseMargin
    const session = createRunnerSession({
      id,
      entry,
      fence: this.#ctx.fence,
      leaseMs: timing.leaseMs,
      lookWaitMs: timing.lookWaitMs,
      assumedLeaseEnd: this.#ctx.startedAt + assumedMs,
      createRunner,
      events: this.#events,
      log,
    })
    this.#ctx.sessions.set(id, session)
    return session
  }
}
