import {
  readLedger,
  replaceRow,
  unallocated,
  withLimit,
  withoutHolder,
  type LedgerEntry,
  type LedgerRow,
} from './ledger.js'
import type { TeamAccount } from './team-account.js'
import { TaskWishes } from './task-wishes.js'
import type { PermitContext } from './team-permits.js'

/** Pause between two transactions of a team, doubled at random, in milliseconds. */
const syncPauseMs = 300

/** Pause when only the division among members is not reached, in milliseconds. */
const divisionPauseMs = 1_000

/** Permits beyond the own division are given up when nothing needed them for this long. */
const surplusMs = 2_000

interface TeamSync {
  busy: boolean
  nextAt: number
  /** Since when permits have been surplus. */
  surplusSince: number
  /** Entry that this incarnation committed last. */
  entry: LedgerEntry | undefined
}

/** Keeps the ledger in step with an entry host's needs. */
export class LedgerSync {
  readonly #ctx: PermitContext
  readonly #onReclaimed: () => void
  readonly #syncs = new Map<string, TeamSync>()
  readonly #wishes: TaskWishes

  constructor(ctx: PermitContext, onReclaimed: () => void) {
    this.#ctx = ctx
    this.#onReclaimed = onReclaimed
    this.#wishes = new TaskWishes(ctx.table, () => {
      this.wake()
    })
  }

  /** Makes all teams due. */
  wake(): void {
    for (const sync of this.#syncs.values()) sync.nextAt = -Infinity
  }

  tick(now: number): void {
    const { accounts, rng, log, closing } = this.#ctx
    if (!this.#ctx.isConfirmed() && !closing) return
    this.#wishes.tick(now)
    for (const [team, account] of accounts) {
      const sync = this.#syncOf(team, now)
      const target = this.#target(team, account, sync, now)
      if (sync.busy || now < sync.nextAt || !this.#isDue(account, sync, target)) continue
      sync.busy = true
      const isUrgent = account.demand(now) > 0 || target <= account.own
      sync.nextAt = now + (isUrgent ? syncPauseMs : divisionPauseMs) * (1 + rng())
      this.#sync(team, account, sync, target)
        .catch((err: unknown) => {
          log('ledger-failed', { team, err: String(err) })
        })
        .finally(() => {
          sync.busy = false
        })
    }
  }

  #isDue(account: TeamAccount, sync: TeamSync, target: number): boolean {
    const { entry } = sync
    if (!entry) return target > 0
    if (this.#ctx.closing && account.owed() === 0) return true
    if (target !== account.own || entry.held !== account.own) return true
    return (
      entry.limit !== account.basis() || (entry.owed > entry.held && entry.owed > account.owed())
    )
  }

  /** Number of own permits that this entry host should have. */
  #target(team: string, account: TeamAccount, sync: TeamSync, now: number): number {
    const { members, member, closing } = this.#ctx
    const owed = account.owed()
    if (closing) return Math.min(account.own, owed)
    const ids = [...members.keys()].sort()
    // What tasks use or want is left out of the division: idle permits here would starve them.
    const wished = this.#wishes.total(team)
    const divided = Math.max(0, account.limit - wished)
    const extra = ids.indexOf(member) < divided % ids.length ? 1 : 0
    const division = Math.floor(divided / ids.length) + extra
    const keep = Math.max(division, owed + account.demand(now))
    if (account.own <= keep) sync.surplusSince = now
    const keepsSurplus = wished === 0 && now - sync.surplusSince < surplusMs
    return account.own > keep && keepsSurplus ? account.own : keep
  }

  async #sync(team: string, account: TeamAccount, sync: TeamSync, target: number): Promise<void> {
    const { table, holder, version, incarnation, closing } = this.#ctx
    const read = await readLedger(table, team)
    if (read && read.value.limitVersion > this.#ctx.version) return
    const previous = read?.value.holders[holder]
    const entries = Object.entries(read?.value.holders ?? {})
    account.owners = entries.filter(([, entry]) => entry.held > 0).map(([id]) => id)
    if (sync.entry && sync.entry.held > 0 && !previous) {
      this.#onReclaimed()
      return
    }
    // The configuration may have changed during the read.
    if (version !== this.#ctx.version) return
    const row = withoutHolder(withLimit(read?.value, account.limit, version), holder)
    const { lowered } = account
    const basis = account.basis()
    // While loans of a lower limit are out, the entry refers to that limit and must not grow.
    const room = basis < account.limit ? 0 : Math.min(unallocated(row), nominalRoom(row))
    const bound = Math.min(account.own, account.owed())
    const held = Math.max(bound, Math.min(target, Math.max(account.own, room)))
    // Permits are given up here before the ledger can offer them to others.
    account.own = Math.min(account.own, held)
    const entry: LedgerEntry = {
      count: Math.min(held, nominalRoom(row)),
      incarnation,
      held,
      limit: basis,
      owed: account.owed(),
    }
    const isGivenUp = closing && held === 0 && entry.owed === 0
    const holders = isGivenUp ? row.holders : { ...row.holders, [holder]: entry }
    const isSame =
      read && previous && sameEntry(previous, entry) && read.value.limit === account.limit
    // A gain counts only by an own commit: an earlier one with unknown result may still take effect.
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
    // A limit lowered meanwhile has scaled `own`, and the gain would have to be scaled as well.
    if (account.lowered !== lowered) return
    const gained = held > account.own
    account.own = held
    if (gained) this.#ctx.freed(team)
  }

  #syncOf(team: string, now: number): TeamSync {
    const sync = this.#syncs.get(team) ?? {
      busy: false,
      nextAt: -Infinity,
      surplusSince: now,
      entry: undefined,
    }
    this.#syncs.set(team, sync)
    return sync
  }
}

/** Permits by which the counts of a row stay below its limit. */
function nominalRoom(row: LedgerRow): number {
  const counts = Object.values(row.holders).reduce((sum, entry) => sum + entry.count, 0)
  return Math.max(0, row.limit - counts)
}

function sameEntry(a: LedgerEntry, b: LedgerEntry): boolean {
  return a.count === b.count && a.held === b.held && a.limit === b.limit && a.owed === b.owed
}
