import type { Clock } from '@bulrushbridge/errors'

/** Time without any sign of life after which an entry host is removed (design page, 8). */
const removeAfterMs = 10_000

/** Time without heartbeat and exchange after which the operators' port is asked. */
const askAfterMs = 4_000

/**
 * Longest pause between two complete rounds. After a longer one, for example a store outage or a
 * paused process, heartbeats may have been missed, so all waiting times begin anew.
 */
const maxRoundGapMs = 3_000

/** Signs of life of registered entry hosts, each named `<member>@<incarnation>`. */
export interface VanishedMembers {
  /** Registers a sign of life. */
  seen(vote: string): void
  /** Registers a heartbeat row; only a version that differs from the last one counts. */
  heartbeat(vote: string, version: number): void
  /** Ends a round over all registered processes. */
  round(votes: readonly string[]): { ask: string[]; vanished: string[] }
}

/**
 * Creates the record of signs of life.
 *
 * @example
 * const { ask, vanished } = members.round(votes)
 */
export function createVanishedMembers({ clock }: { clock: Clock }): VanishedMembers {
  let lastRoundAt = -Infinity
  const seenAt = new Map<string, number>()
  const versions = new Map<string, number>()
  return {
    seen: vote => seenAt.set(vote, clock.now()),
    heartbeat: (vote, version) => {
      if (versions.get(vote) === version) return
      versions.set(vote, version)
      seenAt.set(vote, clock.now())
    },
    round: votes => {
      const now = clock.now()
      if (now - lastRoundAt > maxRoundGapMs) seenAt.clear()
      lastRoundAt = now
      for (const vote of votes) if (!seenAt.has(vote)) seenAt.set(vote, now)
      const silentFor = (vote: string) => now - (seenAt.get(vote) ?? now)
      return {
        ask: votes.filter(vote => silentFor(vote) >= askAfterMs),
        vanished: votes.filter(vote => silentFor(vote) >= removeAfterMs),
      }
    },
  }
}
