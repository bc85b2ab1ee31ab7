import type { Check, TableService } from './table-service.js'
import type { WaitingClock } from './wait.js'

/** A lease that this process holds. */
export interface HeldLease {
  /** Fencing token; it increases with each acquisition by any process. */
  token: number
  /** Check that the holder includes in each transaction, so that it fails after a takeover. */
  check: Check
}

/** Options of `createDutyLease`. */
export interface DutyLeaseOptions {
  table: TableService
  /** Name of the duty; it is the key of its rows. */
  duty: string
  /** Name of the process, shown to operators as the holder. */
  holder: string
  /** Lifetime of the lease after its last renewal, in milliseconds. */
  ttlMs: number
  clock?: WaitingClock
  /**
   * Whether only one process at a time uses the name `holder`. A lease under that name then belongs
   * to a predecessor that has ended, and is taken without waiting until it expires.
   */
  isSoleHolder?: boolean
  /**
   * Capacity of this process for the duty, in a unit that all candidates share. A candidate with
   * much more of it than the holder asks for the lease, and one with much less than the last holder
   * leaves a free lease to others for a moment. Without it, all candidates are equal.
   */
  capacity?: number
  /**
   * Distance between the tokens of two acquisitions, for a holder that also uses the numbers between
   * them. Default: 1.
   */
  tokenStride?: number
  /**
   * Called once for each lease when a candidate with much more capacity asks for it. The holder
   * finishes its work and calls {@link DutyLease.handOver}.
   */
  onHandoverRequest?: (candidate: { name: string; capacity: number }) => void
  /** Called with the error of each failed call to the table service. */
  onError?: (err: unknown) => void
}

/** Competes for the lease of a duty and renews it while this process holds it. */
export interface DutyLease {
  /** The lease, or undefined when this process does not hold it or its deadline has passed. */
  held(): HeldLease | undefined
  /** Calls `listener` after each acquisition and loss; returns a function that removes it. */
  onChange(listener: (held: HeldLease | undefined) => void): () => void
  /** Releases the lease to a candidate that asked for it, and goes on competing. */
  handOver(): Promise<void>
  /** Releases the lease and stops competing for it. */
  close(): Promise<void>
}
