import { Confirmation, StoreReader } from '@bulrushbridge/config-view'
import {
  applyChangeRow,
  emptyConfiguration,
  type EnvironmentConfiguration,
} from '@bulrushbridge/contract'
import { normalizeError } from '@bulrushbridge/errors'
import { wait, type ObjectStore, type TableService, type WaitingClock } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'

/** Interval of polls while a duty needs a confirmed configuration, in milliseconds. */
const activePollIntervalMs = 500

/** Interval of polls while no duty needs a confirmed configuration, in milliseconds. */
const idlePollIntervalMs = 2_000

/** Time allowed for one poll, in milliseconds. */
const pollTimeoutMs = 2_000

/** Follows the committed configuration by polling the store, without registering as an entry host. */
export interface ConfigurationFollower {
  /** The latest committed configuration that was read; empty before the first poll. */
  committed(): EnvironmentConfiguration
  /**
   * Time on `clock` until which the configuration is known to be current; see `Confirmation` in
   * config-view.
   */
  confirmedUntil(): number
  /** Calls `listener` after each change; returns a function that removes it. */
  onChange(listener: (cfg: EnvironmentConfiguration) => void): () => void
  /** Polls often enough to keep the configuration confirmed, until the returned function is called. */
  keepConfirmed(): () => void
  /** Stops polling and waits for a poll in progress. */
  close(): Promise<void>
}

/**
 * Starts a follower, which polls the store until it is closed.
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
  const closeAbort = new AbortController()
  let cfg = emptyConfiguration()
  let confirmationUsers = 0
  let pauseAbort = new AbortController()

  const poll = async () => {
    const headRead = confirmation.readStarted(clock.now())
    const deadline = headRead.startedAt + pollTimeoutMs
    const { head } = await reader.head({ deadline })
    confirmation.readAnswered(headRead, clock.now())
    if (head.version > cfg.version) {
      const base = cfg.version === 0 ? await reader.snapshot(head.version, { deadline }) : cfg
      const rows = await reader.changes(base.version, head.version, { deadline })
      const next = rows.reduce(applyChangeRow, base)
      if (next.version < head.version) throw new Error('change rows are missing in the store')
      cfg = next
      for (const listener of listeners) listener(cfg)
    }
    // The control program is not registered, so only prompt reads confirm its configuration.
    confirmation.readCaughtUp(headRead, false)
  }

  const runPollLoop = async () => {
    while (!closeAbort.signal.aborted) {
      await poll().catch((err: unknown) => {
        log.debug('configuration poll failed', { error: normalizeError(err).message })
      })
      pauseAbort = new AbortController()
      const signal = AbortSignal.any([closeAbort.signal, pauseAbort.signal])
      await wait(clock, confirmationUsers > 0 ? activePollIntervalMs : idlePollIntervalMs, signal)
    }
  }
  const pollLoop = runPollLoop()

  return {
    committed: () => cfg,
    confirmedUntil: () => confirmation.confirmedUntil,
    onChange: listener => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    keepConfirmed: () => {
      confirmationUsers += 1
      pauseAbort.abort()
      let isActive = true
      return () => {
        if (isActive) confirmationUsers -= 1
        isActive = false
      }
    },
    close: async () => {
      closeAbort.abort()
      await pollLoop
    },
  }
}
