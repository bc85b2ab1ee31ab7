import { setMaxListeners } from 'node:events'
import { systemClock } from '@bulrushbridge/errors'
import { defaultCallTimeoutMs } from './http-table-service.js'
import { StoreError } from './store-error.js'
import type { CallOptions, Check, CommitResult, Transaction } from './table-service.js'
import { transactionBytes } from './transaction-size.js'
import { wait, type WaitingClock } from './wait.js'

/** Commits transactions: a table service, or a group committer in front of one. */
export interface Committer {
  commit(tx: Transaction, opts?: CallOptions): Promise<CommitResult>
}

/** A {@link Committer} that combines transactions. */
export interface GroupCommitter extends Committer {
  /** Commits the transactions that are waiting and refuses new ones. */
  close(): Promise<void>
}

/** Options of {@link createGroupCommitter}. */
export interface GroupCommitterOptions {
  table: Committer
  /** How long the first transaction of a group waits for others, in milliseconds. */
  windowMs: number
  /** Number of writes at which a group is committed before its window ends. */
  maxRows: number
  /** Most bytes of a group of several transactions; without it, only their writes are counted. */
  maxBytes?: number
  clock?: WaitingClock
}

/** A transaction that waits for its result. */
interface PendingTransaction {
  tx: Transaction
  bytes: number
  deadline: number
  resolve: (result: CommitResult) => void
  reject: (err: unknown) => void
}

/**
 * Combines independent transactions that arrive within a time window into one. Each caller gets its
 * own result: when checks fail, only the transactions with these checks fail, and the others are
 * retried. Transactions of which one writes a row that the other checks or writes go into different
 * groups.
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
  readonly #openGroups: TransactionGroup[] = []
  readonly #pendingSends = new Set<Promise<void>>()
  #isClosed = false

  constructor(opts: GroupCommitterOptions) {
    this.#opts = opts
    this.#clock = opts.clock ?? systemClock
  }

  async commit(tx: Transaction, opts: CallOptions = {}): Promise<CommitResult> {
    if (this.#isClosed) throw new StoreError('the group committer is closed')
    const deadline = opts.deadline ?? this.#clock.now() + defaultCallTimeoutMs
    const bytes = this.#opts.maxBytes === undefined ? 0 : transactionBytes(tx)
    return new Promise((resolve, reject) => {
      this.#groupFor(tx, bytes).add({ tx, bytes, deadline, resolve, reject })
    })
  }

  async close(): Promise<void> {
    this.#isClosed = true
    for (const group of this.#openGroups) group.sendEarly.abort()
    while (this.#pendingSends.size > 0) await Promise.all(this.#pendingSends)
  }

  #groupFor(tx: Transaction, bytes: number): TransactionGroup {
    for (const group of this.#openGroups) if (group.canAdd(tx, bytes)) return group
    const group = new TransactionGroup(this.#opts)
    this.#openGroups.push(group)
    const sending = this.#send(group).finally(() => this.#pendingSends.delete(sending))
    this.#pendingSends.add(sending)
    return group
  }

  async #send(group: TransactionGroup): Promise<void> {
    await wait(this.#clock, this.#opts.windowMs, group.sendEarly.signal)
    this.#openGroups.splice(this.#openGroups.indexOf(group), 1)
    let remaining = group.transactions
    while (remaining.length > 0) remaining = await this.#commitTogether(remaining)
  }

  /** Commits the transactions as one; returns those to retry without the ones that have failed. */
  async #commitTogether(transactions: PendingTransaction[]): Promise<PendingTransaction[]> {
    const now = this.#clock.now()
    const inTime = transactions.filter(pending => pending.deadline > now)
    const expired = transactions.filter(pending => pending.deadline <= now)
    for (const pending of expired) pending.reject(new StoreError('the transaction deadline passed'))
    if (inTime.length === 0) return []
    // A transaction with an early deadline must not cut off the others, so the latest one counts.
    const deadline = Math.max(...inTime.map(pending => pending.deadline))
    const done = new AbortController()
    // Each transaction with an earlier deadline adds a listener, so the default limit is lifted.
    setMaxListeners(0, done.signal)
    for (const pending of inTime) {
      if (pending.deadline < deadline) void this.#rejectAtDeadline(pending, done.signal)
    }
    try {
      const result = await this.#opts.table.commit(
        {
          checks: uniqueChecks(inTime.flatMap(pending => pending.tx.checks)),
          writes: inTime.flatMap(pending => pending.tx.writes),
        },
        { deadline },
      )
      if (result.committed) {
        for (const pending of inTime) pending.resolve({ committed: true })
        return []
      }
      return resolveFailed(inTime, result.failed)
    } catch (err) {
      if (err instanceof StoreError && err.isRejected && inTime.length > 1) {
        // One transaction that the table refuses for ever must not take the others with it.
        for (const pending of inTime) await this.#commitTogether([pending])
        return []
      }
      for (const pending of inTime) pending.reject(err)
      return []
    } finally {
      done.abort()
    }
  }

  /** Rejects a transaction at its own deadline while its group is still being committed. */
  async #rejectAtDeadline(pending: PendingTransaction, done: AbortSignal): Promise<void> {
    await wait(this.#clock, pending.deadline - this.#clock.now(), done)
    if (done.aborted) return
    pending.reject(
      new StoreError('the result of the transaction is unknown', { isResultKnown: false }),
    )
  }
}

