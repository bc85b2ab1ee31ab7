import { randomUUID } from 'node:crypto'
import { systemClock } from '@bulrushbridge/errors'
import { HandoverWatch, isMuchStronger, requestHandover } from './duty-handover.js'
import type { DutyLease, DutyLeaseOptions, HeldLease } from './duty-lease-api.js'
import {
  decodeFenceRow,
  fencesTable,
  leasesTable,
  nextToken,
  unreadableRowError,
  type DutyLeaseRow,
  type FenceRow,
} from './duty-tables.js'
import { LeaseObserver } from './lease-observer.js'
import type { Row } from './table-service.js'
import { wait, type WaitingClock } from './wait.js'

/**
 * Share of a lease's lifetime for which a candidate leaves a free lease to those with much more
 * capacity. They look at the row six times in that lifetime.
 */
const deferralRatio = 0.5

/** A held lease with its deadline on the clock of this process. */
interface LeaseWithDeadline extends HeldLease {
  deadline: number
}

/**
 * Starts to compete for the lease of a duty. The lease is free when its row has no holder, or when
 * the row has not changed for the lifetime of the lease, measured on the clock of this process. A
 * row that cannot be decoded may have a holder, which changes it as it renews the lease.
 *
 * @example
 * const duty = createDutyLease({ table, duty: 'placement/7', holder: 'entry-3', ttlMs: 5_000 })
 * const held = duty.held()
 * if (held) await table.commit({ checks: [held.check], writes })
 */
export function createDutyLease(opts: DutyLeaseOptions): DutyLease {
  return new TableDutyLease(opts)
}

class TableDutyLease implements DutyLease {
  readonly #opts: DutyLeaseOptions
  readonly #clock: WaitingClock
  readonly #instance = randomUUID()
  readonly #observer: LeaseObserver
  readonly #closing = new AbortController()
  readonly #listeners = new Set<(held: HeldLease | undefined) => void>()
  readonly #handoverWatch: HandoverWatch | undefined
  readonly #loop: Promise<void>
  /** Renewals whose responses have not arrived yet. */
  readonly #pendingRenewals = new Set<Promise<unknown>>()
  #lease: LeaseWithDeadline | undefined
  /** When this candidate first saw the lease free. */
  #freeSince: number | undefined
  /** The lease that this candidate last asked for, and when. */
  #requested: { token: number; at: number } | undefined
  #isHandingOver = false
  #notifiedToken: number | undefined
  #renewalCount = 0

  constructor(opts: DutyLeaseOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
    this.#observer = new LeaseObserver({ ...opts, instance: this.#instance })
    const { table, duty, onHandoverRequest: onRequest, onError } = opts
    this.#handoverWatch =
      onRequest === undefined ? undefined : new HandoverWatch({ table, duty, onRequest, onError })
    this.#loop = this.#run()
  }

