import type { Check, Row, TableService } from '@bulrushbridge/store'
import {
  holdersTable,
  reclaimRequestKey,
  reclaimRequestTable,
  type HolderRow,
  type ReclaimRequest,
} from './holder-registration.js'
import {
  holderId,
  ledgerTable,
  replaceRow,
  tasksHolder,
  withoutHolder,
  type LedgerRow,
} from './ledger.js'
import type { MemberRef } from './types.js'

/** Options of {@link createPermitReclaimer}. */
export interface PermitReclaimerOptions {
  table: TableService
  /**
   * Returns the check on the duty's row. Every transaction includes it, so that a program that has
   * lost the duty changes nothing.
   */
  dutyChecks: () => Check[]
  /** True once no runner and no worker has work of this removed entry host. */
  isSettled: (member: string, incarnation: string) => Promise<boolean>
  log?: (event: string, fields: Record<string, unknown>) => void
}

/** Removes the ledger entries of removed entry hosts, which makes their permits available again. */
export interface PermitReclaimer {
  /** Applies a configuration; an older version than the last is ignored. */
  configure(cfg: { version: number; members: readonly MemberRef[] }): void
  /**
   * Runs one pass over all removed holders. Resolves to the holders whose permits were reclaimed.
   * @throws StoreError when the store fails; the next pass continues.
   */
  run(): Promise<string[]>
}

/**
 * Creates the reclaimer that the control program runs under a duty.
 *
 * @example
 * const reclaimer = createPermitReclaimer({ table, dutyChecks: () => [duty.check], isSettled })
 * reclaimer.configure({ version: cfg.version, members: Object.values(cfg.members) })
 * const reclaimed = await reclaimer.run()
 */
export function createPermitReclaimer(opts: PermitReclaimerOptions): PermitReclaimer {
  return new Reclaimer(opts)
}

class Reclaimer implements PermitReclaimer {
  readonly #opts: PermitReclaimerOptions
  /** First version of the configuration in which each removed holder was found missing. */
  readonly #removedAtVersion = new Map<string, number>()
  #version = -1
  #members = new Set<string>()

  constructor(opts: PermitReclaimerOptions) {
    this.#opts = opts
  }

  configure(cfg: { version: number; members: readonly MemberRef[] }): void {
    if (cfg.version < this.#version) return
    this.#version = cfg.version
    this.#members = new Set(cfg.members.map(({ id, incarnation }) => holderId(id, incarnation)))
  }

  async run(): Promise<string[]> {
    const { table } = this.#opts
    const version = this.#version
    // The ledger is read before the registrations. A holder registers before its first ledger
    // entry, so the entry of a new holder is never read without its registration.
    const ledger = await table.scan<LedgerRow>(ledgerTable)
    const holders = await table.scan<HolderRow>(holdersTable)
    if (version !== this.#version) return []
    const removed = this.#removedHolders(ledger, holders)
    for (const id of this.#removedAtVersion.keys())
      if (!removed.has(id)) this.#removedAtVersion.delete(id)
    if (removed.size === 0) return []
    for (const id of removed.keys()) {
      this.#removedAtVersion.set(id, this.#removedAtVersion.get(id) ?? version)
    }
    await this.#requestReports(version)
    const reclaimed: string[] = []
    for (const [id, holder] of removed) {
      if (!(await this.#canReclaim(id, holder, holders))) continue
      if (await this.#reclaim(id, ledger, holders)) reclaimed.push(id)
    }
    return reclaimed
  }

  #removedHolders(ledger: Row<LedgerRow>[], holders: Row<HolderRow>[]): Map<string, MemberRef> {
    const removed = new Map<string, MemberRef>()
    const registered = new Set(holders.map(row => row.key))
    for (const { key, value } of holders) {
      // A holder registered at a later version is not in the configuration known here.
      if (this.#members.has(key) || value.since > this.#version) continue
      removed.set(key, { id: value.member, incarnation: value.incarnation })
    }
    for (const id of ledger.flatMap(row => Object.keys(row.value.holders))) {
      if (id === tasksHolder || registered.has(id) || this.#members.has(id)) continue
      const [member = '', incarnation = ''] = id.split('/').map(decodeURIComponent)
      removed.set(id, { id: member, incarnation })
    }
    return removed
  }

  /** Asks all holders to report that they have no loans from removed holders. */
  async #requestReports(version: number): Promise<void> {
    const { table, dutyChecks } = this.#opts
    const row = await table.read<ReclaimRequest>(reclaimRequestTable, reclaimRequestKey)
    const neededVersion = Math.max(...this.#removedAtVersion.values())
    if (row && row.value.version >= neededVersion) return
    const check = { table: reclaimRequestTable, key: reclaimRequestKey, version: row?.version ?? 0 }
    const write = { table: reclaimRequestTable, key: reclaimRequestKey, value: { version } }
    await table.commit({ checks: [check, ...dutyChecks()], writes: [write] })
  }

  /** True when the holder's work has ended and no other holder can still use a loan from it. */
  async #canReclaim(id: string, holder: MemberRef, holders: Row<HolderRow>[]): Promise<boolean> {
    const { isSettled } = this.#opts
    const removedAt = this.#removedAtVersion.get(id) ?? Infinity
    if (!(await isSettled(holder.id, holder.incarnation))) return false
    for (const { key, value } of holders) {
      if (key === id || value.clearedThrough >= removedAt) continue
      const isRemoved = !this.#members.has(key) && value.since <= this.#version
      if (!isRemoved || !(await isSettled(value.member, value.incarnation))) return false
    }
    return true
  }

  /** Deletes the holder's ledger entries and its row; returns false when a row has changed. */
  async #reclaim(
    id: string,
    ledger: Row<LedgerRow>[],
    holders: Row<HolderRow>[],
  ): Promise<boolean> {
    const { table, dutyChecks, log } = this.#opts
    for (const { key: team } of ledger) {
      const read = await table.read<LedgerRow>(ledgerTable, team)
      if (!read || !(id in read.value.holders)) continue
      const { checks, writes } = replaceRow(team, read, withoutHolder(read.value, id))
      const result = await table.commit({ checks: [...checks, ...dutyChecks()], writes })
      if (!result.committed) return false
    }
    const row = holders.find(({ key }) => key === id)
    if (row) {
      const check = { table: holdersTable, key: id, version: row.version }
      const write = { table: holdersTable, key: id, value: null }
      const result = await table.commit({ checks: [check, ...dutyChecks()], writes: [write] })
      if (!result.committed) return false
    }
    log?.('permits-reclaimed', { holder: id })
    return true
  }
}
