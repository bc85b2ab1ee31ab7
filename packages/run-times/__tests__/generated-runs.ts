import { createRunTimeModel, type FinishedRun, type RunTimeModel } from '../src/index.js'

/** A generated run, and the run time of tasks of its image that are not long. */
export interface GeneratedRun extends FinishedRun {
  usualMs: number
}

/** Options of {@link generateRuns}. */
export interface GeneratedRunsOptions {
  seed: number
  count: number
  /** Images of each queue, with their usual run time in milliseconds and their cores. */
  images: readonly { queue: string; image: string; usualMs: number; cpuMillis: number }[]
  /** Whether the declared estimate is off by a factor of each run, or of each image. */
  declaredBy: 'run' | 'image'
}

/** Spread of the run times of an image: the standard deviation of their logarithm. */
const spread = 0.08

/** Returns a function that yields numbers in [0, 1), by the generator of Park and Miller. */
export function createRandom(seed: number): () => number {
  let state = (seed % 2_147_483_646) + 1
  return () => {
    state = (state * 48_271) % 2_147_483_647
    return (state - 1) / 2_147_483_646
  }
}

/**
 * Generates runs as section 1 of docs/hard-load.md describes them: declared estimates are off by up to
 * 90%, three tasks in a hundred take seven times as long as the others, and images differ.
 */
export function* generateRuns(opts: GeneratedRunsOptions): Generator<GeneratedRun> {
  const random = createRandom(opts.seed)
  const declaredFactor = () => 0.1 + 1.8 * random()
  const factorOfImage = new Map(opts.images.map(({ image }) => [image, declaredFactor()]))
  for (let number = 0; number < opts.count; number++) {
    const { usualMs, ...kind } = opts.images[Math.floor(random() * opts.images.length)] ?? never()
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
    const longFactor = random() < 0.03 ? 7 : 1
    const factor =
      opts.declaredBy === 'run' ? declaredFactor() : (factorOfImage.get(kind.image) ?? 1)
    yield {
      ...kind,
      declaredMs: usualMs * factor,
      ms: usualMs * longFactor * Math.exp(spread * normal),
      usualMs,
    }
  }
}

/** Quick and larger jobs of two queues, whose images take 0.4 to 1.3 s. */
export const differingImages = [
  { queue: 'finder', image: 'finder/index:4', usualMs: 660, cpuMillis: 6_200 },
  { queue: 'finder', image: 'finder/rank:2', usualMs: 1_200, cpuMillis: 13_000 },
  { queue: 'finder', image: 'finder/tiny:1', usualMs: 400, cpuMillis: 3_100 },
  { queue: 'mapper', image: 'mapper/tile:9', usualMs: 640, cpuMillis: 6_200 },
  { queue: 'mapper', image: 'mapper/join:1', usualMs: 1_300, cpuMillis: 13_000 },
]

/** Mean absolute error of the logarithm of predictions, as a factor minus 1. */
export function meanFactorOff(pairs: readonly (readonly [predicted: number, actual: number])[]) {
  const sum = pairs.reduce((total, [a, b]) => total + Math.abs(Math.log(a / b)), 0)
  return Math.exp(sum / pairs.length) - 1
}

/** Predicts each run before it is observed, in three ways; leaves out the first `warmUp` runs. */
export function comparePredictions(runs: Iterable<GeneratedRun>, warmUp: number) {
  const model: RunTimeModel = createRunTimeModel()
  const learned: [number, number][] = []
  const byQueue: [number, number][] = []
  const declared: [number, number][] = []
  let number = 0
  for (const run of runs) {
    if (number >= warmUp) {
      learned.push([model.estimate(run).meanMs, run.ms])
      byQueue.push([model.estimateMs(run.queue, run.declaredMs), run.ms])
      declared.push([run.declaredMs, run.ms])
    }
    model.observe(run)
    number += 1
  }
  return {
    learned: meanFactorOff(learned),
    byQueue: meanFactorOff(byQueue),
    declared: meanFactorOff(declared),
  }
}

function never(): never {
  throw new Error('there are no images')
}
