import {
  StoreError,
  type Check,
  type CommitResult,
  type Row,
  type ScanOptions,
  type TableService,
  type Transaction,
} from '@bulrushbridge/store'

/** A table service in memory. Each lease holder calls it through its own faults. */
export class MemoryTable {
  readonly #rows = new Map<string, Row>()
  /** Called after each transaction that took effect. */
  onCommit: (tx: Transaction) => void = () => undefined

  /** Returns the rows of a table, sorted by key. */
  listRows<T>(table: string): Row<T>[] {
    return [...this.#rows]
      .filter(([name]) => name.startsWith(`${table}!`))
      .map(([, row]) => row as Row<T>)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
  }

  /** Commits a transaction without faults. */
  commit(tx: Transaction): CommitResult {
    const version = (check: Check) => this.#rows.get(`${check.table}!${check.key}`)?.version ?? 0
    const failed = tx.checks.filter(check => version(check) !== check.version)
    if (failed.length > 0) return { committed: false, failed }
    for (const { table, key, value } of tx.writes) {
      const name = `${table}!${key}`
      const next = (this.#rows.get(name)?.version ?? 0) + 1
      if (value === null) this.#rows.delete(name)
      else this.#rows.set(name, { key, version: next, value: structuredClone(value) })
    }
    this.onCommit(tx)
    return { committed: true }
  }

  /** Creates the table service for one lease holder; its faults may reject or delay each call. */
  service(faults: CallFaults): TableService {
    return {
      read: async <T>(table: string, key: string) => {
        await faults.beforeCall('read')
        return structuredClone(this.#rows.get(`${table}!${key}`)) as Row<T> | undefined
      },
      scan: async <T>(table: string, opts: ScanOptions = {}) => {
        await faults.beforeCall('read')
        const { from = '', to, limit = Infinity } = opts
        const rows = this.listRows<T>(table).filter(({ key }) => key >= from && (!to || key < to))
        return structuredClone(rows.slice(0, limit))
      },
      commit: async tx => {
        await faults.beforeCall('commit')
        const result = this.commit(tx)
        if (result.committed) faults.recordCommit()
        return result
      },
      close: () => Promise.resolve(),
    }
  }
}

/** Faults of one lease holder: its process ends, freezes, or cannot reach the store or platform. */
export class CallFaults {
  /** Number of committed transactions after which the process ends. */
  stopAfterCommits = Infinity
  commitCount = 0
  isStoreDown = false
  /** Whether orders to the platform are lost; its host list can still be read. */
  isLosingOrders = false
  /** How many of the next transactions take effect without the lease holder getting the result. */
  lostCommitResults = 0
  #freezeAt: 'commit' | 'order' | undefined
  #callsToSkip = 0
  #frozen: Promise<void> | undefined
  #resume: () => void = () => undefined

  get isStopped(): boolean {
    return this.commitCount >= this.stopAfterCommits
  }

  get isFrozen(): boolean {
    return this.#frozen !== undefined
  }

  /** Freezes the process immediately before an order or commit, after `callsToSkip` others. */
  freezeBefore(call: 'commit' | 'order', callsToSkip = 0): void {
    this.#freezeAt = call
    this.#callsToSkip = callsToSkip
  }

  /** Ends the freeze, so that the waiting call goes on. */
  resume(): void {
    this.#frozen = undefined
    this.#resume()
  }

  /** Applies the faults that occur before a call: it is rejected, or waits while frozen. */
  async beforeCall(call: 'read' | 'commit' | 'order' | 'list'): Promise<void> {
    if (this.isStopped) throw new Error('the process has ended')
    if (call === this.#freezeAt && this.#callsToSkip-- <= 0) {
      this.#freezeAt = undefined
      this.#frozen = new Promise(resolve => (this.#resume = resolve))
    }
    await this.#frozen
    const isStoreCall = call === 'read' || call === 'commit'
    if (call === 'order' && this.isLosingOrders) throw new Error('the platform does not answer')
    if (isStoreCall && this.isStoreDown) throw new StoreError('the store does not answer')
  }

  /** Counts a commit and applies the faults that occur after it took effect. */
  recordCommit(): void {
    this.commitCount += 1
    if (this.isStopped) throw new Error('the process has ended')
    if (this.lostCommitResults <= 0) return
    this.lostCommitResults -= 1
    throw new StoreError('the result of the commit is unknown', { isResultKnown: false })
  }
}
