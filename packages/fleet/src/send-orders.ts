import { platformCallTimeoutMs, type FleetTerm } from './fleet-term.js'
import { computeGeneration, findRequiredOrder } from './host-steps.js'
import type { FleetHostRow } from './rows.js'

/**
 * Sends the orders that the rows require and that the platform has not accepted yet. A row is
 * written before its order is sent, so after a lost answer, or by the next lease holder, the same
 * order is sent again with the same generation. Errors are passed to `onError`.
 */
export async function sendOrders(term: FleetTerm): Promise<void> {
  const dueRows = term.rows
    .hosts()
    .filter(row => findRequiredOrder(row) !== undefined && !term.observer.isAccepted(row))
  const results = await Promise.allSettled(dueRows.map(row => sendOrder(term, row)))
  for (const result of results) {
    if (result.status === 'rejected') term.opts.onError?.(result.reason)
  }
}

async function sendOrder(term: FleetTerm, row: FleetHostRow): Promise<void> {
  const { clock, platform, held } = term.opts
  const action = findRequiredOrder(row)
  if (action === undefined || held() === undefined) return
  const { id, generation } = row
  const result = await platform.order(id, action, generation, clock.now() + platformCallTimeoutMs)
  if (result === 'accepted') term.observer.recordAccepted(row)
  if (result !== 'stale') return
  // The platform has executed a higher generation than that of the row, for example after the table
  // was restored from a backup. The fence lets this write fail for a former lease holder.
  const next = computeGeneration(term.wallNow(), generation)
  await term.rows.writeHost(id, { ...row, generation: next })
  term.recordDecision('host', id, { rule: 'order-stale', action, observed: { generation } })
}
