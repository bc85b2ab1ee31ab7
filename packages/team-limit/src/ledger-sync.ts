import {
  readLedger,
  replaceRow,
  countUnallocated,
  withLimit,
  withoutHolder,
  type LedgerEntry,
  type LedgerRow,
} from './ledger.js'
import type { TeamAccount } from './team-account.js'
import { TaskDemand } from './task-demand.js'
import type { PermitContext } from './team-permits.js'

/**
 * Shortest pause between two transactions of a team, in milliseconds. A random part makes it up to
 * twice as long.
 */
const syncPauseMs = 300

/** The same pause when the only aim is to reach this entry host's even share, in milliseconds. */
const evenSharePauseMs = 1_000

/**
 * Time after which permits beyond the even share are given up when nothing needs them, in
 * milliseconds.
 */
const surplusKeptMs = 2_000

interface TeamSync {
  isBusy: boolean
  nextAt: number
  /** Time since which this entry host has had more permits than it needs. */
  surplusSince: number
  /** Last entry that this incarnation committed. */
  entry: LedgerEntry | undefined
}

/** Adjusts the ledger entries of one entry host to the permits that it needs. */
export class LedgerSync {
  readonly #ctx: PermitContext
  readonly #onReclaimed: () => void
  readonly #syncs = new Map<string, TeamSync>()
  readonly #taskDemand: TaskDemand

  constructor(ctx: PermitContext, onReclaimed: () => void) {
    this.#ctx = ctx
    this.#onReclaimed = onReclaimed
    this.#taskDemand = new TaskDemand(ctx.table, () => {
      this.makeAllDue()
    })
  }

  /** Makes the ledger entries of all teams due at the next tick. */
  makeAllDue(): void {
    for (const sync of this.#syncs.values()) sync.nextAt = -Infinity
  }

  tick(now: number): void {
    const { accounts, rng, log, isClosing } = this.#ctx
    if (!this.#ctx.isConfirmed() && !isClosing) return
    this.#taskDemand.tick(now)
    for (const [team, account] of accounts) {
      const sync = this.#syncOf(team, now)
      const target = this.#target(team, account, sync, now)
      if (sync.isBusy || now < sync.nextAt || !this.#isDue(account, sync, target)) continue
      sync.isBusy = true
      const isUrgent = account.demand(now) > 0 || target <= account.own
      sync.nextAt = now + (isUrgent ? syncPauseMs : evenSharePauseMs) * (1 + rng())
      this.#sync(team, account, sync, target)
        .catch((err: unknown) => {
          log('ledger-failed', { team, err: String(err) })
        })
        .finally(() => {
          sync.isBusy = false
        })
    }
  }

  #isDue(account: TeamAccount, sync: TeamSync, target: number): boolean {
    const { entry } = sync
    if (!entry) return target > 0
    if (this.#ctx.isClosing && account.owed() === 0) return true
    if (target !== account.own || entry.held !== account.own) return true
    return (
      entry.limit !== account.ledgerLimit() ||
      (entry.owed > entry.held && entry.owed > account.owed())
    )
  }

  /** Returns the number of permits that this entry host should have in the ledger. */
  #target(team: string, account: TeamAccount, sync: TeamSync, now: number): number {
    const { members, member, isClosing } = this.#ctx
    const owed = account.owed()
    if (isClosing) return Math.min(account.own, owed)
    const ids = [...members.keys()].sort()
    // Permits that tasks use or need are not divided among entry hosts, because idle permits here
    // would keep the tasks from starting.
    const taskDemand = this.#taskDemand.total(team)
    const divisible = Math.max(0, account.limit - taskDemand)
    const remainderPart = ids.indexOf(member) < divisible % ids.length ? 1 : 0
    const evenShare = Math.floor(divisible / ids.length) + remainderPart
    const needed = Math.max(evenShare, owed + account.demand(now))
    if (account.own <= needed) sync.surplusSince = now
    const keepsSurplus = taskDemand === 0 && now - sync.surplusSince < surplusKeptMs
    return account.own > needed && keepsSurplus ? account.own : needed
  }

  async #sync(team: string, account: TeamAccount, sync: TeamSync, target: number): Promise<void> {
    const { table, holder, version, incarnation, isClosing } = this.#ctx
    const read = await readLedger(table, team)
    if (read && read.value.limitVersion > this.#ctx.version) return
    const previous = read?.value.holders[holder]
    const entries = Object.entries(read?.value.holders ?? {})
    account.ledgerHolders = entries.filter(([, entry]) => entry.held > 0).map(([id]) => id)
    if (sync.entry && sync.entry.held > 0 && !previous) {
      this.#onReclaimed()
      return
    }
    // The configuration may have changed during the read.
    if (version !== this.#ctx.version) return
    const row = withoutHolder(withLimit(read?.value, account.limit, version), holder)
    const { limitReductions } = account
    const ledgerLimit = account.ledgerLimit()
    // While loans granted at a lower limit exist, the entry refers to that limit and must not grow.
    const available =
      ledgerLimit < account.limit ? 0 : Math.min(countUnallocated(row), uncountedPermits(row))
    const occupied = Math.min(account.own, account.owed())
    const held = Math.max(occupied, Math.min(target, Math.max(account.own, available)))
    // Permits are given up here before the commit makes them available to other holders.
    account.own = Math.min(account.own, held)
    const entry: LedgerEntry = {
      count: Math.min(held, uncountedPermits(row)),
      incarnation,
      held,
      limit: ledgerLimit,
      owed: account.owed(),
    }
    const isGivenUp = isClosing && held === 0 && entry.owed === 0
    const holders = isGivenUp ? row.holders : { ...row.holders, [holder]: entry }
    const isSame =
      read && previous && isSameEntry(previous, entry) && read.value.limit === account.limit
    // New permits count only after a commit of this call. An earlier commit with an unknown result
    // may still take effect.
    if (isSame && held === account.own && !isGivenUp) {
      sync.entry = entry
      return
    }
    const result = await table.commit(replaceRow(team, read, { ...row, holders }))
    if (!result.committed) {
      sync.nextAt = Math.min(sync.nextAt, this.#ctx.clock.now() + 20 + 80 * this.#ctx.rng())
      return
    }
    sync.entry = isGivenUp ? undefined : entry
    // If the limit was lowered during the commit, `own` was scaled down, but `held` was not.
    if (account.limitReductions !== limitReductions) return
    const hasGained = held > account.own
    account.own = held
    if (hasGained) this.#ctx.notifyFree(team)
  }

  #syncOf(team: string, now: number): TeamSync {
    const sync = this.#syncs.get(team) ?? {
      isBusy: false,
      nextAt: -Infinity,
      surplusSince: now,
      entry: undefined,
    }
    this.#syncs.set(team, sync)
    return sync
  }
}

/** Returns the part of a row's limit that no holder's `count` uses. */
function uncountedPermits(row: LedgerRow): number {
  const counts = Object.values(row.holders).reduce((sum, entry) => sum + entry.count, 0)
  return Math.max(0, row.limit - counts)
}

function isSameEntry(a: LedgerEntry, b: LedgerEntry): boolean {
  return a.count === b.count && a.held === b.held && a.limit === b.limit && a.owed === b.owed
}
