import type { RelayAnnouncement } from './relay-directory.js'

/** Runners for which one relay makes the calls. */
const runnersPerRelay = 40

/** Input of {@link chooseRelays}. */
export interface RelayChoiceInput {
  relays: ReadonlyMap<string, RelayAnnouncement>
  /** Number of runners in each availability zone. */
  runnersByZone: ReadonlyMap<string, number>
  /** Hosts whose relay is not to be used. */
  excluded: ReadonlySet<string>
}

/**
 * Chooses the hosts that relay the calls to the runners of each availability zone, one for every
 * {@link runnersPerRelay} runners, the strongest first.
 *
 * @example
 * const hosts = chooseRelays({ relays, runnersByZone, excluded }).get('euw-a') ?? []
 */
export function chooseRelays({
  relays,
  runnersByZone,
  excluded,
}: RelayChoiceInput): Map<string, string[]> {
  const candidates = [...relays]
    .filter(([host]) => !excluded.has(host))
    .sort(
      ([hostA, a], [hostB, b]) => b.startsPerSecond - a.startsPerSecond || (hostA < hostB ? -1 : 1),
    )
  return new Map(
    [...runnersByZone].map(([zone, runners]) => [
      zone,
      candidates
        .filter(([, relay]) => relay.zone === zone)
        .slice(0, Math.ceil(runners / runnersPerRelay))
        .map(([host]) => host),
    ]),
  )
}
