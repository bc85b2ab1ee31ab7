import type { Clock } from '@bulrushbridge/errors'

/** Silence after which an entry host is removed, in milliseconds (design page, 8). */
const removeAfterMs = 10_000

/** Silence after which the operator port of an entry host is called, in milliseconds. */
const probeAfterMs = 4_000

/**
 * Longest pause between two complete rounds, in milliseconds. During a longer one, for example a
 * store outage or a pause of this process, heartbeats may have been missed, so all silence is
 * measured anew.
 */
const maxRoundGapMs = 3_000

/**
 * Finds the registered entry hosts that have vanished, from the signs of life of their processes.
 * The id of a process is `<member>@<incarnation>`.
 */
export interface VanishedMemberDetector {
  /** Records a sign of life other than a heartbeat. */
  recordSignOfLife(processId: string): void
  /**
   * Records the version of a heartbeat row. Only a version that differs from the last one counts as
   * a sign of life.
   */
  recordHeartbeat(processId: string, version: number): void
  /**
   * Ends a round over all registered processes. `probeTargets` are those whose operator port is to
   * be called, `vanished` those that are to be removed.
   */
  evaluateRound(processIds: readonly string[]): { probeTargets: string[]; vanished: string[] }
}

/**
 * Creates a detector that has seen no sign of life yet.
 *
 * @example
 * const { probeTargets, vanished } = detector.evaluateRound(processIds)
 */
export function createVanishedMemberDetector({ clock }: { clock: Clock }): VanishedMemberDetector {
  let lastRoundAt = -Infinity
  const lastSeenAt = new Map<string, number>()
  const heartbeatVersions = new Map<string, number>()
  return {
    recordSignOfLife: processId => lastSeenAt.set(processId, clock.now()),
    recordHeartbeat: (processId, version) => {
      if (heartbeatVersions.get(processId) === version) return
      heartbeatVersions.set(processId, version)
      lastSeenAt.set(processId, clock.now())
    },
    evaluateRound: processIds => {
      const now = clock.now()
      if (now - lastRoundAt > maxRoundGapMs) lastSeenAt.clear()
      lastRoundAt = now
      for (const processId of processIds)
        if (!lastSeenAt.has(processId)) lastSeenAt.set(processId, now)
      const computeSilenceMs = (processId: string) => now - (lastSeenAt.get(processId) ?? now)
      return {
        probeTargets: processIds.filter(processId => computeSilenceMs(processId) >= probeAfterMs),
        vanished: processIds.filter(processId => computeSilenceMs(processId) >= removeAfterMs),
      }
    },
  }
}
