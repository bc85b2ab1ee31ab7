import { homePool, roundStart, type FleetConfiguration } from './fleet-configuration.js'
import type { PlatformHost } from '@bulrushbridge/host'
import { failed, freshGeneration, type HostStep } from './host-steps.js'
import { listedPart, type FleetHostRow } from './rows.js'

/** A failed host that the list does not name is forgotten after this time, in milliseconds. */
export const forgetMs = 24 * 60 * 60_000

/** A change that the inventory makes to one host; `next` undefined removes its row. */
export type InventoryChange = Omit<HostStep, 'next'> & { id: string; next?: FleetHostRow }

/** Input of {@link inventoryChanges}. */
export interface InventoryOptions {
  cfg: FleetConfiguration
  rows: readonly FleetHostRow[]
  listed: readonly PlatformHost[]
  isGone: (id: string) => boolean
  /** Wall-clock milliseconds. */
  now: number
}

/**
 * Compares the rows with the platform's list: new hosts, changed descriptions, hosts that have been
 * missing for 30 s. A rebooting host is not listed and has its return deadline instead.
 *
 * @example
 * for (const change of inventoryChanges(opts)) await rows.writeHost(change.id, change.next)
 */
export function inventoryChanges(opts: InventoryOptions): InventoryChange[] {
  const known = new Map(opts.rows.map(row => [row.id, row]))
  const listed = new Map(opts.listed.map(host => [host.id, host]))
  const added = opts.listed.flatMap(host => (known.has(host.id) ? [] : newHost(opts, host)))
  const others = opts.rows.flatMap(row => {
    const host = listed.get(row.id)
    return host === undefined ? missing(opts, row) : changed(opts, row, host)
  })
  return [...added, ...others]
}

function newHost({ cfg, now }: InventoryOptions, host: PlatformHost): InventoryChange[] {
  const home = homePool(cfg, host)
  // A host that is leaving or unhealthy when it is first seen is taken in once it is live.
  if (home === undefined || host.state !== 'live' || !host.healthy) return []
  const { id, bootId } = host
  // When it was maintained last is not known, so it is due in the current round.
  const maintainedAt = roundStart(cfg, now) - 1
  const own = { id, home, pool: home, bootId, maintainedAt, generation: freshGeneration(now) }
  const next: FleetHostRow = { ...own, ...listedPart(host), state: 'serving' }
  return [{ id, next, rule: 'host-listed', action: 'add', observed: { pool: home } }]
}

function missing({ isGone, now }: InventoryOptions, row: FleetHostRow): InventoryChange[] {
  const { id, state } = row
  if (state === 'failed') {
    if (now - (row.failedAt ?? now) < forgetMs) return []
    return [{ id, rule: 'host-gone', action: 'remove', observed: { pool: row.pool } }]
  }
  if (state === 'maintenance' || !isGone(id)) return []
  const next = failed(row, 'missing', now)
  return [{ id, next, rule: 'host-missing', action: 'fail', observed: { state, pool: row.pool } }]
}

function changed(
  { cfg }: InventoryOptions,
  row: FleetHostRow,
  host: PlatformHost,
): InventoryChange[] {
  const home = homePool(cfg, host) ?? row.home
  const next = { ...row, ...listedPart(host), home }
  // Other states compare the boot id with the one before the reboot.
  if (row.state === 'serving') next.bootId = host.bootId
  const keys = ['home', 'bootId', ...Object.keys(listedPart(host))] as (keyof FleetHostRow)[]
  const differing = keys.filter(key => row[key] !== next[key])
  if (differing.length === 0) return []
  const observed = Object.fromEntries(differing.map(key => [key, next[key]]))
  return [{ id: row.id, next, rule: 'host-changed', action: 'update', observed }]
}
