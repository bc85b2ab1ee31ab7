/** State of the fillers of one runner. */
export interface PaceState {
  /** Share at which fillers work, in percent. */
  percent: number
  /** Since when all serving tasks have been well below their targets. */
  calmSince: number | undefined
}

/** A serving task: its tail latency and the target for it, in milliseconds. */
export interface ServedTail {
  tailMs: number
  targetMs: number
}

/** Fraction of the target above which fillers are stopped; it leaves time for the order. */
const stopAbove = 0.9

/** Fraction of the target below which fillers may work more. */
const raiseBelow = 0.6

/** Time below that fraction before fillers work more, in milliseconds. */
const calmMs = 2_000

/** Steps by which fillers return to full work, in percent. */
const raiseStep = 25

/**
 * Chooses the share at which fillers work beside serving tasks. It falls to nothing at once and
 * returns in steps, because a serving task over its target costs far more than idle fillers.
 *
 * @example
 * const next = choosePace(state, [{ tailMs: 95, targetMs: 100 }], performance.now())
 */
export function choosePace(state: PaceState, tails: readonly ServedTail[], now: number): PaceState {
  const worst = Math.max(0, ...tails.map(({ tailMs, targetMs }) => tailMs / targetMs))
  if (worst > stopAbove) return { percent: 0, calmSince: undefined }
  if (worst > raiseBelow || state.percent === 100) return { ...state, calmSince: undefined }
  const calmSince = state.calmSince ?? now
  if (now - calmSince < calmMs) return { ...state, calmSince }
  return { percent: Math.min(100, state.percent + raiseStep), calmSince: now }
}
