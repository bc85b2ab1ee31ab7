import { createDecisionLog, type DecisionLog } from '@bulrushbridge/decision-log'
import type { Clock } from '@bulrushbridge/errors'
import {
  createGroupCommitter,
  createHttpObjectStore,
  createHttpTableService,
  type Committer,
  type ObjectStore,
  type TableService,
} from '@bulrushbridge/store'
import type { EntrySettings } from './settings.js'

/** Time for which records are collected before they are written together, in milliseconds. */
const groupWindowMs = 5

/** Most rows in one transaction of collected records. */
const maxGroupRows = 100

/** The clients through which an entry host uses the platform's storage. */
export interface Storage {
  table: TableService
  objects: ObjectStore
  /** Writes the records of several requests in one transaction. */
  committer: Committer
  decisions: DecisionLog
  /** Writes the pending decision records, then closes the connections. */
  close(): Promise<void>
}

/**
 * Connects an entry host to the platform's storage.
 *
 * @example
 * const storage = createStorage(cfg, systemClock)
 */
export function createStorage(cfg: EntrySettings, clock: Clock): Storage {
  const table = createHttpTableService({ url: cfg['table-url'], clock })
  const objects = createHttpObjectStore({ url: cfg['object-url'], clock })
  const committer = createGroupCommitter({
    table,
    clock,
    windowMs: groupWindowMs,
    maxRows: maxGroupRows,
  })
  const decisions = createDecisionLog({ table, member: cfg.member, clock })
  return {
    table,
    objects,
    committer,
    decisions,
    close: async () => {
      await decisions.close()
      await Promise.all([table.close(), objects.close()])
    },
  }
}
