/** Options of one call to the platform's storage. */
export interface CallOptions {
  /** When to give up, in milliseconds of the client's clock. */
  deadline?: number
  /** Part of the table, where the service divides tables; the part without a name by default. */
  part?: string
}

/** A stored row. `version` rises with each write of the key, from 1. */
export interface Row<T = unknown> {
  key: string
  version: number
  value: T
}

/** A condition of a transaction: the row has this version; 0 means that it does not exist. */
export interface Check {
  table: string
  part?: string
  key: string
  version: number
}

/** A write of a transaction; the value `null` deletes the row. */
export interface Write {
  table: string
  part?: string
  key: string
  value: unknown
}

/** Checks and writes that take effect together or not at all. */
export interface Transaction {
  checks: Check[]
  writes: Write[]
}

/**
 * The result of a transaction; `version` is that of the rows it wrote, where the service tells it.
 * `failed` lists the checks that did not hold.
 */
export type CommitResult =
  { committed: true; version?: number } | { committed: false; failed: Check[] }

/** Options of {@link TableService.scan}; `from` is inclusive, `to` exclusive. */
export interface ScanOptions extends CallOptions {
  from?: string
  to?: string
  limit?: number
}

/**
 * The platform's transactional table service.
 *
 * Every method rejects with a {@link StoreError} when the service does not answer by the deadline.
 */
export interface TableService {
  read<T>(table: string, key: string, opts?: CallOptions): Promise<Row<T> | undefined>
  /** Rows in key order. */
  scan<T>(table: string, opts?: ScanOptions): Promise<Row<T>[]>
  /** Commits, and settles a lost answer by reading back the transaction's own token. */
  commit(tx: Transaction, opts?: CallOptions): Promise<CommitResult>
  close(): Promise<void>
}

/** A changed row of a followed table; `isDeleted` when it was dropped. */
export interface ChangedRow extends Row {
  part: string
  isDeleted: boolean
}

/** All rows of a table at one version of the store. */
export interface TableSnapshot {
  rows: ChangedRow[]
  version: number
}

/** Options of {@link FollowedTableService.changes}. */
export interface ChangesOptions extends CallOptions {
  /** Version after which changes are told. */
  after: number
  /** How long the answer waits for a change, in milliseconds. */
  waitMs: number
  signal?: AbortSignal
}

/** A table service that also tells changes. */
export interface FollowedTableService extends TableService {
  /** All rows of some parts of a table. */
  snapshot(table: string, parts: readonly string[], opts?: CallOptions): Promise<TableSnapshot>
  /** Changes after a version; undefined when the history does not reach back to it. */
  changes(table: string, opts: ChangesOptions): Promise<TableSnapshot | undefined>
}

/** The platform's object store. */
export interface ObjectStore {
  put(name: string, body: string, opts?: CallOptions): Promise<void>
  get(name: string, opts?: CallOptions): Promise<string | undefined>
  close(): Promise<void>
}
