import { maxRunnerConnections } from '@bulrushbridge/platform'

/** Fraction of the descriptors for the relay's connections to runners. */
const descriptorFraction = 1 / 4

/** Most runners to which a relay has connections, however many descriptors there are. */
const maxRelayRunners = 1_024

/**
 * Derives the number of runners to which the relay of a host may have connections.
 *
 * @example
 * relayRunners(4_100) // 170
 */
export function relayRunners(descriptors: number): number {
  const affordable = Math.floor((descriptors * descriptorFraction) / maxRunnerConnections)
  return Math.max(1, Math.min(maxRelayRunners, affordable))
}
