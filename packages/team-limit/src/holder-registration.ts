import type { Row } from '@bulrushbridge/store'
import type { Lending } from './lending.js'
import type { PermitContext } from './team-permits.js'

/** Table with one row per registered holder; only registered holders can have loans. */
export const holdersTable = 'permit-holders'

/** Table of the reclaimer's request that holders report loans from removed holders. */
export const reclaimRequestTable = 'permit-reclaim'
/** Key of the only row in {@link reclaimRequestTable}. */
export const reclaimRequestKey = 'request'

/** Mean pause between two reads of the reclaimer's request after a change of the configuration. */
const pollMs = 1_000

/** Mean pause when the configuration has not changed for {@link fastPollPeriodMs}. */
const slowPollMs = 4_000

/**
 * Time after a change of the configuration in which a request is likely, in milliseconds. The
 * removal of a holder is such a change, and the permits duty, which runs every second, then writes
 * the request.
 */
const fastPollPeriodMs = 30_000

/** Stored row of a registered holder. */
export interface HolderRow {
  member: string
  incarnation: string
  /** Version of the configuration at registration, in which the holder was a member. */
  since: number
  /** The holder has and accepts no loan from anyone who was not a member at this version. */
  clearedThrough: number
}

/** Stored request of the reclaimer to all holders. */
export interface ReclaimRequest {
  /** Version for which holders report that they have no loans from removed holders. */
  version: number
}

/** Registers a holder before it takes a permit, and answers reclaim requests. */
export class HolderRegistration {
  readonly #ctx: PermitContext
  readonly #lending: Lending
  #isBusy = false
  #isDeregistered = false
  #nextAt = -Infinity
  #lastVersion = -1
  #fastPollUntil = -Infinity

  constructor(ctx: PermitContext, lending: Lending) {
    this.#ctx = ctx
    this.#lending = lending
  }

  /** True once a graceful shutdown has deleted the holder's row. */
  isDeregistered(): boolean {
    return this.#isDeregistered
  }

  tick(now: number): void {
    const ctx = this.#ctx
    if (this.#isBusy || this.#isDeregistered || !ctx.isMember(ctx.member, ctx.incarnation)) return
    if (ctx.version !== this.#lastVersion) {
      this.#lastVersion = ctx.version
      this.#fastPollUntil = now + fastPollPeriodMs
      this.#nextAt = Math.min(this.#nextAt, now + pollMs)
    }
    const isIdle = [...ctx.accounts.values()].every(a => a.own === 0 && a.held() + a.inUse === 0)
    const canDeregister = ctx.isClosing && isIdle && this.#lending.hasNoPendingCalls()
    if (now < this.#nextAt && !canDeregister) return
    this.#isBusy = true
    const pauseMs = now < this.#fastPollUntil || !ctx.isRegistered ? pollMs : slowPollMs
    this.#nextAt = now + pauseMs * (0.5 + ctx.rng())
    const operation = !ctx.isRegistered
      ? this.#register()
      : canDeregister
        ? this.#deregister()
        : this.#reportCleared()
    operation
      .catch((err: unknown) => {
        ctx.log('holder-row-failed', { err: String(err) })
      })
      .finally(() => {
        this.#isBusy = false
      })
  }

  async #register(): Promise<void> {
    const { table, holder, version } = this.#ctx
    const row = await table.read<HolderRow>(holdersTable, holder)
    if (row || (await this.#write(row, { since: version, clearedThrough: version }))) {
      this.#ctx.isRegistered = true
    }
  }

  async #reportCleared(): Promise<void> {
    const { table, holder, version } = this.#ctx
    const request = await table.read<ReclaimRequest>(reclaimRequestTable, reclaimRequestKey)
    if (!request || request.value.version > version || this.#lending.hasLoansFromRemovedPeers())
      return
    const row = await table.read<HolderRow>(holdersTable, holder)
    if (!row || row.value.clearedThrough >= request.value.version) return
    await this.#write(row, { since: row.value.since, clearedThrough: version })
  }

  async #deregister(): Promise<void> {
    const { table, holder, accounts } = this.#ctx
    for (const team of accounts.keys()) {
      const ledger = await table.read<{ holders: Record<string, unknown> }>('permits', team)
      if (ledger && holder in ledger.value.holders) return
    }
    const row = await table.read<HolderRow>(holdersTable, holder)
    const check = { table: holdersTable, key: holder, version: row?.version ?? 0 }
    const writes = row ? [{ table: holdersTable, key: holder, value: null }] : []
    this.#isDeregistered = !row || (await table.commit({ checks: [check], writes })).committed
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
