/** Holds the lease of each duty; a duty is a role that one process at a time performs. */
export const leasesTable = 'duties'

/** Holds the fence of each duty, which the holder checks in its transactions. */
export const fencesTable = 'duty-fences'

/** Value of a row in the table `duties`; it changes with each renewal. */
export interface DutyLeaseRow {
  /** Name of the holder; undefined after a release. */
  holder?: string
  /** Random id of the process, which tells a restarted holder from its predecessor. */
  instance: string
  /** Fencing token of the acquisition. */
  token: number
  ttlMs: number
  renewals: number
  /** Capacity of the holder; after a handover that of the candidate that asked for it. */
  capacity?: number
}

/** Value of a row in the table `duty-fences`; it changes only with an acquisition. */
export interface FenceRow {
  token: number
  instance: string
}
