import { z } from 'zod'
import { StoreError } from './store-error.js'
import type { Row } from './table-service.js'

/** Holds the lease of each duty; a duty is a role that one process at a time performs. */
export const leasesTable = 'duties'

/** Holds the fence of each duty, which the holder checks in its transactions. */
export const fencesTable = 'duty-fences'

/** Longest lifetime of a lease, in milliseconds; a row with a longer one counts as unreadable. */
const longestLeaseMs = 60_000

/** Highest token that is read from a row, so that many higher ones remain safe integers. */
const maxReadToken = 2 ** 52

const tokenSchema = z.int().nonnegative().max(maxReadToken)
const ttlSchema = z.number().positive().max(longestLeaseMs)

const leaseRowSchema = z.object({
  /** Name of the holder; undefined after a release. */
  holder: z.string().optional(),
  /** Random id of the process, which tells a restarted holder from its predecessor. */
  instance: z.string(),
  /** Fencing token of the acquisition. */
  token: tokenSchema,
  ttlMs: ttlSchema,
  renewals: z.number(),
  /** Capacity of the holder; after a handover that of the candidate that asked for it. */
  capacity: z.number().optional().catch(undefined),
})

/** Value of a row in the table `duties`; it changes with each renewal. */
export type DutyLeaseRow = z.infer<typeof leaseRowSchema>

const fenceRowSchema = z.object({ token: tokenSchema, instance: z.string() })

/** Value of a row in the table `duty-fences`; it changes only with an acquisition. */
export type FenceRow = z.infer<typeof fenceRowSchema>

const tokenFieldSchema = z.object({ token: tokenSchema })
const ttlFieldSchema = z.object({ ttlMs: ttlSchema })

/** Decodes the value of a lease row; undefined when another writer or build has written it. */
export function decodeLeaseRow(value: unknown): DutyLeaseRow | undefined {
  return leaseRowSchema.safeParse(value).data
}

/** Decodes the value of a fence row; undefined when another writer or build has written it. */
export function decodeFenceRow(value: unknown): FenceRow | undefined {
  return fenceRowSchema.safeParse(value).data
}

/** The lifetime in the value of a lease row, if that field is readable. */
export function decodeTtlMs(value: unknown): number | undefined {
  return ttlFieldSchema.safeParse(value).data?.ttlMs
}

/** The error that reports a row which another writer or build has written. */
export function unreadableRowError(table: string, duty: string): StoreError {
  return new StoreError(`the row ${duty} in the table ${table} cannot be decoded`)
}

/**
 * Token of the next acquisition: the lowest multiple of `stride` above all earlier tokens. Without a
 * readable fence it may be a higher one, which is derived from the versions of the rows: each
 * acquisition writes both rows and raises the token by at most `stride`, so the token is at most the
 * version of either row times `stride`.
 *
 * @example
 * const token = nextToken({ fence, lease, stride: 1_024 })
 */
export function nextToken(opts: {
  fence: Row | undefined
  lease: Row | undefined
  stride: number
}): number {
  const { fence, lease, stride } = opts
  const tokenIn = (row: Row | undefined) => tokenFieldSchema.safeParse(row?.value).data?.token
  const highestTokenOf = (row: Row | undefined) => tokenIn(row) ?? (row?.version ?? 0) * stride
  const fenceToken = tokenIn(fence)
  const lastToken =
    fenceToken === undefined
      ? Math.max(highestTokenOf(fence), highestTokenOf(lease))
      : Math.max(fenceToken, tokenIn(lease) ?? 0)
  return (Math.floor(lastToken / stride) + 1) * stride
}
