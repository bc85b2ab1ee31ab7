import type { HostSettings } from '@bulrushbridge/platform'

/**
 * Processor time of a dispatcher for each start, in milliseconds of one core: its choice, the order,
 * the poll that lists its end, and the transactions of both.
 */
const processorMsPerStart = 1

/** Bytes that a dispatcher sends for each start; it receives about as many. */
const bytesPerStart = 2_500

const bytesPerMegabit = 125_000

/**
 * Number of starts a second that a host can place as the dispatcher, by its processor and its
 * network link.
 *
 * @example
 * const startsPerSecond = dispatchCapacity({ processorCores: 1.35, linkMbps: 140 })
 */
export function dispatchCapacity({
  processorCores,
  linkMbps,
}: Pick<HostSettings, 'processorCores' | 'linkMbps'>): number {
  const byProcessor = (processorCores * 1_000) / processorMsPerStart
  const byLink = (linkMbps * bytesPerMegabit) / bytesPerStart
  return Math.round(Math.min(byProcessor, byLink))
}
