import {
  StoreError,
  type Check,
  type CommitResult,
  type Row,
  type ScanOptions,
  type TableService,
  type Transaction,
} from '@bulrushbridge/store'

/** A table service in memory, whose calls one holder makes through its own faults. */
export class MemoryTable {
  readonly #rows = new Map<string, Row>()
  /** Called after each transaction that took effect. */
  onCommit: (tx: Transaction) => void = () => undefined

  all<T>(table: string): Row<T>[] {
    return [...this.#rows]
      .filter(([name]) => name.startsWith(`${table}!`))
      .map(([, row]) => row as Row<T>)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
  }

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

  /** The table as one holder reaches it; `before` runs before each call and may reject or wait. */
  service(faults: CallFaults): TableService {
    return {
      read: async <T>(table: string, key: string) => {
        await faults.before('read')
        return structuredClone(this.#rows.get(`${table}!${key}`)) as Row<T> | undefined
      },
      scan: async <T>(table: string, opts: ScanOptions = {}) => {
        await faults.before('read')
        const { from = '', to, limit = Infinity } = opts
        const rows = this.all<T>(table).filter(({ key }) => key >= from && (!to || key < to))
        return structuredClone(rows.slice(0, limit))
      },
      commit: async tx => {
        await faults.before('commit')
        const result = this.commit(tx)
        if (result.committed) faults.committed()
        return result
      },
      close: () => Promise.resolve(),
    }
  }
}

/** Faults of one holder: its process ends, stands still, or does not reach the store. */
export class CallFaults {
  /** Transactions after which the process ends. */
  stopAfter = Infinity
  commits = 0
  isDown = false
  /** Orders to the platform do not arrive. */
  ordersLost = false
  /** The next answers of transactions that are lost after they took effect, without a result. */
  loseAnswers = 0
  #freezeAt: 'commit' | 'order' | undefined
  #skip = 0
  #frozen: Promise<void> | undefined
  #thaw: () => void = () => undefined

  get isStopped(): boolean {
    return this.commits >= this.stopAfter
  }

  get isFrozen(): boolean {
    return this.#frozen !== undefined
  }

  /** The process stands still immediately before an order or transaction, after `skip` others. */
  freezeBefore(call: 'commit' | 'order', skip = 0): void {
    this.#freezeAt = call
    this.#skip = skip
  }

  thaw(): void {
    this.#frozen = undefined
    this.#thaw()
  }

  async before(call: 'read' | 'commit' | 'order' | 'list'): Promise<void> {
    if (this.isStopped) throw new Error('the process has ended')
    if (call === this.#freezeAt && this.#skip-- <= 0) {
      this.#freezeAt = undefined
      this.#frozen = new Promise(resolve => (this.#thaw = resolve))
    }
    await this.#frozen
    const isStoreCall = call === 'read' || call === 'commit'
    if (call === 'order' && this.ordersLost) throw new Error('the platform does not answer')
    if (isStoreCall && this.isDown) throw new StoreError('the storage does not answer')
  }

  committed(): void {
    this.commits += 1
    if (this.isStopped) throw new Error('the process has ended')
    if (this.loseAnswers <= 0) return
    this.loseAnswers -= 1
    throw new StoreError('the result is unknown', { isResultKnown: false })
  }
}
