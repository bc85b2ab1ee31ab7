import type { ResourceAmounts } from '@bulrushbridge/host'

/** Weight of the newest observation in the moving average. */
const newestWeight = 0.2

/** Number of observations of a kind before learned figures replace declared ones. */
const minObservations = 3

/** Standard deviations added to the mean, so that few jobs of a kind exceed their reservation. */
const marginDeviations = 3

/** Smallest margin as a fraction of the mean, because identical observations have no deviation. */
const marginFraction = 0.1

/**
 * Maximum number of kinds that are kept. The least recently observed kinds are dropped, which
 * bounds the size of the stored row.
 */
const maxKinds = 500

/** Peak resource usage and run time of one ended job, or the declared ones of a job. */
export interface ObservedJob extends ResourceAmounts {
  runMs: number
}

interface Estimate {
  mean: number
  variance: number
}

interface KindState {
  count: number
  estimates: Record<string, Estimate>
}

/** Stored state of {@link LearnedSizes}: entries by kind, the most recently observed last. */
export type LearnedSizesState = [kind: string, state: KindState][]

const quantities = ['cpus', 'memoryMb', 'accelerators', 'runMs'] as const

/** Sizes and run times of job kinds, learned from ended jobs. */
export interface LearnedSizes {
  observe(kind: string, job: ObservedJob): void
  /**
   * Size to reserve for a job: learned with a margin, or the declared one while too little is
   * known.
   */
  estimate(kind: string, declared: ObservedJob): ObservedJob
  /** Mean usage of jobs of a kind, without a margin; undefined while too little is known. */
  meanUsage(kind: string): ResourceAmounts | undefined
  /** Mean run time of a kind in milliseconds; undefined while too little is known. */
  meanRunMs(kind: string): number | undefined
  state(): LearnedSizesState
  restore(state: LearnedSizesState): void
}

/**
 * Creates the learned sizes of a pool: exponentially weighted means and variances by kind.
 * Estimates keep the declared number of accelerators, because jobs cannot share them.
 *
 * @example
 * const { cpus } = sizes.estimate(job.kind, job.request)
 */
export function createLearnedSizes(): LearnedSizes {
  const kinds = new Map<string, KindState>()
  return {
    observe: (kind, job) => {
      const kindState = kinds.get(kind) ?? { count: 0, estimates: {} }
      kinds.delete(kind)
      kinds.set(kind, kindState)
      for (const oldest of kinds.keys()) {
        if (kinds.size <= maxKinds) break
        kinds.delete(oldest)
      }
      kindState.count += 1
      for (const name of quantities) {
        const previous = kindState.estimates[name]
        kindState.estimates[name] =
          previous === undefined
            ? { mean: job[name], variance: 0 }
            : updateEstimate(previous, job[name])
      }
    },
    estimate: (kind, declared) => {
      const kindState = kinds.get(kind)
      if (kindState === undefined || kindState.count < minObservations) return declared
      const learned = (name: (typeof quantities)[number]) => {
        const { mean, variance } = kindState.estimates[name] ?? {
          mean: declared[name],
          variance: 0,
        }
        return mean + Math.max(marginDeviations * Math.sqrt(variance), marginFraction * mean)
      }
      return {
        cpus: learned('cpus'),
        memoryMb: learned('memoryMb'),
        accelerators: declared.accelerators,
        runMs: learned('runMs'),
      }
    },
    meanUsage: kind => {
      const kindState = kinds.get(kind)
      if (kindState === undefined || kindState.count < minObservations) return undefined
      const { cpus, memoryMb, accelerators } = kindState.estimates
      return {
        cpus: cpus?.mean ?? 0,
        memoryMb: memoryMb?.mean ?? 0,
        accelerators: accelerators?.mean ?? 0,
      }
    },
    meanRunMs: kind => {
      const kindState = kinds.get(kind)
      return kindState === undefined || kindState.count < minObservations
        ? undefined
        : kindState.estimates.runMs?.mean
    },
    state: () => [...kinds],
    restore: state => {
      for (const [kind, kindState] of state) kinds.set(kind, kindState)
    },
  }
}

/** Adds an observation to an exponentially weighted mean and variance. */
function updateEstimate({ mean, variance }: Estimate, value: number): Estimate {
  const step = newestWeight * (value - mean)
  return {
    mean: mean + step,
    variance: (1 - newestWeight) * (variance + step * (value - mean)),
  }
}
