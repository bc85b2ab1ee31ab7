import type { RunnerEntry } from '@bulrushbridge/scheduler'
import type { ChangedRow } from '@bulrushbridge/store'
import { createRunnerSession, type RunnerSession, type SessionEvents } from './runner-session.js'
import type { TermContext } from './term-context.js'

/**
 * Safety factor for clock drift on the time after which leases granted by earlier dispatchers
 * count as ended.
 */
const assumedLeaseMargin = 1.05

/**
 * Opens a session for each runner that is registered or may still run something. A session stays
 * until the term ends, also when its runner is unregistered.
 */
export class RunnerSessions {
  readonly #ctx: TermContext
  readonly #events: SessionEvents

  constructor(ctx: TermContext, events: SessionEvents) {
    this.#ctx = ctx
    this.#events = events
  }

  /** Applies all rows of the registry; runners without a row are unregistered. */
  applySnapshot(rows: readonly ChangedRow[]): void {
    const present = new Set(rows.map(({ key }) => key))
    for (const [id, session] of this.#ctx.sessions) if (!present.has(id)) session.unregister()
    for (const row of rows) this.applyRow(row)
  }

  /** Applies a row of the registry; a row that cannot be decoded counts as deleted. */
  applyRow({ key, value, isDeleted }: ChangedRow): void {
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
    this.openSession(key, entry)
    const { pool, zone, isDraining } = entry
    this.#ctx.opts.log.info('runner registered', { runner: key, pool, zone, isDraining })
  }

  /** Opens the session of a runner; `entry` is undefined for one that is not registered. */
  openSession(id: string, entry: RunnerEntry | undefined): RunnerSession {
    const { connections, opts } = this.#ctx
    const { timing, log } = opts
    // An earlier dispatcher renews runners' leases for `suspendedMs` after it lost its own lease.
    const assumedMs = (timing.runnerLeaseMs + timing.suspendedMs) * assumedLeaseMargin
    const session = createRunnerSession({
      id,
      entry,
      fence: this.#ctx.fence,
      leaseMs: timing.runnerLeaseMs,
      maxLeaseMs: timing.maxRunnerLeaseMs,
      pollWaitMs: timing.pollWaitMs,
      assumedLeaseEnd: this.#ctx.startedAt + assumedMs,
      createRunner: runner => connections.createRunner(runner),
      events: this.#events,
      mayOrder: this.#ctx.mayOrder,
      log,
    })
    this.#ctx.sessions.set(id, session)
    return session
  }
}
