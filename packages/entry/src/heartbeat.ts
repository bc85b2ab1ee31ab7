import { normalizeError, systemClock, type Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Table of heartbeats; the key is the id of the entry host. */
export const heartbeatsTable = 'entry-heartbeats'

/**
 * Interval of heartbeats, in milliseconds. Three fit into the 10 s without one after which an entry
 * host is removed.
 */
const heartbeatIntervalMs = 3_000

/**
 * Time allowed for deleting the row at a shutdown, in milliseconds; a row that stays does no harm.
 */
const removeTimeoutMs = 1_000

/** Value of a row in `entry-heartbeats`. A rising row version shows that the process is alive. */
export interface HeartbeatRow {
  incarnation: string
  /**
   * Address of the operators' port; the membership duty calls it before it removes an entry host.
   */
  operators: string
}

/** Options of {@link createHeartbeat}. */
export interface HeartbeatOptions extends HeartbeatRow {
  table: TableService
  member: string
  log: Logger
  clock?: Clock
}

/**
 * Writes this entry host's heartbeat every 3 s, with one small write and no read.
 *
 * @example
 * const heartbeat = createHeartbeat({ table, member: 'e1', incarnation, operators, log })
 */
export function createHeartbeat(opts: HeartbeatOptions): { close(): Promise<void> } {
  const { table, member, incarnation, operators, log, clock = systemClock } = opts
  let pendingWrite: Promise<void> | undefined
  const writeRow = async (value: HeartbeatRow | null, limitMs: number) => {
    try {
      const tx = { checks: [], writes: [{ table: heartbeatsTable, key: member, value }] }
      await table.commit(tx, { deadline: clock.now() + limitMs })
    } catch (err) {
      log.debug('writing the heartbeat failed', { error: normalizeError(err).message })
    }
  }
  const writeHeartbeat = () => {
    pendingWrite ??= writeRow({ incarnation, operators }, heartbeatIntervalMs).finally(() => {
      pendingWrite = undefined
    })
  }
  writeHeartbeat()
  const timer = setInterval(writeHeartbeat, heartbeatIntervalMs)
  return {
    close: async () => {
      clearInterval(timer)
      await pendingWrite
      await writeRow(null, removeTimeoutMs)
    },
  }
}
