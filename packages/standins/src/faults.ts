/**
 * Which responses are lost after their requests took effect: the next few, or each with a
 * probability, from a seeded generator.
 */
export type ResponseLossSetting = { next: number } | { probability: number; seed: number }

/** Fault switches of a stand-in. Each may be changed at any time. */
export interface Faults {
  /** Connections are accepted and closed without a response. */
  down: boolean
  /** Requests are accepted, have no effect and never get a response. */
  silent: boolean
  /** Delay before a request takes effect, in milliseconds. */
  slowMs: number
  /** Requests take effect, and their connections are closed without a response. */
  loseAnswers: ResponseLossSetting
  /** Excess requests wait in order; 0 means unlimited. A transaction counts as one write. */
  maxWritesPerSecond: number
  /** Excess requests wait in order; 0 means unlimited. A scan counts as one read. */
  maxReadsPerSecond: number
}

/** Returns fault switches that are all off. */
export function noFaults(): Faults {
  return {
    down: false,
    silent: false,
    slowMs: 0,
    loseAnswers: { next: 0 },
    maxWritesPerSecond: 0,
    maxReadsPerSecond: 0,
  }
}

/**
 * Returns a generator of pseudo-random numbers in [0, 1) (mulberry32). The same seed gives the same
 * numbers, so that a failing run can be repeated.
 */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** Decides for each response in turn whether it is lost. */
export class ResponseLoss {
  #seededSetting: ResponseLossSetting | undefined
  #random: () => number = () => 1

  shouldLoseNext(setting: ResponseLossSetting): boolean {
    if ('next' in setting) {
      if (setting.next <= 0) return false
      setting.next -= 1
      return true
    }
    if (setting !== this.#seededSetting) {
      this.#seededSetting = setting
      this.#random = seededRandom(setting.seed)
    }
    return this.#random() < setting.probability
  }
}
