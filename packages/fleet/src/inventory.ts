import { findHomePool, computeRoundStart, type FleetConfiguration } from './fleet-configuration.js'
import type { PlatformHost } from '@bulrushbridge/host'
import { toFailedRow, computeGeneration, type HostStep } from './host-steps.js'
import { pickListedFields, type FleetHostRow } from './rows.js'

/** Time after which the row of a failed host that is not listed is removed, in milliseconds. */
export const missingHostRetentionMs = 24 * 60 * 60_000

/**
 * A change of one host's row that follows from the host list; without `next` the row is removed.
 */
export type InventoryChange = Omit<HostStep, 'next'> & { id: string; next?: FleetHostRow }

/** Input of {@link planInventoryChanges}. */
export interface InventoryOptions {
  cfg: FleetConfiguration
  rows: readonly FleetHostRow[]
  listed: readonly PlatformHost[]
  /** Whether a host has been absent from the list for so long that it counts as failed. */
  isMissing: (id: string) => boolean
  /** Wall-clock milliseconds. */
  now: number
}

/**
 * Compares the rows with the platform's host list and plans the changes: new hosts are added,
 * changed descriptions are copied, and hosts that have been absent for 30 s fail. A rebooting host
 * is absent from the list, so its return deadline applies instead.
 *
 * @example
 * for (const change of planInventoryChanges(opts)) await rows.writeHost(change.id, change.next)
 */
export function planInventoryChanges(opts: InventoryOptions): InventoryChange[] {
  const rowsById = new Map(opts.rows.map(row => [row.id, row]))
  const listedById = new Map(opts.listed.map(host => [host.id, host]))
  const additions = opts.listed.flatMap(host =>
    rowsById.has(host.id) ? [] : planHostAddition(opts, host),
  )
  const otherChanges = opts.rows.flatMap(row => {
    const host = listedById.get(row.id)
    return host === undefined ? planMissingHost(opts, row) : planHostUpdate(opts, row, host)
  })
  return [...additions, ...otherChanges]
}

function planHostAddition({ cfg, now }: InventoryOptions, host: PlatformHost): InventoryChange[] {
  const home = findHomePool(cfg, host)
  // A new host that is leaving or unhealthy is added once it is live and healthy.
  if (home === undefined || host.state !== 'live' || !host.healthy) return []
  const { id, bootId } = host
  // The time of its last maintenance is unknown, so it is due in the current round.
  const maintainedAt = computeRoundStart(cfg, now) - 1
  const ownFields = {
    id,
    home,
    pool: home,
    bootId,
    maintainedAt,
    generation: computeGeneration(now),
  }
  const next: FleetHostRow = { ...ownFields, ...pickListedFields(host), state: 'serving' }
  return [{ id, next, rule: 'host-listed', action: 'add', observed: { pool: home } }]
}

function planMissingHost(
  { isMissing, now }: InventoryOptions,
  row: FleetHostRow,
): InventoryChange[] {
  const { id, state } = row
  if (state === 'failed') {
    if (now - (row.failedAt ?? now) < missingHostRetentionMs) return []
    return [{ id, rule: 'host-gone', action: 'remove', observed: { pool: row.pool } }]
  }
  if (state === 'maintenance' || !isMissing(id)) return []
  const next = toFailedRow(row, 'missing', now)
  return [{ id, next, rule: 'host-missing', action: 'fail', observed: { state, pool: row.pool } }]
}

function planHostUpdate(
  { cfg }: InventoryOptions,
  row: FleetHostRow,
  host: PlatformHost,
): InventoryChange[] {
  const home = findHomePool(cfg, host) ?? row.home
  const next = { ...row, ...pickListedFields(host), home }
  // In other states the row keeps the boot id from before the reboot, to detect the reboot by it.
  if (row.state === 'serving') next.bootId = host.bootId
  const keys = ['home', 'bootId', ...Object.keys(pickListedFields(host))] as (keyof FleetHostRow)[]
  const differingKeys = keys.filter(key => row[key] !== next[key])
  if (differingKeys.length === 0) return []
  const observed = Object.fromEntries(differingKeys.map(key => [key, next[key]]))
  return [{ id: row.id, next, rule: 'host-changed', action: 'update', observed }]
}
