/**
 * The pace of the fillers of one runner: the share of their time for which they may work. Fillers
 * use processor time that other tasks leave.
 */
export interface FillerPace {
  /** The share, in percent. */
  percent: number
  /**
   * When the delay before the next raise started: when all serving tasks were first seen below 0.6
   * of their targets, or at the last raise if that is later. Undefined while no raise is expected.
   */
  raiseDelayStartedAt: number | undefined
}

/** Tail latency of a serving task and the target for it, in milliseconds. */
export interface ServingLatency {
  tailLatencyMs: number
  targetMs: number
}

/**
 * Fraction of the latency target above which fillers stop; the margin covers the time of the order.
 */
const stopAboveFraction = 0.9

/** Fraction of the latency target below which fillers may work more. */
const raiseBelowFraction = 0.6

/** Time for which latencies must stay below that fraction before each raise, in milliseconds. */
const raiseDelayMs = 2_000

/** Percentage points by which the share of fillers is raised at a time. */
const raiseStepPercent = 25

/**
 * Chooses the share of their time for which fillers work beside serving tasks. The share drops to 0
 * at once and rises in steps, because a serving task over its target costs far more than idle
 * fillers.
 *
 * @example
 * const next = chooseFillerPace(pace, [{ tailLatencyMs: 95, targetMs: 100 }], performance.now())
 */
export function chooseFillerPace(
  pace: FillerPace,
  latencies: readonly ServingLatency[],
  now: number,
): FillerPace {
  const worstFraction = Math.max(
    0,
    ...latencies.map(({ tailLatencyMs, targetMs }) => tailLatencyMs / targetMs),
  )
  if (worstFraction > stopAboveFraction) return { percent: 0, raiseDelayStartedAt: undefined }
  if (worstFraction > raiseBelowFraction || pace.percent === 100)
    return { ...pace, raiseDelayStartedAt: undefined }
  const raiseDelayStartedAt = pace.raiseDelayStartedAt ?? now
  if (now - raiseDelayStartedAt < raiseDelayMs) return { ...pace, raiseDelayStartedAt }
  return { percent: Math.min(100, pace.percent + raiseStepPercent), raiseDelayStartedAt: now }
}
