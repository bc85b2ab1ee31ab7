import type { HostAction, PlatformHost } from '@bulrushbridge/host'
import type { FleetHostRow } from './rows.js'

/** Time within which a host must reboot, or open, after the order to do so, in milliseconds. */
export const returnTimeoutMs = 15 * 60_000

/** A change of a host's row, with the rule, action and observations for its decision record. */
export interface HostStep {
  next: FleetHostRow
  rule: string
  action: string
  observed?: Record<string, unknown>
}

/** What is currently known about a host that is not serving. */
export interface HostView {
  /** The host's entry in the platform's host list; undefined if it has none. */
  listed: PlatformHost | undefined
  /** Whether the platform has accepted the row's order from this lease holder. */
  isAccepted: boolean
  /** Whether no work has run on the host for the required time. */
  isEmpty: boolean
  /** Health that the checks have shown for the required time; undefined until then. */
  health: 'healthy' | 'unhealthy' | undefined
  /** Whether the host may not serve, because its zone is out or only partly open. */
  isClosed: boolean
  /** Wall-clock milliseconds. */
  now: number
  /** Chooses the pool that the host joins after maintenance. */
  choosePool: () => string
}

/**
 * Finds the order that the row's state requires of the platform; undefined if it requires none.
 * Another lease holder sends it again with the row's generation, and the platform executes it only
 * once.
 */
export function findRequiredOrder(row: FleetHostRow): HostAction | undefined {
  if (row.state === 'draining') return 'drain'
  if (row.state === 'maintenance') return 'reboot'
  return row.state === 'joining' && row.held !== true ? 'open' : undefined
}

/**
 * Whether the host list shows the effect of the row's order. The platform must have accepted the
 * order as well before the next step: the list may show `live` for a host whose order to open was
 * never sent, and then the platform would still execute a late order of a former lease holder,
 * which has a lower generation.
 */
export function isOrderInEffect(row: FleetHostRow, listed: PlatformHost | undefined): boolean {
  if (listed === undefined) return false
  if (row.state === 'draining') return listed.state === 'leaving'
  if (row.state === 'maintenance') return listed.bootId !== row.bootId
  return listed.state === 'live'
}

/**
 * Computes the first generation of a host, or the next one after the platform refused an order as
 * stale: the wall-clock time in seconds. A host gets far fewer orders than one per second, so this
 * is higher than every earlier generation, even if the host's row was removed in the meantime.
 */
export function computeGeneration(now: number, previous = 0): number {
  return Math.max(previous + 1, Math.floor(now / 1_000))
}

/** Returns the row with the changes and the next generation, so that its order is sent anew. */
function withNextOrder(row: FleetHostRow, changes: Partial<FleetHostRow>): FleetHostRow {
  return { ...row, ...changes, generation: row.generation + 1 }
}

/**
 * Returns the row of a host that starts to drain, for a move to another pool or for maintenance in
 * a wave.
 */
export function toDrainingRow(
  row: FleetHostRow,
  purpose: { movingTo: string } | { wave: string },
): FleetHostRow {
  const purposeFields = 'wave' in purpose ? { ...purpose, outcome: undefined } : purpose
  return withNextOrder(row, {
    state: 'draining',
    movingTo: undefined,
    backBy: undefined,
    ...purposeFields,
  })
}

/** Returns the row of a host that is ordered to open for work, with its return deadline. */
export function toOpeningRow(row: FleetHostRow, now: number, changes: Partial<FleetHostRow> = {}) {
  return withNextOrder(row, {
    ...changes,
    state: 'joining',
    held: undefined,
    backBy: now + returnTimeoutMs,
  })
}

/** Returns the row of a host that may not serve, because its zone is out or only partly open. */
export function toHeldRow(row: FleetHostRow): FleetHostRow {
  return { ...row, state: 'joining', held: true, backBy: undefined }
}

/**
 * Returns the row of a failed host. If the host's part in a wave has no outcome yet, the failure
 * becomes the outcome and halts the wave.
 */
export function toFailedRow(
  row: FleetHostRow,
  failure: 'unhealthy' | 'missing',
  now: number,
): FleetHostRow {
  const outcome = row.wave !== undefined && row.outcome === undefined ? failure : row.outcome
  const clearedFields = { movingTo: undefined, backBy: undefined, held: undefined }
  return { ...row, ...clearedFields, state: 'failed', failedAt: now, outcome }
}

