import { isOfEarlierTerm } from '@bulrushbridge/scheduler'

/** Most runners whose fencing tokens are kept in one term. */
const maxRunners = 16_000

/** How a relay treats a call by its fencing token; `full` when no further runner can be noted. */
export type FenceVerdict = 'accepted' | 'refused' | 'full'

/**
 * The fencing tokens that a relay has seen. Calls of earlier dispatchers, and calls from before a
 * restart of their runner, are refused without reaching the runner, which may have forgotten them.
 */
export class FenceRecord {
  #highest = 0
  /** Highest token by runner, of the term of `#highest`. */
  readonly #highestByRunner = new Map<string, number>()

  check(runnerId: string, fence: number): FenceVerdict {
    if (isOfEarlierTerm(fence, this.#highest)) return 'refused'
    if (isOfEarlierTerm(this.#highest, fence)) this.#highestByRunner.clear()
    this.#highest = Math.max(this.#highest, fence)
    const highest = this.#highestByRunner.get(runnerId)
    if (highest === undefined && this.#highestByRunner.size >= maxRunners) return 'full'
    this.#highestByRunner.set(runnerId, Math.max(highest ?? 0, fence))
    return fence >= (highest ?? 0) ? 'accepted' : 'refused'
  }
}
