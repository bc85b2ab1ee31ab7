import { normalizeError, systemClock, type Clock } from '@bulrushbridge/errors'
import type { TableService } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Table of heartbeats, key `<member>`. */
export const heartbeatsTable = 'entry-heartbeats'

/** Interval of heartbeats, in milliseconds: three fit into the 10 s after which a host is removed. */
const intervalMs = 3_000

/** Time for removing the row at a shutdown, in milliseconds; a row left behind does no harm. */
const removeMs = 1_000

/** Value of a row in `entry-heartbeats`; its version shows that the process is alive. */
export interface HeartbeatRow {
  incarnation: string
  /** Address of the operators' port, which the membership duty asks before a removal. */
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
 * Writes this entry host's heartbeat every 3 s, one small write without a read.
 *
 * @example
 * const heartbeat = createHeartbeat({ table, member: 'e1', incarnation, operators, log })
 */
export function createHeartbeat(opts: HeartbeatOptions): { close(): Promise<void> } {
  const { table, member, incarnation, operators, log, clock = systemClock } = opts
  let writing: Promise<void> | undefined
  const write = async (value: HeartbeatRow | null, limitMs: number) => {
    try {
      const tx = { checks: [], writes: [{ table: heartbeatsTable, key: member, value }] }
      await table.commit(tx, { deadline: clock.now() + limitMs })
    } catch (err) {
      log.debug('heartbeat failed', { error: normalizeError(err).message })
    }
  }
  const beat = () => {
    writing ??= write({ incarnation, operators }, intervalMs).finally(() => {
      writing = undefined
    })
  }
  beat()
  const timer = setInterval(beat, intervalMs)
  return {
    close: async () => {
      clearInterval(timer)
      await writing
      await write(null, removeMs)
    },
  }
}
