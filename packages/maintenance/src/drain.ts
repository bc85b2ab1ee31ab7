/** A request or task in progress on a host; times on the decision's clock. */
export interface WorkInProgress {
  /** Latest expected end: a request's deadline, or a task's start plus its learned run time. */
  endsBy: number
  /** Time at which a checkpoint begun now would be complete; absent when it cannot be checkpointed. */
  checkpointBy?: number
}

/**
 * Time at which a host that starts its drain at `now` is expected to be empty. Each piece of work
 * either ends or is checkpointed, whichever comes first, so that no request is interrupted.
 *
 * @example
 * const emptyAt = drainDeadline([{ endsBy: now + 30_000 }], now)
 */
export function drainDeadline(work: readonly WorkInProgress[], now: number): number {
  return work.reduce(
    (latest, { endsBy, checkpointBy }) =>
      Math.max(latest, Math.min(endsBy, checkpointBy ?? Number.POSITIVE_INFINITY)),
    now,
  )
}

/**
 * Whether a draining host may be stopped. Only the work decides: a run time longer than expected
 * delays the stop, and the deadline serves for planning alone.
 */
export function isDrained(work: readonly WorkInProgress[]): boolean {
  return work.length === 0
}
