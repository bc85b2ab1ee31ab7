import { randomUUID } from 'node:crypto'
import { systemClock } from '@bulrushbridge/errors'
import type { Check, Row, TableService } from './table-service.js'
import { wait, type WaitingClock } from './wait.js'

const dutiesTable = 'duties'
const fencesTable = 'duty-fences'

/** Observers wait this share longer than the lease, because clocks of hosts run unequally fast. */
const clockDriftShare = 0.02

/** Value of a row in the table `duties`; it changes with each renewal. */
export interface DutyRow {
  /** Undefined after a release. */
  holder?: string
  /** One per process, so that a restarted holder is not taken for its predecessor. */
  instance: string
  token: number
  ttlMs: number
  renewals: number
}

/** Value of a row in the table `duty-fences`; it changes with each acquisition only. */
interface FenceRow {
  token: number
  instance: string
}

/** A lease that is held at the moment. */
export interface HeldDuty {
  /** Rises by one with each acquisition by anyone. */
  token: number
  /** Must be among the checks of every transaction that the holder commits. */
  check: Check
}

/** A held lease with its deadline on this process's clock. */
interface Lease extends HeldDuty {
  deadline: number
  renewals: number
}

/** Options of {@link createDuty}. */
export interface DutyOptions {
  table: TableService
  /** Name of the duty, the key of its row. */
  duty: string
  /** Name of the candidate, for operators. */
  holder: string
  /** Lifetime of the lease after its last renewal. */
  ttlMs: number
  clock?: WaitingClock
  /**
   * Only one process at a time has the name `holder`, so a lease of that name belongs to a
   * predecessor that has ended and is taken without waiting for its end.
   */
  isSoleHolder?: boolean
  /** Told of each call that failed. */
  onError?: (err: unknown) => void
}

/** A candidate for a duty, which holds the duty's lease from time to time. */
export interface Duty {
  /** The lease, or undefined as soon as its deadline has passed. */
  held(): HeldDuty | undefined
  /** Calls back after each acquisition and loss; returns a function that ends this. */
  onChange(listener: (held: HeldDuty | undefined) => void): () => void
  /** Releases the lease and stops. */
  close(): Promise<void>
}

/**
 * Starts a candidate for a duty. It takes the lease when the row has no holder, or when it has
 * seen the row unchanged for the holder's whole lifetime on its own clock.
 *
 * @example
 * const duty = createDuty({ table, duty: 'placement/7', holder: 'entry-3', ttlMs: 5_000 })
 * const held = duty.held()
 * if (held) await table.commit({ checks: [held.check], writes })
 */
export function createDuty(opts: DutyOptions): Duty {
  return new LeasedDuty(opts)
}

class LeasedDuty implements Duty {
  readonly #opts: DutyOptions
  readonly #clock: WaitingClock
  readonly #instance = randomUUID()
  readonly #closing = new AbortController()
  readonly #listeners = new Set<(held: HeldDuty | undefined) => void>()
  readonly #running: Promise<void>
  #lease: Lease | undefined
  #seen: { version: number; since: number } | undefined
  #reported: number | undefined

  constructor(opts: DutyOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
    this.#running = this.#run()
  }

