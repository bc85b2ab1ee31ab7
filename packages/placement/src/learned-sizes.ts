import type { WorkResources } from '@bulrushbridge/host'

/** Weight of the newest observation. */
const newestWeight = 0.2

/** Observations before learned figures replace declared ones. */
const minObservations = 3

/** Deviations added to the mean, so that few jobs of a kind exceed what they are given. */
const marginDeviations = 3

/** Fraction added to the mean in any case, because identical observations have no deviation. */
const marginFraction = 0.1

/** Kinds that are kept; the ones not observed for longest go, which bounds the stored row. */
const maxKinds = 500

/** What one ended job used at most, and for how long it ran. */
export interface ObservedJob extends WorkResources {
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

/** What is stored of the learned sizes, by kind; kinds observed last come last. */
export type LearnedState = [kind: string, state: KindState][]

const quantities = ['cpus', 'memoryMb', 'accelerators', 'runMs'] as const

/** Sizes and run times of job kinds, learned from ended jobs. */
export interface LearnedSizes {
  observe(kind: string, job: ObservedJob): void
  /** What to reserve for a job: learned figures with a margin, or what it declares. */
  estimate(kind: string, declared: ObservedJob): ObservedJob
  /** What jobs of a kind use on average, without a margin; undefined while too little is known. */
  mean(kind: string): WorkResources | undefined
  /** Mean run time of a kind in milliseconds; undefined while too little is known. */
  runMs(kind: string): number | undefined
  state(): LearnedState
  restore(state: LearnedState): void
}

/**
 * Creates the learned sizes of a pool: exponentially weighted means and deviations by kind.
 * Accelerators are always as declared, because a job cannot share them.
 *
 * @example
 * const { cpus } = sizes.estimate(job.kind, job.request)
 */
export function createLearnedSizes(): LearnedSizes {
  const kinds = new Map<string, KindState>()
  return {
    observe: (kind, job) => {
      const known = kinds.get(kind) ?? { count: 0, estimates: {} }
      kinds.delete(kind)
      kinds.set(kind, known)
      for (const oldest of kinds.keys()) {
        if (kinds.size <= maxKinds) break
        kinds.delete(oldest)
      }
      known.count += 1
      for (const name of quantities) {
        const before = known.estimates[name]
        known.estimates[name] =
          before === undefined ? { mean: job[name], variance: 0 } : moved(before, job[name])
      }
    },
    estimate: (kind, declared) => {
      const known = kinds.get(kind)
      if (known === undefined || known.count < minObservations) return declared
      const learned = (name: (typeof quantities)[number]) => {
        const { mean, variance } = known.estimates[name] ?? { mean: declared[name], variance: 0 }
        return mean + Math.max(marginDeviations * Math.sqrt(variance), marginFraction * mean)
      }
      return {
        cpus: learned('cpus'),
        memoryMb: learned('memoryMb'),
        accelerators: declared.accelerators,
        runMs: learned('runMs'),
      }
    },
    mean: kind => {
      const known = kinds.get(kind)
      if (known === undefined || known.count < minObservations) return undefined
      const { cpus, memoryMb, accelerators } = known.estimates
      return {
        cpus: cpus?.mean ?? 0,
        memoryMb: memoryMb?.mean ?? 0,
        accelerators: accelerators?.mean ?? 0,
      }
    },
    runMs: kind => {
      const known = kinds.get(kind)
      return known === undefined || known.count < minObservations
        ? undefined
        : known.estimates.runMs?.mean
    },
    state: () => [...kinds],
    restore: state => {
      for (const [kind, known] of state) kinds.set(kind, known)
    },
  }
}

function moved({ mean, variance }: Estimate, value: number): Estimate {
  const step = newestWeight * (value - mean)
  return {
    mean: mean + step,
    variance: (1 - newestWeight) * (variance + step * (value - mean)),
  }
}
