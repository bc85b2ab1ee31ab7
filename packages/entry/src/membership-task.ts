import type { ConfigView } from '@bulrushbridge/config-view'
import { normalizeError, type Clock } from '@bulrushbridge/errors'
import type { Logger } from '@bulrushbridge/telemetry'

/** Pause between two attempts to register, in milliseconds. */
const retryMs = 500

/** Keeps this entry host registered. */
export interface MembershipTask {
  isRegistered(): boolean
  /** Milliseconds since this entry host was found registered; 0 before. */
  registeredForMs(): number
  /**
   * Resolves when the registration of this incarnation has been removed by others. Its permits are
   * being given to the rest, so it must not register again; only a new incarnation may.
   */
  readonly removed: Promise<void>
  /** Gives the registration up; resolves when that is committed or the deadline has passed. */
  leave(deadlineMs: number): Promise<void>
}

/**
 * Registers this entry host and notices when others have removed it, for example because the process
 * was paused for longer than they wait.
 *
 * @example
 * const membership = createMembershipTask({ view, log, clock })
 */
export function createMembershipTask(opts: {
  view: ConfigView
  log: Logger
  clock: Clock
}): MembershipTask {
  const { view, log, clock } = opts
  const { id, incarnation } = view.member
  const isRegistered = () => view.committed().members[id]?.incarnation === incarnation
  let leaving = false
  let busy = false
  let registeredAt: number | undefined
  let onRemoved: () => void = () => undefined
  const removed = new Promise<void>(resolve => {
    onRemoved = resolve
  })
  const timer = setInterval(() => {
    if (leaving) return
    if (isRegistered()) registeredAt ??= clock.now()
    else if (registeredAt !== undefined) onRemoved()
    else if (!busy) void join()
  }, retryMs)

  const join = async () => {
    busy = true
    try {
      const { version } = await view.join()
      log.info('registered', { version })
    } catch (err) {
      log.debug('could not register yet', { error: normalizeError(err).message })
    } finally {
      busy = false
    }
  }

  return {
    isRegistered,
    registeredForMs: () => (registeredAt === undefined ? 0 : clock.now() - registeredAt),
    removed,
    leave: async deadlineMs => {
      leaving = true
      clearInterval(timer)
      if (!isRegistered()) return
      const limit = new Promise(resolve => setTimeout(resolve, deadlineMs).unref())
      const left = view.leave().catch((err: unknown) => {
        log.warn('could not give the registration up', { error: normalizeError(err).message })
      })
      await Promise.race([left, limit])
    },
  }
}
