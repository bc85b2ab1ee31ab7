/** Slots per additional request that may wait at a runner. */
const slotsPerWaitingRequest = 8

/**
 * Number of requests that all entry hosts together may have in progress at one runner of a full
 * pool. For every eight slots one additional request waits at the runner, so that no slot idles
 * during the round trip between two requests. A runner with fewer than eight slots gets no
 * additional request, because it would wait there for a large part of its work time.
 *
 * @example
 * maxRequestsPerRunner(8) // 9
 */
export function maxRequestsPerRunner(slots: number): number {
  return slots + Math.floor(slots / slotsPerWaitingRequest)
}

/** Input of {@link computeRunnerQuotas}. */
export interface RunnerQuotasOptions {
  /** Requests that each entry host may have in progress, in the same order at all entry hosts. */
  members: ReadonlyMap<string, number>
  /** The entry host whose quotas are computed. */
  member: string
  /** Ids of the runners in service. */
  runners: readonly string[]
}

/**
 * Computes how many requests one entry host may have in progress at each runner. The requests of
 * all entry hosts are put in one sequence and assigned to the runners by round robin. With equal
 * inputs, the quotas of the entry hosts fill all runners equally and never overlap, without
 * messages between the entry hosts.
 *
 * @example
 * computeRunnerQuotas({ members: new Map([['e1', 3], ['e2', 1]]), member: 'e1', runners: ['r1', 'r2'] })
 * // r1: 2, r2: 1
 */
export function computeRunnerQuotas(opts: RunnerQuotasOptions): Map<string, number> {
  const { members, member } = opts
  const runners = opts.runners.toSorted()
  let offset = 0
  for (const [id, requests] of members) {
    if (id === member) break
    offset += requests
  }
  const ownRequests = members.get(member) ?? 0
  const base = Math.floor(ownRequests / runners.length)
  const remainder = ownRequests % runners.length
  return new Map(
    runners.map((runner, i) => {
      const position = (i - (offset % runners.length) + runners.length) % runners.length
      return [runner, base + (position < remainder ? 1 : 0)]
    }),
  )
}
