import { systemClock } from '@bulrushbridge/errors'
import type { ChangedRow, FollowedTableService } from './table-service.js'
import { wait, type WaitingClock } from './wait.js'

/** How long one call waits for a change; short, so that a silent connection shows soon. */
const changeWaitMs = 1_000

/** Time beyond the wait in which the answer must arrive. */
const answerSlackMs = 700

/** Pause after a failed call. */
const retryPauseMs = 150

/** Options of {@link followTable}. */
export interface TableFollowerOptions {
  store: FollowedTableService
  table: string
  parts: readonly string[]
  /** All rows, at the start and after the service has dropped the history. */
  onSnapshot: (rows: ChangedRow[]) => void
  onChanges: (rows: ChangedRow[]) => void
  /** Called when a call fails and when the first one after that succeeds. */
  onState: (state: 'lost' | 'regained', detail: string) => void
  /** Pause between two calls, so that several changes come in one answer; in milliseconds. */
  pauseMs: number
  clock?: WaitingClock
}

/** Follows one table. */
export interface TableFollower {
  /** When the last successful call was sent; the view is at least that fresh. */
  confirmedAt(): number | undefined
  /** Resolves after the first snapshot. */
  ready: Promise<void>
  close(): Promise<void>
}

/**
 * Follows the changes of a table, from a snapshot of all its rows. After a lost history it starts
 * again from a snapshot.
 *
 * @example
 * const follower = followTable({ store, table: 'jobs', parts, onSnapshot, onChanges, onState, pauseMs: 20 })
 * await follower.ready
 */
export function followTable(opts: TableFollowerOptions): TableFollower {
  return new Follower(opts)
}

class Follower implements TableFollower {
  readonly ready: Promise<void>
  readonly #opts: TableFollowerOptions
  readonly #clock: WaitingClock
  readonly #closing = new AbortController()
  readonly #running: Promise<void>
  #markReady: () => void = () => undefined
  #version: number | undefined
  #confirmedAt: number | undefined
  #isLost = false

  constructor(opts: TableFollowerOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
    this.ready = new Promise(resolve => {
      this.#markReady = resolve
    })
    this.#running = this.#run()
  }

  confirmedAt(): number | undefined {
    return this.#confirmedAt
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await this.#running
  }

  async #run(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      const sentAt = this.#clock.now()
      try {
        await this.#step()
        this.#confirmedAt = sentAt
        this.#markReady()
        this.#report(false, '')
        await wait(this.#clock, this.#opts.pauseMs, this.#closing.signal)
      } catch (err) {
        if (this.#isClosed()) return
        this.#report(true, err instanceof Error ? err.message : String(err))
        await wait(this.#clock, retryPauseMs, this.#closing.signal)
      }
    }
  }

  async #step(): Promise<void> {
    const { store, table, parts } = this.#opts
    if (this.#version === undefined) {
      const { rows, version } = await store.snapshot(table, parts)
      this.#opts.onSnapshot(rows)
      this.#version = version
      return
    }
    const changes = await store.changes(table, {
      after: this.#version,
      waitMs: changeWaitMs,
      deadline: this.#clock.now() + changeWaitMs + answerSlackMs,
      signal: this.#closing.signal,
    })
    if (changes !== undefined && changes.rows.length > 0) this.#opts.onChanges(changes.rows)
    this.#version = changes?.version
  }

  /** A method, because the signal is aborted during an await. */
  #isClosed(): boolean {
    return this.#closing.signal.aborted
  }

  #report(isLost: boolean, detail: string): void {
    if (isLost === this.#isLost) return
    this.#isLost = isLost
    this.#opts.onState(isLost ? 'lost' : 'regained', detail)
  }
}
