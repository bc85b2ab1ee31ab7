import { isOfEarlierTerm } from '@bulrushbridge/scheduler'

/**
 * The fencing tokens that a relay has seen. Calls of earlier dispatchers, and calls from before a
 * restart of their runner, are refused without reaching the runner, which may have forgotten them.
 */
export class FenceRecord {
  #highest = 0
  /** Highest token by runner, of the term of `#highest`. */
  readonly #highestByRunner = new Map<string, number>()

  accepts(runnerId: string, fence: number): boolean {
    if (isOfEarlierTerm(fence, this.#highest)) return false
    if (isOfEarlierTerm(this.#highest, fence)) this.#highestByRunner.clear()
    this.#highest = Math.max(this.#highest, fence)
    const highest = this.#highestByRunner.get(runnerId) ?? 0
    this.#highestByRunner.set(runnerId, Math.max(highest, fence))
    return fence >= highest
  }
}
