/** Answers that are lost after the request took effect: the next few, or a seeded share of all. */
export type LoseAnswers = { next: number } | { probability: number; seed: number }

/** The switches of a stand-in, one per fault. All may be changed at any moment. */
export interface Faults {
  /** Connections are accepted and closed. */
  down: boolean
  /** Requests are accepted, have no effect and are never answered. */
  silent: boolean
  /** Delay before a request takes effect, in milliseconds. */
  slowMs: number
  /** The request takes effect and its connection is closed without an answer. */
  loseAnswers: LoseAnswers
  /** Excess requests wait in order; 0 means unlimited. A transaction counts as one write. */
  maxWritesPerSecond: number
  /** Excess requests wait in order; 0 means unlimited. A scan counts as one read. */
  maxReadsPerSecond: number
}

/** A stand-in without faults. */
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

/** Seeded numbers in [0, 1) (mulberry32), so that a failing run can be repeated. */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** Decides answer by answer whether it is lost. */
export class AnswerLoss {
  #source: LoseAnswers | undefined
  #random: () => number = () => 1

  isLost(setting: LoseAnswers): boolean {
    if ('next' in setting) {
      if (setting.next <= 0) return false
      setting.next -= 1
      return true
    }
    if (setting !== this.#source) {
      this.#source = setting
      this.#random = seededRandom(setting.seed)
    }
    return this.#random() < setting.probability
  }
}
