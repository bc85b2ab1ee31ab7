import {
  StoreError,
  type ChangedRow,
  type ChangesOptions,
  type CommitResult,
  type FollowedTableService,
  type Row,
  type ScanOptions,
  type TableSnapshot,
  type Transaction,
} from '@bulrushbridge/store'

/** What the store does to the next transactions. */
export type StoreFault = 'none' | 'refuse' | 'lose-before' | 'lose-after' | 'late'

/** A platform's store in memory, with a switch for each fault. */
export interface MemoryStore extends FollowedTableService {
  /** Fault of all transactions from now on. */
  fault: StoreFault
  /** Carries out the transactions that `late` has kept, as far as their checks still hold. */
  runLate(): CommitResult[]
  /** Drops the history: followers must start again. */
  compact(): void
  readonly commits: number
}

interface StoredRow {
  value: unknown
  version: number
  isDeleted: boolean
}

/**
 * Creates a store in memory.
 *
 * @example
 * const store = createMemoryStore()
 * store.fault = 'lose-after'
 */
export function createMemoryStore(): MemoryStore {
  return new Memory()
}

class Memory implements MemoryStore {
  fault: StoreFault = 'none'
  commits = 0
  readonly #rows = new Map<string, StoredRow>()
  readonly #late: { tx: Transaction; part: string }[] = []
  readonly #waiting = new Set<() => void>()
  #version = 0
  #oldest = 0

  read<T>(table: string, key: string, opts: { part?: string } = {}): Promise<Row<T> | undefined> {
    const row = this.#rows.get(nameOf(table, opts.part ?? '', key))
    const isThere = row !== undefined && !row.isDeleted
    return Promise.resolve(
      isThere ? { key, version: row.version, value: row.value as T } : undefined,
    )
  }

  scan<T>(table: string, opts: ScanOptions = {}): Promise<Row<T>[]> {
    const rows = this.#rowsOf(table, [opts.part ?? ''])
      .filter(({ key }) => key >= (opts.from ?? '') && (opts.to === undefined || key < opts.to))
      .slice(0, opts.limit)
    return Promise.resolve(rows as Row<T>[])
  }

  snapshot(table: string, parts: readonly string[]): Promise<TableSnapshot> {
    return Promise.resolve({ rows: this.#rowsOf(table, parts), version: this.#version })
  }

  async changes(table: string, opts: ChangesOptions): Promise<TableSnapshot | undefined> {
    if (opts.after < this.#oldest) return undefined
    if (this.#changed(table, opts.after).length === 0) await this.#waitForChange(opts)
    const rows = this.#changed(table, opts.after)
    return { rows, version: this.#version }
  }

  commit(tx: Transaction, opts: { part?: string } = {}): Promise<CommitResult> {
    const part = opts.part ?? ''
    this.commits += 1
    return faults[this.fault](
      () => this.#apply(tx, part),
      () => this.#late.push({ tx, part }),
    )
  }

  runLate(): CommitResult[] {
    return this.#late.splice(0).map(({ tx, part }) => this.#apply(tx, part))
  }

  compact(): void {
    this.#oldest = this.#version + 1
    this.#version += 1
  }

  close(): Promise<void> {
    return Promise.resolve()
  }

  #apply(tx: Transaction, part: string): CommitResult {
    const failed = tx.checks.filter(check => {
      const row = this.#rows.get(nameOf(check.table, check.part ?? part, check.key))
      return (row === undefined || row.isDeleted ? 0 : row.version) !== check.version
    })
    if (failed.length > 0) return { committed: false, failed }
    this.#version += 1
    for (const { table, key, value, part: own } of tx.writes) {
      const stored = { value: structuredClone(value), version: this.#version }
      this.#rows.set(nameOf(table, own ?? part, key), { ...stored, isDeleted: value === null })
    }
    for (const wake of this.#waiting) wake()
    return { committed: true, version: this.#version }
  }

  #rowsOf(table: string, parts: readonly string[]): ChangedRow[] {
    return this.#changed(table, -1).filter(
      ({ part, isDeleted }) => parts.includes(part) && !isDeleted,
    )
  }

  #changed(table: string, after: number): ChangedRow[] {
    const found: ChangedRow[] = []
    for (const [name, row] of this.#rows) {
      const [rowTable, part = '', key = ''] = JSON.parse(name) as string[]
      if (rowTable !== table || row.version <= after) continue
      found.push({
        key,
        part,
        value: structuredClone(row.value),
        version: row.version,
        isDeleted: row.isDeleted,
      })
    }
    return found.sort((a, b) => (a.key < b.key ? -1 : 1))
  }

  #waitForChange({ waitMs, signal }: ChangesOptions): Promise<void> {
    return new Promise(resolve => {
      const end = () => {
        clearTimeout(timer)
        this.#waiting.delete(end)
        signal?.removeEventListener('abort', end)
        resolve()
      }
      const timer = setTimeout(end, waitMs)
      this.#waiting.add(end)
      signal?.addEventListener('abort', end)
    })
  }
}

const faults: Record<
  StoreFault,
  (apply: () => CommitResult, keep: () => void) => Promise<CommitResult>
> = {
  none: apply => Promise.resolve(apply()),
  refuse: () => Promise.reject(new StoreError('the store answered 503')),
  'lose-before': () => Promise.reject(new StoreError('no answer', { settled: false })),
  'lose-after': apply => {
    apply()
    return Promise.reject(new StoreError('no answer', { settled: false }))
  },
  late: (_apply, keep) => {
    keep()
    return Promise.reject(new StoreError('no answer', { settled: false }))
  },
}

function nameOf(table: string, part: string, key: string): string {
  return JSON.stringify([table, part, key])
}