  held(): HeldDuty | undefined {
    const lease = this.#lease
    if (lease === undefined || this.#closing.signal.aborted) return undefined
    if (this.#clock.now() >= lease.deadline) return undefined
    return { token: lease.token, check: lease.check }
  }

  onChange(listener: (held: HeldDuty | undefined) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  async close(): Promise<void> {
    if (this.#closing.signal.aborted) return this.#running
    this.#closing.abort()
    await this.#running
    this.#report()
    if (this.#lease !== undefined) await this.#release(this.#lease)
    this.#lease = undefined
  }

  async #run(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      const pauseMs = await this.#step()
      this.#report()
      await wait(this.#clock, pauseMs, this.#closing.signal)
    }
  }

  /** Renews or observes once; returns the pause until the next step. */
  async #step(): Promise<number> {
    const { ttlMs } = this.#opts
    try {
      if (this.#lease !== undefined) return await this.#renew(this.#lease)
      return (await this.#observe()) ? ttlMs / 3 : ttlMs / 6
    } catch (err) {
      // Whatever failed, the lease ends by its deadline and the next step tries again.
      this.#opts.onError?.(err)
      const leftMs = (this.#lease?.deadline ?? Infinity) - this.#clock.now()
      return Math.max(1, Math.min(ttlMs / 12, leftMs))
    }
  }

  /** Checks the fence only, so that a renewal whose answer was lost does not refuse the next one. */
  async #renew(lease: Lease): Promise<number> {
    const { duty, ttlMs } = this.#opts
    const sentAt = this.#clock.now()
    if (sentAt >= lease.deadline) {
      this.#lease = undefined
      return 0
    }
    const renewals = lease.renewals + 1
    const value = this.#row(lease.token, renewals)
    const result = await this.#opts.table.commit(
      { checks: [lease.check], writes: [{ table: dutiesTable, key: duty, value }] },
      // A slow store takes longer than the pause between renewals, and may still renew in time.
      { deadline: Math.min(lease.deadline, sentAt + ttlMs / 2) },
    )
    this.#lease = result.committed ? { ...lease, renewals, deadline: sentAt + ttlMs } : undefined
    return ttlMs / 3
  }

  /** Reads the row and takes the lease if it is free; returns whether it was taken. */
  async #observe(): Promise<boolean> {
    const { duty, ttlMs } = this.#opts
    const deadline = this.#clock.now() + ttlMs / 3
    const row = await this.#opts.table.read<DutyRow>(dutiesTable, duty, { deadline })
    // Counted from after the answer: the renewal that it shows was sent earlier.
    const now = this.#clock.now()
    const version = row?.version ?? 0
    if (this.#seen?.version !== version) this.#seen = { version, since: now }
    if (!this.#isFree(row, now - this.#seen.since)) return false
    return this.#acquire(version)
  }

  #isFree(row: Row<DutyRow> | undefined, unchangedMs: number): boolean {
    if (row?.value.holder === undefined || row.value.instance === this.#instance) return true
    if (this.#opts.isSoleHolder === true && row.value.holder === this.#opts.holder) return true
    return unchangedMs >= row.value.ttlMs * (1 + clockDriftShare)
  }

  async #acquire(version: number): Promise<boolean> {
    const { table, duty, ttlMs } = this.#opts
    const readDeadline = this.#clock.now() + ttlMs / 3
    const old = await table.read<FenceRow>(fencesTable, duty, { deadline: readDeadline })
    const sentAt = this.#clock.now()
    const token = (old?.value.token ?? 0) + 1
    const fence: FenceRow = { token, instance: this.#instance }
    const result = await table.commit(
      {
        checks: [
          { table: dutiesTable, key: duty, version },
          { table: fencesTable, key: duty, version: old?.version ?? 0 },
        ],
        writes: [
          { table: dutiesTable, key: duty, value: this.#row(token, 0) },
          { table: fencesTable, key: duty, value: fence },
        ],
      },
      { deadline: sentAt + ttlMs / 2 },
    )
    if (!result.committed) return false
    const taken = await table.read<FenceRow>(fencesTable, duty, { deadline: sentAt + ttlMs })
    if (taken?.value.token !== token || taken.value.instance !== this.#instance) return false
    const check = { table: fencesTable, key: duty, version: taken.version }
    this.#lease = { token, check, renewals: 0, deadline: sentAt + ttlMs }
    this.#seen = undefined
    return true
  }

  #row(token: number, renewals: number): DutyRow {
    const { holder, ttlMs } = this.#opts
    return { holder, instance: this.#instance, token, ttlMs, renewals }
  }

  /** A release that fails is left to the observers, which wait for the lifetime instead. */
  async #release(lease: HeldDuty): Promise<void> {
    const { duty, ttlMs } = this.#opts
    const value: DutyRow = { instance: this.#instance, token: lease.token, ttlMs, renewals: 0 }
    const write = { table: dutiesTable, key: duty, value }
    const deadline = this.#clock.now() + ttlMs / 3
    await this.#opts.table
      .commit({ checks: [lease.check], writes: [write] }, { deadline })
      .catch(() => undefined)
  }

  #report(): void {
    const held = this.held()
    if (held?.token === this.#reported) return
    this.#reported = held?.token
    for (const listener of this.#listeners) listener(held)
  }
}
