import { setMaxListeners } from 'node:events'
import { systemClock } from '@bulrushbridge/errors'
import { defaultCallMs } from './http-table-service.js'
import { StoreError } from './store-error.js'
import type { CallOptions, Check, CommitResult, Transaction } from './table-service.js'
import { wait, type WaitingClock } from './wait.js'

/** What commits transactions: a table service or a group committer in front of it. */
export interface Committer {
  commit(tx: Transaction, opts?: CallOptions): Promise<CommitResult>
}

/** A {@link Committer} that joins transactions; `close` commits what waits. */
export interface GroupCommitter extends Committer {
  close(): Promise<void>
}

/** Options of {@link createGroupCommitter}. */
export interface GroupCommitterOptions {
  table: Committer
  /** How long the first transaction of a group waits for others, in milliseconds. */
  windowMs: number
  /** A group is sent early when it holds this many writes. */
  maxRows: number
  clock?: WaitingClock
}

interface Member {
  tx: Transaction
  deadline: number
  resolve: (result: CommitResult) => void
  reject: (err: unknown) => void
}

/**
 * Joins independent transactions that arrive within a window into one. Each caller gets its own
 * result: when checks fail, only the members that hold them are refused, the others are retried.
 * Transactions that touch a row which another member writes go into different groups.
 *
 * @example
 * const committer = createGroupCommitter({ table, windowMs: 5, maxRows: 200 })
 * const result = await committer.commit({ checks, writes })
 */
export function createGroupCommitter(opts: GroupCommitterOptions): GroupCommitter {
  return new WindowedCommitter(opts)
}

class WindowedCommitter implements GroupCommitter {
  readonly #opts: GroupCommitterOptions
  readonly #clock: WaitingClock
  readonly #open: Group[] = []
  readonly #sending = new Set<Promise<void>>()
  #isClosed = false

  constructor(opts: GroupCommitterOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
  }

  async commit(tx: Transaction, opts: CallOptions = {}): Promise<CommitResult> {
    if (this.#isClosed) throw new StoreError('the committer is closed')
    const deadline = opts.deadline ?? this.#clock.now() + defaultCallMs
    return new Promise((resolve, reject) => {
      this.#groupFor(tx).add({ tx, deadline, resolve, reject })
    })
  }

  async close(): Promise<void> {
    this.#isClosed = true
    for (const group of this.#open) group.full.abort()
    while (this.#sending.size > 0) await Promise.all(this.#sending)
  }

  #groupFor(tx: Transaction): Group {
    for (const group of this.#open) if (group.accepts(tx, this.#opts.maxRows)) return group
    const group = new Group(this.#opts.maxRows)
    this.#open.push(group)
    const sending = this.#send(group).finally(() => this.#sending.delete(sending))
    this.#sending.add(sending)
    return group
  }

  async #send(group: Group): Promise<void> {
    await wait(this.#clock, this.#opts.windowMs, group.full.signal)
    this.#open.splice(this.#open.indexOf(group), 1)
    let members = group.members
    while (members.length > 0) members = await this.#attempt(members)
  }

  /** Commits the members together; returns those to retry without the refused ones. */
  async #attempt(members: Member[]): Promise<Member[]> {
    const now = this.#clock.now()
    const timely = members.filter(member => member.deadline > now)
    const late = members.filter(member => member.deadline <= now)
    for (const member of late) member.reject(new StoreError('the deadline passed'))
    if (timely.length === 0) return []
    // A member with little time left must not cost the others their result.
    const deadline = Math.max(...timely.map(member => member.deadline))
    const done = new AbortController()
    // One listener per member with an earlier deadline.
    setMaxListeners(0, done.signal)
    for (const member of timely) {
      if (member.deadline < deadline) void this.#rejectLate(member, done.signal)
    }
    try {
      const result = await this.#opts.table.commit(
        {
          checks: unique(timely.flatMap(member => member.tx.checks)),
          writes: timely.flatMap(member => member.tx.writes),
        },
        { deadline },
      )
      if (result.committed) {
        for (const member of timely) member.resolve({ committed: true })
        return []
      }
      return refuse(timely, result.failed)
    } catch (err) {
      for (const member of timely) member.reject(err)
      return []
    } finally {
      done.abort()
    }
  }

  /** Answers a member at its own deadline while its group is still being committed. */
  async #rejectLate(member: Member, done: AbortSignal): Promise<void> {
    await wait(this.#clock, member.deadline - this.#clock.now(), done)
    if (done.aborted) return
    member.reject(new StoreError('the result of the transaction is unknown', { settled: false }))
  }
}

/** Transactions that wait to be sent together. */
class Group {
  readonly members: Member[] = []
  /** Aborted when the group is to be sent before its window ends. */
  readonly full = new AbortController()
  readonly #maxRows: number
  readonly #written = new Set<string>()
  readonly #checked = new Set<string>()
  #rows = 0

  constructor(maxRows: number) {
    this.#maxRows = maxRows
  }

  /** Members must not depend on each other, or joining them would change their results. */
  accepts(tx: Transaction, maxRows: number): boolean {
    if (this.full.signal.aborted || this.#rows + tx.writes.length > maxRows) return false
    const isWritten = tx.checks.some(check => this.#written.has(rowName(check)))
    if (isWritten) return false
    return !tx.writes.some(write => {
      const row = rowName(write)
      return this.#written.has(row) || this.#checked.has(row)
    })
  }

  add(member: Member): void {
    this.members.push(member)
    this.#rows += member.tx.writes.length
    for (const check of member.tx.checks) this.#checked.add(rowName(check))
    for (const write of member.tx.writes) this.#written.add(rowName(write))
    if (this.#rows >= this.#maxRows) this.full.abort()
  }
}

/** Answers the members with failed checks; returns the others. */
function refuse(members: Member[], failed: Check[]): Member[] {
  const names = new Set(failed.map(checkName))
  const others: Member[] = []
  for (const member of members) {
    const own = member.tx.checks.filter(check => names.has(checkName(check)))
    if (own.length === 0) others.push(member)
    else member.resolve({ committed: false, failed: own })
  }
  if (others.length < members.length) return others
  // Without progress a retry would repeat itself for ever.
  const err = new StoreError('the failed checks belong to no member of the group')
  for (const member of members) member.reject(err)
  return []
}

function unique(checks: Check[]): Check[] {
  return [...new Map(checks.map(check => [checkName(check), check])).values()]
}

const rowName = (row: { table: string; key: string }) => JSON.stringify([row.table, row.key])
const checkName = (check: Check) => JSON.stringify([check.table, check.key, check.version])
