import { normalizeError, systemClock } from '@bulrushbridge/errors'
import { isSocketAddress } from '@bulrushbridge/scheduler'
import {
  followTable,
  wait,
  type ChangedRow,
  type FollowableTableService,
} from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { z } from 'zod'

/** Table in which each host announces its relay, under its name. */
export const relaysTable = 'relays'

/** Pause before a failed announcement is repeated, in milliseconds. */
const announceRetryMs = 500

/** Time for the removal of an announcement at the shutdown, in milliseconds. */
const withdrawTimeoutMs = 500

/** Pause between two fetches of changed announcements, in milliseconds. */
const feedPauseMs = 500

const announcementSchema = z.object({
  /** `ip:port` of the relay. */
  address: z.string().refine(isSocketAddress),
  /** Identifies the process, as a restarted host or another service may get the address. */
  instance: z.string(),
  /** Availability zone of the host. */
  zone: z.string(),
  /** Starts a second that the host could place itself; stronger hosts relay first. */
  startsPerSecond: z.number(),
})

/** A relay as its host announces it. */
export type RelayAnnouncement = z.infer<typeof announcementSchema>

/** A host's announcement of its relay. */
export interface RelayAnnouncer {
  /** Withdraws the announcement, so that dispatchers stop using the relay. */
  close(): Promise<void>
}

/**
 * Announces a relay, and repeats that until it is stored.
 *
 * @example
 * const announcer = announceRelay({ store, host: 'front-1', relay: { address, instance, zone, startsPerSecond }, log })
 */
export function announceRelay(opts: {
  store: FollowableTableService
  /** Name of the host. */
  host: string
  relay: RelayAnnouncement
  log: Logger
}): RelayAnnouncer {
  const { store, host, relay, log } = opts
  const closing = new AbortController()
  const write = (value: RelayAnnouncement | null, deadline?: number) =>
    store.commit(
      { checks: [], writes: [{ table: relaysTable, key: host, value }] },
      deadline === undefined ? {} : { deadline },
    )
  const announce = async () => {
    while (!closing.signal.aborted) {
      try {
        await write(relay)
        return
      } catch (err) {
        log.warn('announcing the relay failed', { reason: normalizeError(err).message })
        await wait(systemClock, announceRetryMs, closing.signal)
      }
    }
  }
  const announced = announce()
  return {
    close: async () => {
      closing.abort()
      await announced
      // Without the removal, dispatchers find out by a failed connection.
      await write(null, performance.now() + withdrawTimeoutMs).catch((err: unknown) => {
        log.warn('withdrawing the relay failed', { reason: normalizeError(err).message })
      })
    },
  }
}

/** The announced relays, by the name of the host. */
export interface RelayDirectory {
  readonly relays: ReadonlyMap<string, RelayAnnouncement>
  close(): Promise<void>
}

/**
 * Follows the announcements of relays.
 *
 * @example
 * const directory = followRelays({ store, log, onChange: () => { choose(directory.relays) } })
 */
export function followRelays(opts: {
  store: FollowableTableService
  log: Logger
  onChange: () => void
}): RelayDirectory {
  const { store, log, onChange } = opts
  const relays = new Map<string, RelayAnnouncement>()
  const apply = ({ key, value, isDeleted }: ChangedRow) => {
    const parsed = announcementSchema.safeParse(value)
    if (!isDeleted && parsed.success) {
      relays.set(key, parsed.data)
      return
    }
    if (!isDeleted) log.error('announcement of a relay has an invalid format', { host: key })
    relays.delete(key)
  }
  const follower = followTable({
    store,
    table: relaysTable,
    parts: [''],
    pauseMs: feedPauseMs,
    onSnapshot: rows => {
      relays.clear()
      for (const row of rows) apply(row)
      onChange()
    },
    onChanges: rows => {
      for (const row of rows) apply(row)
      onChange()
    },
    onRejected: ({ key }, reason) => {
      log.error('row could not be applied', { table: relaysTable, key, reason })
    },
    onState: (state, detail) => {
      log.warn(`change feed ${state}`, { table: relaysTable, detail })
    },
  })
  return { relays, close: () => follower.close() }
}
