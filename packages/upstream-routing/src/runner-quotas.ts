/** Slots of a runner for which one request more than slots may be in progress. */
const slotsPerExtraRequest = 8

/**
 * Requests that all entry hosts together may have in progress at one runner of a full pool. One
 * request more than eight slots waits at the runner, so that a slot does not idle during the round
 * trip between two requests. A runner with fewer slots gets none, because the additional request
 * would wait there for a large part of its work time.
 *
 * @example
 * requestsPerRunner(8) // 9
 */
export function requestsPerRunner(slots: number): number {
  return slots + Math.floor(slots / slotsPerExtraRequest)
}

/** Input of {@link divideRunners}. */
export interface DivideRunnersOptions {
  /** Requests that each entry host may have in progress, in an order common to all of them. */
  members: ReadonlyMap<string, number>
  /** The entry host whose parts are wanted. */
  member: string
  /** Ids of the runners in service. */
  runners: readonly string[]
}

/**
 * The part of one entry host in the slots of each runner. The allocations of the entry hosts are
 * laid out one after the other and dealt to the runners in turn: equal inputs give parts that
 * together fill every runner equally and never overlap, without messages between entry hosts.
 *
 * @example
 * divideRunners({ members: new Map([['e1', 3], ['e2', 1]]), member: 'e1', runners: ['r1', 'r2'] })
 * // r1: 2, r2: 1
 */
export function divideRunners(opts: DivideRunnersOptions): Map<string, number> {
  const { members, member } = opts
  const runners = opts.runners.toSorted()
  let first = 0
  for (const [id, requests] of members) {
    if (id === member) break
    first += requests
  }
  const own = members.get(member) ?? 0
  const base = Math.floor(own / runners.length)
  const rest = own % runners.length
  return new Map(
    runners.map((runner, i) => {
      const turn = (i - (first % runners.length) + runners.length) % runners.length
      return [runner, base + (turn < rest ? 1 : 0)]
    }),
  )
}
