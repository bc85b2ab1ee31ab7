import type { DutyLeaseOptions } from './duty-lease-api.js'
import {
  decodeLeaseRow,
  decodeTtlMs,
  leasesTable,
  unreadableRowError,
  type DutyLeaseRow,
} from './duty-tables.js'
import type { Row } from './table-service.js'

/** Processes wait longer than the lease by this ratio, because clocks run at different speeds. */
const clockDriftRatio = 0.02

/** Options of {@link LeaseObserver}. */
export interface LeaseObserverOptions extends Pick<
  DutyLeaseOptions,
  'duty' | 'holder' | 'ttlMs' | 'isSoleHolder' | 'onError'
> {
  /** Random id of this process. */
  instance: string
}

/** Observes the row of a lease, to find out when the lease is free. */
export class LeaseObserver {
  readonly #opts: LeaseObserverOptions
  #observed: { version: number; since: number } | undefined

  constructor(opts: LeaseObserverOptions) {
    this.#opts = opts
  }

  /** Decodes the row that was read at `now`, and tells whether the lease is free. */
  observe(row: Row | undefined, now: number): { value: DutyLeaseRow | undefined; isFree: boolean } {
    const value = decodeLeaseRow(row?.value)
    const version = row?.version ?? 0
    if (this.#observed?.version !== version) {
      this.#observed = { version, since: now }
      const { duty, onError } = this.#opts
      if (row !== undefined && value === undefined) onError?.(unreadableRowError(leasesTable, duty))
    }
    const unchangedMs = now - this.#observed.since
    const isFree = row === undefined || this.#isReleased(value) || this.#isExpired(row, unchangedMs)
    return { value, isFree }
  }

  /** Forgets when the row changed, as this process has changed it. */
  reset(): void {
    this.#observed = undefined
  }

  #isReleased(value: DutyLeaseRow | undefined): boolean {
    if (value === undefined) return false
    const { instance, isSoleHolder, holder } = this.#opts
    if (value.holder === undefined || value.instance === instance) return true
    return isSoleHolder === true && value.holder === holder
  }

  #isExpired(row: Row, unchangedMs: number): boolean {
    const ttlMs = decodeTtlMs(row.value) ?? this.#opts.ttlMs
    return unchangedMs >= ttlMs * (1 + clockDriftRatio)
  }
}
