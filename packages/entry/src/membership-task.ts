import type { ConfigView } from '@bulrushbridge/config-view'
import { normalizeError, type Clock } from '@bulrushbridge/errors'
import type { Logger } from '@bulrushbridge/telemetry'

/** Interval at which the registration is checked and retried, in milliseconds. */
const registrationCheckMs = 500

/** Keeps this entry host registered. */
export interface MembershipTask {
  isRegistered(): boolean
  /** Milliseconds since this entry host first saw itself registered; 0 before that. */
  registeredForMs(): number
  /**
   * Resolves when others have removed the registration of this incarnation. Its permits are being
   * divided among the other entry hosts, so only a new incarnation may register again.
   */
  readonly removed: Promise<void>
  /** Removes the registration; resolves when that is committed or `deadlineMs` have passed. */
  leave(deadlineMs: number): Promise<void>
}

/**
 * Registers this entry host and detects that others have removed it, for example because the
 * process was paused for too long.
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
  let isLeaving = false
  let isJoining = false
  let registeredAt: number | undefined
  let onRemoved: () => void = () => undefined
  const removed = new Promise<void>(resolve => {
    onRemoved = resolve
  })
  const timer = setInterval(() => {
    if (isLeaving) return
    if (isRegistered()) registeredAt ??= clock.now()
    else if (registeredAt !== undefined) onRemoved()
    else if (!isJoining) void join()
  }, registrationCheckMs)

  const join = async () => {
    isJoining = true
    try {
      const { version } = await view.join()
      log.info('entry host registered', { version })
    } catch (err) {
      log.debug('entry host not registered yet; retrying', { error: normalizeError(err).message })
    } finally {
      isJoining = false
    }
  }

  return {
    isRegistered,
    registeredForMs: () => (registeredAt === undefined ? 0 : clock.now() - registeredAt),
    removed,
    leave: async deadlineMs => {
      isLeaving = true
      clearInterval(timer)
      if (!isRegistered()) return
      const timeout = new Promise(resolve => setTimeout(resolve, deadlineMs).unref())
      const leaveDone = view.leave().catch((err: unknown) => {
        log.warn('removing the registration failed', { error: normalizeError(err).message })
      })
      await Promise.race([leaveDone, timeout])
    },
  }
}
