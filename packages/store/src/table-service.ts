/** Options of one call to the platform's storage. */
export interface CallOptions {
  /** Time at which the call fails, in milliseconds of the client's clock. */
  deadline?: number
  /** Part of the table, if the service divides tables; by default the part without a name. */
  part?: string
  /** Ends a read whose result is not wanted any more; services may ignore it. */
  signal?: AbortSignal
}

/** A stored row. `version` starts at 1 and increases with each write of the key. */
export interface Row<T = unknown> {
  key: string
  version: number
  value: T
}

/** A condition of a transaction: the row has this version, where 0 means that it does not exist. */
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

/** Writes that are applied together if all checks hold, otherwise not at all. */
export interface Transaction {
  checks: Check[]
  writes: Write[]
}

/**
 * The result of a transaction. `version` is the version of the rows it wrote and `serviceTimeMs` the time of
 * the service when it answered, if the service returns them; `failed` lists the checks that did not hold.
 */
export type CommitResult =
  | { committed: true; version?: number; serviceTimeMs?: number }
  | { committed: false; failed: Check[] }

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
  /** Reads rows in the order of their keys. */
  scan<T>(table: string, opts?: ScanOptions): Promise<Row<T>[]>
  /** Commits a transaction. If the response is lost, the result is read back by a token. */
  commit(tx: Transaction, opts?: CallOptions): Promise<CommitResult>
  close(): Promise<void>
}

/** A changed row; `isDeleted` tells whether the change deleted it. */
export interface ChangedRow extends Row {
  part: string
  isDeleted: boolean
}

/** Rows of a table at one version of the store: all of them, or those that have changed. */
export interface TableSnapshot {
  rows: ChangedRow[]
  version: number
  /** Time of the service when it answered, in milliseconds from a start of its own, if it returns it. */
  serviceTimeMs?: number
}

/** Options of {@link FollowableTableService.changes}. */
export interface ChangesOptions extends CallOptions {
  /** Version of the store after which changes are returned. */
  after: number
  /** Longest time the service waits for a change before it responds, in milliseconds. */
  waitMs: number
}

/** A table service whose changes can be followed. */
export interface FollowableTableService extends TableService {
  /** Reads all rows of some parts of a table. */
  snapshot(table: string, parts: readonly string[], opts?: CallOptions): Promise<TableSnapshot>
  /**
   * Reads all rows of some parts of a table as `snapshot` does, and passes on the rows of each page as
   * it arrives, so that a large table takes little memory. Resolves to the version of the snapshot.
   */
  snapshotPages(
    table: string,
    parts: readonly string[],
    onRows: (rows: ChangedRow[]) => void,
    opts?: CallOptions,
  ): Promise<number>
  /** Reads changes after a version; undefined when the service no longer keeps all of them. */
  changes(table: string, opts: ChangesOptions): Promise<TableSnapshot | undefined>
}

/** The platform's object store. */
export interface ObjectStore {
  put(name: string, body: string, opts?: CallOptions): Promise<void>
  get(name: string, opts?: CallOptions): Promise<string | undefined>
  close(): Promise<void>
}
