import type { Check, CommitResult } from './table-service.js'

/**
 * Whether a transaction failed because its duty was taken over, and not by a race for a row.
 *
 * @example
 * if (hasFenceFailed(result, duty.check)) throw new StoreError('the duty was taken over')
 */
export function hasFenceFailed(result: CommitResult, fence: Check): boolean {
  if (result.committed) return false
  return result.failed.some(({ table, key }) => table === fence.table && key === fence.key)
}
