import type { Check, CommitResult } from './table-service.js'

/**
 * Returns whether a transaction failed because another process has taken over the duty, and not
 * because of a conflict on another row.
 *
 * @example
 * if (hasFenceCheckFailed(result, duty.check)) throw new StoreError('the duty was taken over')
 */
export function hasFenceCheckFailed(result: CommitResult, fence: Check): boolean {
  if (result.committed) return false
  return result.failed.some(({ table, key }) => table === fence.table && key === fence.key)
}