/** Whether the platform has accepted the row's order and the host list shows its effect. */
function isOrderDone(row: FleetHostRow, { isAccepted, listed }: HostView): boolean {
  return isAccepted && isOrderInEffect(row, listed)
}

function planStepAfterDrain(row: FleetHostRow, view: HostView): HostStep | undefined {
  const { listed, now } = view
  if (listed === undefined || !isOrderDone(row, view) || !view.isEmpty) return undefined
  if (row.movingTo !== undefined) {
    const next = toOpeningRow(row, now, { pool: row.movingTo, movingTo: undefined })
    const observed = { from: row.pool, to: next.pool }
    return { next, rule: 'host-empty', action: 'move', observed }
  }
  const { bootId } = listed
  const next = withNextOrder(row, { state: 'maintenance', bootId, backBy: now + returnTimeoutMs })
  return { next, rule: 'host-empty', action: 'reboot', observed: { wave: row.wave ?? '' } }
}

function planStepAfterReboot(row: FleetHostRow, view: HostView): HostStep | undefined {
  const { listed, health, now } = view
  if (listed !== undefined && isOrderDone(row, view)) {
    const { bootId } = listed
    if (health === 'unhealthy') {
      const next = toFailedRow({ ...row, bootId }, 'unhealthy', now)
      return { next, rule: 'unhealthy-return', action: 'fail', observed: { bootId } }
    }
    if (health === 'healthy') {
      const pool = view.choosePool()
      const changes = { pool, bootId, maintainedAt: now }
      const next = toOpeningRow(row, now, changes)
      const observed = { bootId, from: row.pool, to: pool }
      return { next, rule: 'healthy-return', action: 'open', observed }
    }
  }
  return planStepWhenOverdue(row, view)
}

function planStepAfterOpening(row: FleetHostRow, view: HostView): HostStep | undefined {
  if (row.held === true) return undefined
  if (!isOrderDone(row, view)) return planStepWhenOverdue(row, view)
  const outcome = row.wave === undefined ? undefined : ('healthy' as const)
  const returnedRow = { ...row, outcome, backBy: undefined, failedAt: undefined }
  if (view.isClosed) return { next: toHeldRow(returnedRow), rule: 'zone-closed', action: 'hold' }
  return { next: { ...returnedRow, state: 'serving' }, rule: 'host-open', action: 'serve' }
}

function planStepWhenOverdue(row: FleetHostRow, { now }: HostView): HostStep | undefined {
  if (row.backBy === undefined || now <= row.backBy) return undefined
  const observed = { backBy: new Date(row.backBy).toISOString(), state: row.state }
  return {
    next: toFailedRow(row, 'missing', now),
    rule: 'return-deadline',
    action: 'fail',
    observed,
  }
}

function planStepAfterFailure(
  row: FleetHostRow,
  { listed, health, now }: HostView,
): HostStep | undefined {
  if (listed === undefined || health !== 'healthy') return undefined
  const { bootId } = listed
  // A host that rebooted after its deadline has been maintained.
  const maintainedAt = bootId === row.bootId ? row.maintainedAt : now
  const next = toOpeningRow(row, now, { bootId, maintainedAt })
  return { next, rule: 'host-recovered', action: 'open', observed: { bootId } }
}

const stepPlanners: Record<string, (row: FleetHostRow, view: HostView) => HostStep | undefined> = {
  draining: planStepAfterDrain,
  maintenance: planStepAfterReboot,
  joining: planStepAfterOpening,
  failed: planStepAfterFailure,
}

/**
 * Plans the next step of a host that is not serving; undefined while none is due. The step depends
 * only on the row and on current observations, so any lease holder continues from the rows.
 *
 * @example
 * const view = { listed, isAccepted, isEmpty, health, isClosed, now, choosePool }
 * const step = planNextStep(row, view)
 * if (step) await rows.writeHost(row.id, step.next)
 */
export function planNextStep(row: FleetHostRow, view: HostView): HostStep | undefined {
  return stepPlanners[row.state]?.(row, view)
}
