import type { HostAction, PlatformHost } from '@bulrushbridge/host'
import type { FleetHostRow } from './rows.js'

/** Time for a host to come back after a reboot, or to open, in milliseconds. */
export const returnMs = 15 * 60_000

/** A change of a host's row with the reason for its decision record. */
export interface HostStep {
  next: FleetHostRow
  rule: string
  action: string
  observed?: Record<string, unknown>
}

/** What is known of a host that is not serving. */
export interface HostView {
  /** The host's entry in the platform's list. */
  listed: PlatformHost | undefined
  /** Whether the platform has accepted the order of the row's generation from this holder. */
  isAccepted: boolean
  /** Whether nothing has run on the host for long enough. */
  isEmpty: boolean
  /** Result of health checks over some time; undefined while it is not clear. */
  health: 'healthy' | 'unhealthy' | undefined
  /** Whether the return of its zone keeps the host from work. */
  isClosed: boolean
  /** Wall-clock milliseconds. */
  now: number
  /** Pool that the host joins after maintenance. */
  poolAfter: () => string
}

/**
 * The order that the platform must have executed for the row's state. A successor sends it again
 * with the row's generation; the platform executes it once.
 */
export function orderOf(row: FleetHostRow): HostAction | undefined {
  if (row.state === 'draining') return 'drain'
  if (row.state === 'maintenance') return 'reboot'
  return row.state === 'joining' && row.held !== true ? 'open' : undefined
}

/**
 * Whether the list shows the effect of the row's order. The list alone does not suffice for a step:
 * it may show `live` for a host whose order to open was never sent, and then a late order of a
 * former holder, with a lower generation, would still be executed.
 */
export function isInEffect(row: FleetHostRow, listed: PlatformHost | undefined): boolean {
  if (listed === undefined) return false
  if (row.state === 'draining') return listed.state === 'leaving'
  if (row.state === 'maintenance') return listed.bootId !== row.bootId
  return listed.state === 'live'
}

/**
 * First generation of a host, or the next one after a refusal: the seconds of the wall clock. It is
 * above every earlier one, also when the host was known and forgotten, because a host gets far
 * fewer orders than one a second.
 */
export function freshGeneration(now: number, last = 0): number {
  return Math.max(last + 1, Math.floor(now / 1_000))
}

/** The row with the next order to the platform. */
function ordered(row: FleetHostRow, changes: Partial<FleetHostRow>): FleetHostRow {
  return { ...row, ...changes, generation: row.generation + 1 }
}

/** Row of a host that starts to drain: for a move to a pool, or for maintenance in a wave. */
export function drained(
  row: FleetHostRow,
  purpose: { movingTo: string } | { wave: string },
): FleetHostRow {
  const part = 'wave' in purpose ? { ...purpose, outcome: undefined } : purpose
  return ordered(row, { state: 'draining', movingTo: undefined, backBy: undefined, ...part })
}

/** Row of a host that opens for work again. */
export function opened(row: FleetHostRow, now: number, changes: Partial<FleetHostRow> = {}) {
  return ordered(row, { ...changes, state: 'joining', held: undefined, backBy: now + returnMs })
}

/** Row of a host that the return of its zone keeps from work. */
export function heldBack(row: FleetHostRow): FleetHostRow {
  return { ...row, state: 'joining', held: true, backBy: undefined }
}

/** Row of a failed host. Its part in a running wave counts against the wave. */
export function failed(
  row: FleetHostRow,
  kind: 'unhealthy' | 'missing',
  now: number,
): FleetHostRow {
  const outcome = row.wave !== undefined && row.outcome === undefined ? kind : row.outcome
  const cleared = { movingTo: undefined, backBy: undefined, held: undefined }
  return { ...row, ...cleared, state: 'failed', failedAt: now, outcome }
}

function isDone(row: FleetHostRow, { isAccepted, listed }: HostView): boolean {
  return isAccepted && isInEffect(row, listed)
}

function afterDrain(row: FleetHostRow, view: HostView): HostStep | undefined {
  const { listed, now } = view
  if (listed === undefined || !isDone(row, view) || !view.isEmpty) return undefined
  if (row.movingTo !== undefined) {
    const next = opened(row, now, { pool: row.movingTo, movingTo: undefined })
    const observed = { from: row.pool, to: next.pool }
    return { next, rule: 'host-empty', action: 'move', observed }
  }
  const { bootId } = listed
  const next = ordered(row, { state: 'maintenance', bootId, backBy: now + returnMs })
  return { next, rule: 'host-empty', action: 'reboot', observed: { wave: row.wave ?? '' } }
}

function afterReboot(row: FleetHostRow, view: HostView): HostStep | undefined {
  const { listed, health, now } = view
  if (listed !== undefined && isDone(row, view)) {
    const { bootId } = listed
    if (health === 'unhealthy') {
      const next = failed({ ...row, bootId }, 'unhealthy', now)
      return { next, rule: 'unhealthy-return', action: 'fail', observed: { bootId } }
    }
    if (health === 'healthy') {
      const pool = view.poolAfter()
      const changes = { pool, bootId, maintainedAt: now }
      const next = opened(row, now, changes)
      const observed = { bootId, from: row.pool, to: pool }
      return { next, rule: 'healthy-return', action: 'open', observed }
    }
  }
  return overdue(row, view)
}

function afterOpen(row: FleetHostRow, view: HostView): HostStep | undefined {
  if (row.held === true) return undefined
  if (!isDone(row, view)) return overdue(row, view)
  const outcome = row.wave === undefined ? undefined : ('healthy' as const)
  const back = { ...row, outcome, backBy: undefined, failedAt: undefined }
  if (view.isClosed) return { next: heldBack(back), rule: 'zone-closed', action: 'hold' }
  return { next: { ...back, state: 'serving' }, rule: 'host-open', action: 'serve' }
}

function overdue(row: FleetHostRow, { now }: HostView): HostStep | undefined {
  if (row.backBy === undefined || now <= row.backBy) return undefined
  const observed = { backBy: new Date(row.backBy).toISOString(), state: row.state }
  return { next: failed(row, 'missing', now), rule: 'return-deadline', action: 'fail', observed }
}

function afterFailure(row: FleetHostRow, { listed, health, now }: HostView): HostStep | undefined {
  if (listed === undefined || health !== 'healthy') return undefined
  const { bootId } = listed
  // A host that rebooted late has had its maintenance.
  const maintainedAt = bootId === row.bootId ? row.maintainedAt : now
  const next = opened(row, now, { bootId, maintainedAt })
  return { next, rule: 'host-recovered', action: 'open', observed: { bootId } }
}

const steps: Record<string, (row: FleetHostRow, view: HostView) => HostStep | undefined> = {
  draining: afterDrain,
  maintenance: afterReboot,
  joining: afterOpen,
  failed: afterFailure,
}

/**
 * The next step of a host that is not serving, or undefined while it waits. Only the row and what
 * is observed now decide, so any holder of the duty continues from the rows.
 *
 * @example
 * const step = nextStep(row, { listed, isEmpty, health, isClosed, now, poolAfter })
 * if (step) await rows.writeHost(row.id, step.next)
 */
export function nextStep(row: FleetHostRow, view: HostView): HostStep | undefined {
  return steps[row.state]?.(row, view)
}
