import type { PoolCores } from '@bulrushbridge/scheduler'

/** Time constant of the means, in milliseconds; about two runs of a short job. */
const timeConstantMs = 2_000

/** Cores below which a mean is forgotten. */
const minCores = 0.05

/** Means over time of the cores that organisations use in each pool. */
export interface RunningMeans {
  /** Replaces `busyCores` and `running` of the pools by their means over the last seconds. */
  apply(pools: readonly PoolCores[], now: number): PoolCores[]
}

/**
 * Creates the means of a term. Under full load the cores of an organisation vary around its share as single runs
 * end and begin. By the present value, a quarter of the submissions of an organisation that sent four times what
 * the pool can do counted as under its share, and were accepted.
 *
 * @example
 * const pools = means.apply(sumPoolCores(input), performance.now())
 */
export function createRunningMeans(): RunningMeans {
  const means = new Map<string, Map<string, number>>()
  let lastAt = Number.NEGATIVE_INFINITY
  return {
    apply: (pools, now) => {
      const kept = Math.exp((lastAt - now) / timeConstantMs)
      lastAt = now
      return pools.map(pool => {
        const earlier = means.get(pool.name) ?? new Map<string, number>()
        const current = new Map<string, number>()
        for (const [name, cores] of earlier) current.set(name, kept * cores)
        for (const [name, cores] of pool.running)
          current.set(name, (current.get(name) ?? 0) + (1 - kept) * cores)
        for (const [name, cores] of current) if (cores < minCores) current.delete(name)
        means.set(pool.name, current)
        const running = [...current].map(([name, cores]): [string, number] => [
          name,
          Math.round(cores * 100) / 100,
        ])
        const busyCores = running.reduce((sum, [, cores]) => sum + cores, 0)
        return { ...pool, busyCores, running }
      })
    },
  }
}
