/**
 * Possible outcomes of a request.
 *
 * - `not-run`: no byte can have reached an upstream, and no task was claimed.
 * - `finished`: the upstream's complete response is known.
 * - `unknown`: the request may have run.
 */
export const outcomes = ['not-run', 'finished', 'unknown'] as const

/** One of {@link outcomes}. */
export type Outcome = (typeof outcomes)[number]