  held(): HeldLease | undefined {
    const lease = this.#lease
    if (lease === undefined || this.#closing.signal.aborted) return undefined
    if (this.#clock.now() >= lease.deadline) return undefined
    return { token: lease.token, check: lease.check }
  }

  onChange(listener: (held: HeldLease | undefined) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  async handOver(): Promise<void> {
    const lease = this.#lease
    if (lease === undefined) return
    this.#isHandingOver = true
    this.#lease = undefined
    this.#notifyListeners()
    try {
      await Promise.all(this.#pendingRenewals)
      await this.#release(lease, this.#handoverWatch?.requestedCapacity(lease.token))
    } finally {
      this.#isHandingOver = false
    }
  }

  async close(): Promise<void> {
    if (this.#closing.signal.aborted) return this.#loop
    this.#closing.abort()
    await this.#loop
    this.#notifyListeners()
    // A renewal that took effect after the release would make others wait until the lease expires.
    await Promise.all(this.#pendingRenewals)
    if (this.#lease !== undefined) await this.#release(this.#lease)
    this.#lease = undefined
  }

  async #run(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      const pauseMs = await this.#renewOrAcquire()
      this.#notifyListeners()
      await wait(this.#clock, pauseMs, this.#closing.signal)
    }
  }

  /** Renews the lease or tries to acquire it; returns the pause until the next attempt. */
  async #renewOrAcquire(): Promise<number> {
    const { ttlMs } = this.#opts
    try {
      if (this.#lease !== undefined) return await this.#renew(this.#lease)
      if (this.#isHandingOver) return ttlMs / 6
      return (await this.#acquireIfFree()) ? ttlMs / 3 : ttlMs / 6
    } catch (err) {
      // After any failure the lease expires at its deadline unless the next attempt succeeds.
      this.#opts.onError?.(err)
      const leftMs = (this.#lease?.deadline ?? Infinity) - this.#clock.now()
      return Math.max(1, Math.min(ttlMs / 12, leftMs))
    }
  }

  /**
   * Sends a renewal and waits for its response until the next renewal is due. When the store is
   * slower than that, several renewals are pending at once. A response within the lifetime extends
   * the lease, counted from the time when that renewal was sent.
   */
  async #renew(lease: LeaseWithDeadline): Promise<number> {
    const pauseMs = this.#opts.ttlMs / 3
    if (this.#clock.now() >= lease.deadline) {
      this.#lease = undefined
      return 0
    }
    const renewal = this.#sendRenewal(lease)
    void this.#handoverWatch?.check(
      lease.token,
      { deadline: this.#clock.now() + pauseMs },
      () => this.#lease?.token === lease.token,
    )
    const responded = new AbortController()
    const pause = wait(
      this.#clock,
      pauseMs,
      AbortSignal.any([responded.signal, this.#closing.signal]),
    )
    const result = await Promise.race([renewal, pause.then(() => 'unanswered')])
    responded.abort()
    if (result === 'unanswered') return 0
    const leftMs = lease.deadline - this.#clock.now()
    return result === 'failed' ? Math.max(1, Math.min(this.#opts.ttlMs / 12, leftMs)) : pauseMs
  }

  /** Checks only the fence, so that a renewal with a lost response does not fail the next one. */
  #sendRenewal(lease: LeaseWithDeadline): Promise<'answered' | 'failed'> {
    const { duty, ttlMs, table, onError } = this.#opts
    const sentAt = this.#clock.now()
    this.#renewalCount += 1
    const value = this.#createLeaseRow(lease.token, this.#renewalCount)
    const tx = { checks: [lease.check], writes: [{ table: leasesTable, key: duty, value }] }
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
      .finally(() => this.#pendingRenewals.delete(renewal))
    this.#pendingRenewals.add(renewal)
    return renewal
  }

  /**
   * Extends the lease, or drops it when `deadline` is undefined. A lease that has expired meanwhile
   * is not extended but acquired again, because its holder has already stopped its work.
   */
  #applyRenewal(token: number, deadline: number | undefined): void {
    const lease = this.#lease
    if (lease?.token !== token || this.#clock.now() >= lease.deadline) return
    this.#lease =
      deadline === undefined
        ? undefined
        : { ...lease, deadline: Math.max(lease.deadline, deadline) }
  }

  /** Reads the row and acquires the lease if it is free; returns whether it was acquired. */
  async #acquireIfFree(): Promise<boolean> {
    const { duty, ttlMs } = this.#opts
    const deadline = this.#clock.now() + ttlMs / 3
    const row = await this.#opts.table.read(leasesTable, duty, { deadline })
    // The time is read after the response, because the renewal that the row shows was sent earlier.
    const now = this.#clock.now()
    const { value, isFree } = this.#observer.observe(row, now)
    if (!isFree) {
      this.#freeSince = undefined
      if (value !== undefined) await this.#requestFromWeakerHolder(value)
      return false
    }
    this.#freeSince ??= now
    if (now - this.#freeSince < this.#deferralMs(value)) return false
    return this.#acquire(row)
  }

  /** How long a free lease is left to candidates with much more capacity, in milliseconds. */
  #deferralMs(row: DutyLeaseRow | undefined): number {
    const { capacity, ttlMs } = this.#opts
    if (capacity === undefined || row?.capacity === undefined) return 0
    return isMuchStronger(row.capacity, capacity) ? deferralRatio * ttlMs : 0
  }

  /**
   * Asks the holder for its lease, if this candidate has much more capacity; again after a lifetime,
   * because a request can be overwritten by an earlier one that takes effect late.
   */
  async #requestFromWeakerHolder({ token, capacity: holderCapacity }: DutyLeaseRow): Promise<void> {
    const { table, duty, holder: candidate, capacity, ttlMs } = this.#opts
    if (capacity === undefined || holderCapacity === undefined) return
    if (!isMuchStronger(capacity, holderCapacity)) return
    const now = this.#clock.now()
    if (this.#requested?.token === token && now < this.#requested.at + ttlMs) return
    const request = { token, candidate, capacity }
    await requestHandover(table, duty, request, { deadline: now + ttlMs / 3 })
    this.#requested = { token, at: now }
  }

  async #acquire(lease: Row | undefined): Promise<boolean> {
    const { table, duty, ttlMs, tokenStride = 1, onError } = this.#opts
    const readDeadline = this.#clock.now() + ttlMs / 3
    const fence = await table.read(fencesTable, duty, { deadline: readDeadline })
    if (fence !== undefined && decodeFenceRow(fence.value) === undefined) {
      onError?.(unreadableRowError(fencesTable, duty))
    }
    const sentAt = this.#clock.now()
    const token = nextToken({ fence, lease, stride: tokenStride })
    const fenceRow: FenceRow = { token, instance: this.#instance }
    const result = await table.commit(
      {
        checks: [
          { table: leasesTable, key: duty, version: lease?.version ?? 0 },
          { table: fencesTable, key: duty, version: fence?.version ?? 0 },
        ],
        writes: [
          { table: leasesTable, key: duty, value: this.#createLeaseRow(token, 0) },
          { table: fencesTable, key: duty, value: fenceRow },
        ],
      },
      { deadline: sentAt + ttlMs / 2 },
    )
    if (!result.committed) return false
    const writtenFence = await table.read(fencesTable, duty, { deadline: sentAt + ttlMs })
    const written = decodeFenceRow(writtenFence?.value)
    if (writtenFence === undefined) return false
    if (written?.token !== token || written.instance !== this.#instance) return false
    const check = { table: fencesTable, key: duty, version: writtenFence.version }
    this.#lease = { token, check, deadline: sentAt + ttlMs }
    this.#observer.reset()
    this.#freeSince = undefined
    return true
  }

  #createLeaseRow(token: number, renewals: number): DutyLeaseRow {
    const { holder, ttlMs, capacity } = this.#opts
    const row = { holder, instance: this.#instance, token, ttlMs, renewals }
    return capacity === undefined ? row : { ...row, capacity }
  }

  /**
   * Releases the lease; if that fails, other processes wait until it expires. `capacity` is that of
   * the candidate to which weaker ones leave the lease, by default of this process.
   */
  async #release(lease: HeldLease, capacity = this.#opts.capacity): Promise<void> {
    const { duty, ttlMs } = this.#opts
    const value: DutyLeaseRow = {
      instance: this.#instance,
      token: lease.token,
      ttlMs,
      renewals: 0,
      ...(capacity === undefined ? {} : { capacity }),
    }
    const write = { table: leasesTable, key: duty, value }
    const deadline = this.#clock.now() + ttlMs / 3
    await this.#opts.table
      .commit({ checks: [lease.check], writes: [write] }, { deadline })
      .catch(() => undefined)
  }

  #notifyListeners(): void {
    const held = this.held()
    if (held?.token === this.#notifiedToken) return
    this.#notifiedToken = held?.token
    for (const listener of this.#listeners) listener(held)
  }
}
