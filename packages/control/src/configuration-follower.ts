import { Confirmation, StoreReader } from '@bulrushbridge/config-view'
import {
  applyChangeRow,
  emptyConfiguration,
  type EnvironmentConfiguration,
} from '@bulrushbridge/contract'
import { normalizeError } from '@bulrushbridge/errors'
import { wait, type ObjectStore, type TableService, type WaitingClock } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Interval of polls while a duty needs a current configuration, in milliseconds. */
const activePollMs = 500

/** Interval of polls without such a duty, in milliseconds. */
const idlePollMs = 2_000

/** Time for one poll, in milliseconds. */
const callMs = 2_000

/** Follows the committed configuration in the store, without a registration. */
export interface ConfigurationFollower {
  committed(): EnvironmentConfiguration
  /** Until when the configuration is known to be current; see config-view's Confirmation. */
  confirmedUntil(): number
  /** Calls back after each change; returns a function that ends this. */
  onChange(listener: (cfg: EnvironmentConfiguration) => void): () => void
  /** Polls often enough to be confirmed until the returned function is called. */
  keepConfirmed(): () => void
  close(): Promise<void>
}

/**
 * Starts a follower.
 *
 * @example
 * const follower = createConfigurationFollower({ table, objects, clock, log })
 */
export function createConfigurationFollower(opts: {
  table: TableService
  objects: ObjectStore
  clock: WaitingClock
  log: Logger
}): ConfigurationFollower {
  const { clock, log } = opts
  const reader = new StoreReader(opts.table, opts.objects)
  const confirmation = new Confirmation()
  const listeners = new Set<(cfg: EnvironmentConfiguration) => void>()
  const closing = new AbortController()
  let cfg = emptyConfiguration()
  let users = 0
  let pausing = new AbortController()

  const poll = async () => {
    const read = confirmation.readStarted(clock.now())
    const deadline = read.startedAt + callMs
    const { head } = await reader.head({ deadline })
    confirmation.readAnswered(read, clock.now())
    if (head.version > cfg.version) {
      const base = cfg.version === 0 ? await reader.snapshot(head.version, { deadline }) : cfg
      const rows = await reader.changes(base.version, head.version, { deadline })
      const next = rows.reduce(applyChangeRow, base)
      if (next.version < head.version) throw new Error('change rows are missing in the store')
      cfg = next
      for (const listener of listeners) listener(cfg)
    }
    // A control program is not registered, so only prompt reads confirm it.
    confirmation.readCaughtUp(read, false)
  }

  const run = async () => {
    while (!closing.signal.aborted) {
      await poll().catch((err: unknown) => {
        log.debug('configuration poll failed', { error: normalizeError(err).message })
      })
      pausing = new AbortController()
      const signal = AbortSignal.any([closing.signal, pausing.signal])
      await wait(clock, users > 0 ? activePollMs : idlePollMs, signal)
    }
  }
  const running = run()

  return {
    committed: () => cfg,
    confirmedUntil: () => confirmation.confirmedUntil,
    onChange: listener => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    keepConfirmed: () => {
      users += 1
      pausing.abort()
      let isUsed = true
      return () => {
        if (isUsed) users -= 1
        isUsed = false
      }
    },
    close: async () => {
      closing.abort()
      await running
    },
  }
}
