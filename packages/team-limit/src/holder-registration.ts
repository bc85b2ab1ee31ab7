import type { Row } from '@bulrushbridge/store'
import type { Lending } from './lending.js'
import type { PermitContext } from './team-permits.js'

/** Table with one row per holder that may have loans. */
export const holdersTable = 'permit-holders'

/** Table and key of the reclaimer's request to report loans from removed holders. */
export const requestTable = 'permit-reclaim'
export const requestKey = 'request'

/** Pause between two reads of the reclaimer's request after a change of the configuration. */
const requestPollMs = 1_000

/** The pause when the configuration has not changed for {@link watchMs}. */
const relaxedPollMs = 4_000

/**
 * Time after a change in which a request is likely, in milliseconds: a request follows the removal
 * of a holder, which is a change, and the permits duty, which makes it, has a round every second.
 */
const watchMs = 30_000

/** A registered holder. */
export interface HolderRow {
  member: string
  incarnation: string
  /** Version of the configuration at registration; the holder was a member at it. */
  since: number
  /** The holder has no loan, and takes none, from anyone who was not a member at this version. */
  clearedThrough: number
}

/** The reclaimer's question to all holders. */
export interface ReclaimRequest {
  version: number
}

/** Registers a holder before it takes a permit, and answers reclaim requests. */
export class HolderRegistration {
  readonly #ctx: PermitContext
  readonly #lending: Lending
  #busy = false
  #gone = false
  #nextAt = -Infinity
  #version = -1
  #watchUntil = -Infinity

  constructor(ctx: PermitContext, lending: Lending) {
    this.#ctx = ctx
    this.#lending = lending
  }

  /** True once the row was deleted in a graceful shutdown. */
  isGone(): boolean {
    return this.#gone
  }

  tick(now: number): void {
    const ctx = this.#ctx
    if (this.#busy || this.#gone || !ctx.isMember(ctx.member, ctx.incarnation)) return
    if (ctx.version !== this.#version) {
      this.#version = ctx.version
      this.#watchUntil = now + watchMs
      this.#nextAt = Math.min(this.#nextAt, now + requestPollMs)
    }
    const isIdle = [...ctx.accounts.values()].every(a => a.own === 0 && a.held() + a.inUse === 0)
    const leaves = ctx.closing && isIdle && this.#lending.isQuiet()
    if (now < this.#nextAt && !leaves) return
    this.#busy = true
    const pauseMs = now < this.#watchUntil || !ctx.registered ? requestPollMs : relaxedPollMs
    this.#nextAt = now + pauseMs * (0.5 + ctx.rng())
    const step = !ctx.registered ? this.#register() : leaves ? this.#leave() : this.#report()
    step
      .catch((err: unknown) => {
        ctx.log('holder-row-failed', { err: String(err) })
      })
      .finally(() => {
        this.#busy = false
      })
  }

  async #register(): Promise<void> {
    const { table, holder, version } = this.#ctx
    const row = await table.read<HolderRow>(holdersTable, holder)
    if (row || (await this.#write(row, { since: version, clearedThrough: version }))) {
      this.#ctx.registered = true
    }
  }

  async #report(): Promise<void> {
    const { table, holder, version } = this.#ctx
    const request = await table.read<ReclaimRequest>(requestTable, requestKey)
    if (!request || request.value.version > version || this.#lending.hasLoansOfRemoved()) return
    const row = await table.read<HolderRow>(holdersTable, holder)
    if (!row || row.value.clearedThrough >= request.value.version) return
    await this.#write(row, { since: row.value.since, clearedThrough: version })
  }

  async #leave(): Promise<void> {
    const { table, holder, accounts } = this.#ctx
    for (const team of accounts.keys()) {
      const ledger = await table.read<{ holders: Record<string, unknown> }>('permits', team)
      if (ledger && holder in ledger.value.holders) return
    }
    const row = await table.read<HolderRow>(holdersTable, holder)
    const check = { table: holdersTable, key: holder, version: row?.version ?? 0 }
    const writes = row ? [{ table: holdersTable, key: holder, value: null }] : []
    this.#gone = !row || (await table.commit({ checks: [check], writes })).committed
  }

  async #write(
    row: Row<HolderRow> | undefined,
    fields: Omit<HolderRow, 'member' | 'incarnation'>,
  ): Promise<boolean> {
    const { table, holder, member, incarnation } = this.#ctx
    const value: HolderRow = { member, incarnation, ...fields }
    const result = await table.commit({
      checks: [{ table: holdersTable, key: holder, version: row?.version ?? 0 }],
      writes: [{ table: holdersTable, key: holder, value }],
    })
    return result.committed
  }
}
