import {
  StoreError,
  type ChangedRow,
  type ChangesOptions,
  type CommitResult,
  type FollowableTableService,
  type Row,
  type ScanOptions,
  type TableSnapshot,
  type Transaction,
} from '@bulrushbridge/store'

/**
 * Fault of a store in memory.
 *
 * - `refuse`: transactions are rejected.
 * - `lose-before`: transactions do not reach the store and get no response.
 * - `lose-after`: transactions are applied and their responses are lost.
 * - `late`: transactions are kept until {@link MemoryStore.applyDelayed} and get no response.
 */
export type StoreFault = 'none' | 'refuse' | 'lose-before' | 'lose-after' | 'late'

/** Limits of the platform's store: bytes of a value and of a call, and entries of a transaction. */
const maxRowBytes = 65_536
const maxCallBytes = 1_000_000
const maxEntries = 100

/** Most bytes of the table, the part or the key of a row. */
const maxNameBytes = 200

/** The platform's table store in memory, with its limits and with fault injection. */
export interface MemoryStore extends FollowableTableService {
  /** Fault that applies to the transactions from now on. */
  fault: StoreFault
  /** Applies the transactions that the fault `late` has delayed, if their checks still hold. */
  applyDelayed(): CommitResult[]
  /** Discards the history of changes, so that followers must read a new snapshot. */
  compact(): void
  /** Number of calls of `commit`, failed ones included. */
  readonly commitCalls: number
  /** Number of transactions that were refused because they exceed a limit of the store. */
  readonly rejectedCalls: number
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
  return new InMemoryStore()
}

class InMemoryStore implements MemoryStore {
  fault: StoreFault = 'none'
  commitCalls = 0
  rejectedCalls = 0
  readonly #rows = new Map<string, StoredRow>()
  readonly #delayed: { tx: Transaction; part: string }[] = []
  readonly #waiters = new Set<() => void>()
  #version = 0
  #oldestVersion = 0

  read<T>(table: string, key: string, opts: { part?: string } = {}): Promise<Row<T> | undefined> {
    const row = this.#rows.get(rowId(table, opts.part ?? '', key))
    const isPresent = row !== undefined && !row.isDeleted
    return Promise.resolve(
      isPresent ? { key, version: row.version, value: row.value as T } : undefined,
    )
  }

  scan<T>(table: string, opts: ScanOptions = {}): Promise<Row<T>[]> {
    const rows = this.#currentRows(table, [opts.part ?? ''])
      .filter(({ key }) => key >= (opts.from ?? '') && (opts.to === undefined || key < opts.to))
      .slice(0, opts.limit)
    return Promise.resolve(rows as Row<T>[])
  }

  snapshot(table: string, parts: readonly string[]): Promise<TableSnapshot> {
    return Promise.resolve({ rows: this.#currentRows(table, parts), version: this.#version })
  }

  snapshotPages(
    table: string,
    parts: readonly string[],
    onRows: (rows: ChangedRow[]) => void,
  ): Promise<number> {
    for (const part of parts) onRows(this.#currentRows(table, [part]))
    return Promise.resolve(this.#version)
  }

  async changes(table: string, opts: ChangesOptions): Promise<TableSnapshot | undefined> {
    if (opts.after < this.#oldestVersion) return undefined
    if (this.#rowsChangedAfter(table, opts.after).length === 0) await this.#waitForChange(opts)
    const rows = this.#rowsChangedAfter(table, opts.after)
    return { rows, version: this.#version }
  }

  commit(tx: Transaction, opts: { part?: string } = {}): Promise<CommitResult> {
    const part = opts.part ?? ''
    this.commitCalls += 1
    if (exceedsLimit(tx)) {
      this.rejectedCalls += 1
      return Promise.reject(new StoreError('the store answered 400', { isRejected: true }))
    }
    return commitByFault[this.fault](
      () => this.#apply(tx, part),
      () => this.#delayed.push({ tx, part }),
    )
  }

  applyDelayed(): CommitResult[] {
    return this.#delayed.splice(0).map(({ tx, part }) => this.#apply(tx, part))
  }

  compact(): void {
    this.#oldestVersion = this.#version + 1
    this.#version += 1
  }

  close(): Promise<void> {
    return Promise.resolve()
  }

  #apply(tx: Transaction, part: string): CommitResult {
    const failed = tx.checks.filter(check => {
      const row = this.#rows.get(rowId(check.table, check.part ?? part, check.key))
      return (row === undefined || row.isDeleted ? 0 : row.version) !== check.version
    })
    if (failed.length > 0) return { committed: false, failed }
    this.#version += 1
    for (const { table, key, value, part: writePart } of tx.writes) {
      const stored = { value: structuredClone(value), version: this.#version }
      this.#rows.set(rowId(table, writePart ?? part, key), { ...stored, isDeleted: value === null })
    }
    for (const finishWait of this.#waiters) finishWait()
    return { committed: true, version: this.#version }
  }

  #currentRows(table: string, parts: readonly string[]): ChangedRow[] {
    return this.#rowsChangedAfter(table, -1).filter(
      ({ part, isDeleted }) => parts.includes(part) && !isDeleted,
    )
  }

  #rowsChangedAfter(table: string, after: number): ChangedRow[] {
    const changedRows: ChangedRow[] = []
    for (const [id, row] of this.#rows) {
      const [rowTable, part = '', key = ''] = JSON.parse(id) as string[]
      if (rowTable !== table || row.version <= after) continue
      changedRows.push({
        key,
        part,
        value: structuredClone(row.value),
        version: row.version,
        isDeleted: row.isDeleted,
      })
    }
    return changedRows.sort((a, b) => (a.key < b.key ? -1 : 1))
  }

  #waitForChange({ waitMs, signal }: ChangesOptions): Promise<void> {
    return new Promise(resolve => {
      const finishWait = () => {
        clearTimeout(timer)
        this.#waiters.delete(finishWait)
        signal?.removeEventListener('abort', finishWait)
        resolve()
      }
      const timer = setTimeout(finishWait, waitMs)
      this.#waiters.add(finishWait)
      signal?.addEventListener('abort', finishWait)
    })
  }
}

const commitByFault: Record<
  StoreFault,
  (apply: () => CommitResult, delay: () => void) => Promise<CommitResult>
> = {
  none: apply => Promise.resolve(apply()),
  refuse: () => Promise.reject(new StoreError('the store answered 503')),
  'lose-before': () => Promise.reject(new StoreError('no answer', { isResultKnown: false })),
  'lose-after': apply => {
    apply()
    return Promise.reject(new StoreError('no answer', { isResultKnown: false }))
  },
  late: (_apply, delay) => {
    delay()
    return Promise.reject(new StoreError('no answer', { isResultKnown: false }))
  },
}

function exceedsLimit({ checks, writes }: Transaction): boolean {
  // A value that JSON does not know, such as an unreadable one, has no size.
  const values = writes.map(({ value }) => Buffer.byteLength(JSON.stringify(value ?? null)))
  const callBytes = values.reduce((sum, bytes) => sum + (4 * bytes) / 3, 0)
  const names = [...checks, ...writes].flatMap(({ table, part = '', key }) => [table, part, key])
  return (
    checks.length + writes.length > maxEntries ||
    callBytes > maxCallBytes ||
    values.some(bytes => bytes > maxRowBytes) ||
    names.some(name => Buffer.byteLength(name) > maxNameBytes)
  )
}

function rowId(table: string, part: string, key: string): string {
  return JSON.stringify([table, part, key])
}
