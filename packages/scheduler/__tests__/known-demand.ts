import {
  createDemandForecast,
  demandForecastSchema,
  type AcceptedWork,
  type DemandForecast,
} from '../src/index.js'
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

/**
 * Creates a forecast that another dispatcher continues at a given time: from the encoded state and
 * the jobs that are open then, which are taken to be those of the last `openMs`.
 *
 * @example
 * simulateDemandBursts({ seed, load, forecast: withTakeover(9_000, 2_000) })
 */
export function withTakeover(at: number, openMs: number): (now: number) => SimulatedForecast {
  const first = createDemandForecast()
  let second: SimulatedForecast | undefined
  const accepted: AcceptedWork[] = []
  const noteAccepted = (work: AcceptedWork) => {
    accepted.push(work)
    first.noteAccepted(work)
  }
  return now => {
    if (now < at) return { noteAccepted, ...askedOf(first) }
    if (second === undefined) {
      const saved: unknown = JSON.parse(JSON.stringify(first.encode()))
      second = createDemandForecast(demandForecastSchema.parse(saved))
      for (const work of accepted.reverse()) if (work.at >= at - openMs) second.noteAccepted(work)
    }
    return second
  }
}

function askedOf(forecast: DemandForecast): Pick<DemandForecast, 'expected' | 'expectedPeak'> {
  return {
    expected: (...args) => forecast.expected(...args),
    expectedPeak: (...args) => forecast.expectedPeak(...args),
  }
}