/** Transactions that wait to be committed as one. */
class TransactionGroup {
  readonly transactions: PendingTransaction[] = []
  /** Aborted to commit the group before its window ends. */
  readonly sendEarly = new AbortController()
  readonly #opts: Pick<GroupCommitterOptions, 'maxRows' | 'maxBytes'>
  readonly #writtenRows = new Set<string>()
  readonly #checkedRows = new Set<string>()
  #writeCount = 0
  #bytes = 0

  constructor(opts: Pick<GroupCommitterOptions, 'maxRows' | 'maxBytes'>) {
    this.#opts = opts
  }

  /** Transactions of a group must not depend on each other, or their results would change. */
  canAdd(tx: Transaction, bytes: number): boolean {
    const { maxRows, maxBytes = Number.POSITIVE_INFINITY } = this.#opts
    if (this.sendEarly.signal.aborted || this.#writeCount + tx.writes.length > maxRows) return false
    if (this.#bytes + bytes > maxBytes) return false
    const isWritten = tx.checks.some(check => this.#writtenRows.has(rowId(check)))
    if (isWritten) return false
    return !tx.writes.some(write => {
      const row = rowId(write)
      return this.#writtenRows.has(row) || this.#checkedRows.has(row)
    })
  }

  add(pending: PendingTransaction): void {
    this.transactions.push(pending)
    this.#writeCount += pending.tx.writes.length
    this.#bytes += pending.bytes
    for (const check of pending.tx.checks) this.#checkedRows.add(rowId(check))
    for (const write of pending.tx.writes) this.#writtenRows.add(rowId(write))
    if (this.#writeCount >= this.#opts.maxRows) this.sendEarly.abort()
  }
}

/** Resolves the transactions that have failed checks; returns the others. */
function resolveFailed(transactions: PendingTransaction[], failed: Check[]): PendingTransaction[] {
  const failedIds = new Set(failed.map(checkId))
  const others: PendingTransaction[] = []
  for (const pending of transactions) {
    const ownFailed = pending.tx.checks.filter(check => failedIds.has(checkId(check)))
    if (ownFailed.length === 0) others.push(pending)
    else pending.resolve({ committed: false, failed: ownFailed })
  }
  if (others.length < transactions.length) return others
  // The same transactions would be retried endlessly.
  const err = new StoreError('the failed checks belong to no transaction of the group')
  for (const pending of transactions) pending.reject(err)
  return []
}

function uniqueChecks(checks: Check[]): Check[] {
  return [...new Map(checks.map(check => [checkId(check), check])).values()]
}

const rowId = (row: { table: string; key: string }) => JSON.stringify([row.table, row.key])
const checkId = (check: Check) => JSON.stringify([check.table, check.key, check.version])
