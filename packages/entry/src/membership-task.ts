import type { ConfigView } from '@bulrushbridge/config-view'
import { normalizeError } from '@bulrushbridge/errors'
import type { Logger } from '@bulrushbridge/telemetry'

/** Pause between two attempts to register, in milliseconds. */
const retryMs = 500

/** Keeps this entry host registered. */
export interface MembershipTask {
  isRegistered(): boolean
  /** Gives the registration up; resolves when that is committed or the deadline has passed. */
  leave(deadlineMs: number): Promise<void>
}

/**
 * Registers this entry host, and again after its registration was removed, for example because the
 * process was paused for longer than the others wait.
 *
 * @example
 * const membership = createMembershipTask({ view, log })
 */
export function createMembershipTask(opts: { view: ConfigView; log: Logger }): MembershipTask {
  const { view, log } = opts
  const { id, incarnation } = view.member
  const isRegistered = () => view.committed().members[id]?.incarnation === incarnation
  let leaving = false
  const timer = setInterval(() => {
    if (!busy && !leaving && !isRegistered()) void join()
  }, retryMs)
  let busy = false

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
