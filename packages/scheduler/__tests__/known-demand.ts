import { demandOutsideBurst, type BurstLoad, type SimulatedForecast } from './demand-bursts.js'

/** Granularity of the known demand, in milliseconds. */
const stepMs = 100

/**
 * Creates a forecast that knows when bursts begin and end, for comparison with one that learns.
 *
 * @example
 * simulateDemandBursts({ seed, load, forecast: () => createKnownDemand(load, pools, burstAt) })
 */
export function createKnownDemand(
  load: BurstLoad,
  pools: readonly string[],
  burstAt: (now: number) => number | undefined,
): SimulatedForecast {
  const busyCores = (pool: string, from: number, until: number): number[] => {
    const index = pools.indexOf(pool)
    const kind = load.kinds[index]
    if (kind === undefined) return []
    const pathMs = kind.steps * kind.workMs
    const jobCoreMs = (kind.steps * kind.width * kind.cpuMillis * kind.workMs) / 1e3
    const rateAt = (at: number) => {
      if (at < 0 || at >= load.lengthMs) return 0
      const factor = burstAt(at) === index ? load.demandInBurst : demandOutsideBurst
      return (kind.jobsPerS * factor * jobCoreMs) / 1e3
    }
    const cores: number[] = []
    for (let at = from; at < until; at += stepMs) {
      let sum = 0
      let count = 0
      for (let t = at - pathMs; t < at; t += stepMs) {
        sum += rateAt(t)
        count += 1
      }
      cores.push(sum / count)
    }
    return cores
  }
  return {
    noteAccepted: () => undefined,
    expected: (pool, from, until) => {
      const cores = busyCores(pool, from, until)
      return cores.reduce((sum, each) => sum + each, 0) / Math.max(1, cores.length)
    },
    expectedPeak: (pool, from, until) => Math.max(0, ...busyCores(pool, from, until)),
  }
}
