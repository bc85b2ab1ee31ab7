import type { CallResult, MachineAnswer } from '@bulrushbridge/scheduler'
import type { MachineContext } from './machine-context.js'
import type { MachineOrderKind } from './machine-order-record.js'

/**
 * Result of an order; an `unanswered` order may still be carried out. An order that was not sent because
 * the lease is no longer held counts as `refused`.
 */
export type MachineOrderResult = 'accepted' | 'refused' | 'unanswered'

const totals: Record<MachineOrderKind, string> = {
  move: 'bulrush_moves_total',
  upkeep: 'bulrush_upkeeps_total',
}

/**
 * Sends an order for a machine; logs, counts and returns its result. The fields `outcome` and
 * `reason` of the log line show whether the call succeeded and the machine accepted the order.
 */
export async function sendMachineOrder(
  { fence, log, metrics, onFenced, isInactive, orderRate }: MachineContext,
  kind: MachineOrderKind,
  order: { fields: Record<string, unknown>; call: () => Promise<CallResult<MachineAnswer>> },
): Promise<MachineOrderResult> {
  // Whatever the order waited for, such as the store, may have taken longer than the lease lasts.
  if (isInactive()) {
    log.warn(`machine ${kind} order not sent, the lease is in doubt`, { ...order.fields, fence })
    return 'refused'
  }
  orderRate.take(1, performance.now())
  const result = await order.call()
  if (result.outcome === 'not-done' && orderRate.noteRejected(performance.now()))
    log.warn('rate of machine orders halved', { kind, reason: result.reason })
  const refusal = result.outcome === 'done' ? result.value.refusal : undefined
  const reason = result.outcome === 'done' ? (refusal ?? 'accepted') : result.reason
  log.info(`machine ${kind} order sent`, {
    ...order.fields,
    fence,
    outcome: result.outcome,
    reason,
  })
  metrics.count(totals[kind], { outcome: reason })
  if (refusal === 'fence') onFenced()
  if (result.outcome === 'not-done' || refusal !== undefined) return 'refused'
  return result.outcome === 'done' ? 'accepted' : 'unanswered'
}
