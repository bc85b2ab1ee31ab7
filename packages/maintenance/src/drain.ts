/** A request or task in progress on a host. Times are on the same clock as `now`. */
export interface WorkInProgress {
  /** Latest expected end: a request's deadline, or a task's start plus its learned run time. */
  endsBy: number
  /** Time at which a checkpoint that starts now completes. Absent when none is possible. */
  checkpointBy?: number
}

/**
 * Time at which a host that starts its drain at `now` is expected to be empty. Each piece of work
 * either ends or is checkpointed, whichever is earlier, so no request is interrupted.
 *
 * @example
 * const emptyAt = expectedDrainEnd([{ endsBy: now + 30_000 }], now)
 */
export function expectedDrainEnd(work: readonly WorkInProgress[], now: number): number {
  return work.reduce(
    (latest, { endsBy, checkpointBy }) =>
      Math.max(latest, Math.min(endsBy, checkpointBy ?? Number.POSITIVE_INFINITY)),
    now,
  )
}

/**
 * Whether a draining host may be stopped. This depends only on the remaining work: a task that runs
 * longer than expected delays the stop. The time of {@link expectedDrainEnd} is used only for
 * planning.
 */
export function isDrained(work: readonly WorkInProgress[]): boolean {
  return work.length === 0
}
