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
  /** Renewals without an answer yet. */
  readonly #renewals = new Set<Promise<unknown>>()
  #lease: Lease | undefined
  #seen: { version: number; since: number } | undefined
  #reported: number | undefined
  #renewalCount = 0

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
    // A renewal that took effect after the release would make others wait for the lease's end.
    await Promise.all(this.#renewals)
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

  /**
   * Sends a renewal and waits for its answer until the next one is due. A slow store takes longer
   * than that; each renewal that is answered within the lifetime prolongs the lease by its own time.
   */
  async #renew(lease: Lease): Promise<number> {
    const pauseMs = this.#opts.ttlMs / 3
    if (this.#clock.now() >= lease.deadline) {
      this.#lease = undefined
      return 0
    }
    const renewal = this.#sendRenewal(lease)
    const answered = new AbortController()
    const pause = wait(
      this.#clock,
      pauseMs,
      AbortSignal.any([answered.signal, this.#closing.signal]),
    )
    const result = await Promise.race([renewal, pause.then(() => 'unanswered')])
    answered.abort()
    if (result === 'unanswered') return 0
    const leftMs = lease.deadline - this.#clock.now()
    return result === 'failed' ? Math.max(1, Math.min(this.#opts.ttlMs / 12, leftMs)) : pauseMs
  }

  /** Checks the fence only, so that a renewal whose answer was lost does not refuse the next one. */
  #sendRenewal(lease: Lease): Promise<'answered' | 'failed'> {
    const { duty, ttlMs, table, onError } = this.#opts
    const sentAt = this.#clock.now()
    this.#renewalCount += 1
    const value = this.#row(lease.token, this.#renewalCount)
    const tx = { checks: [lease.check], writes: [{ table: dutiesTable, key: duty, value }] }
    const renewal = table
      .commit(tx, { deadline: sentAt + ttlMs })
      .then(({ committed }) => {
        this.#applyRenewal(lease.token, committed ? sentAt + ttlMs : undefined)
        return 'answered' as const
      })
      .catch((err: unknown) => {
        onError?.(err)
        return 'failed' as const
      })
      .finally(() => this.#renewals.delete(renewal))
    this.#renewals.add(renewal)
    return renewal
  }

  /** A lease that has run out meanwhile is taken anew, since its holder has stopped by then. */
  #applyRenewal(token: number, deadline: number | undefined): void {
    const lease = this.#lease
    if (lease?.token !== token || this.#clock.now() >= lease.deadline) return
    this.#lease =
      deadline === undefined
        ? undefined
        : { ...lease, deadline: Math.max(lease.deadline, deadline) }
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
    this.#lease = { token, check, deadline: sentAt + ttlMs }
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
