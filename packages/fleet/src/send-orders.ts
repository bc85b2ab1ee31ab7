import { platformCallMs, type FleetTerm } from './fleet-term.js'
import { freshGeneration, orderOf } from './host-steps.js'
import type { FleetHostRow } from './rows.js'

/**
 * Sends the orders that the rows call for. The row was written before; after a lost answer, or by a
 * successor, the same order is sent again with the same generation.
 */
export async function sendOrders(term: FleetTerm): Promise<void> {
  const due = term.rows
    .hosts()
    .filter(row => orderOf(row) !== undefined && !term.observer.isAccepted(row))
  const results = await Promise.allSettled(due.map(row => sendOrder(term, row)))
  for (const result of results) {
    if (result.status === 'rejected') term.opts.onError?.(result.reason)
  }
}

async function sendOrder(term: FleetTerm, row: FleetHostRow): Promise<void> {
  const { clock, platform, held } = term.opts
  const action = orderOf(row)
  if (action === undefined || held() === undefined) return
  const { id, generation } = row
  const answer = await platform.order(id, action, generation, clock.now() + platformCallMs)
  if (answer === 'accepted') term.observer.accepted(row)
  if (answer !== 'stale') return
  // The row is behind the platform, for example after the table was restored. For a former holder
  // of the duty the write fails by the fence.
  const next = freshGeneration(term.now(), generation)
  await term.rows.writeHost(id, { ...row, generation: next })
  term.decide('host', id, { rule: 'order-stale', action, observed: { generation } })
}
