import t from 'tap'
import { createDemandForecast } from '../src/index.js'
import {
  burstPools,
  largeLoad,
  simulateDemandBursts,
  type DemandBurstsOptions,
  type DemandBurstsResult,
  type SimulatedForecast,
} from './demand-bursts.js'
import { createKnownDemand, withTakeover } from './known-demand.js'

const seeds = [1, 2, 3, 4, 5, 6]

/** Returns the means over all seeds; with the same seed, all policies get the same jobs. */
function simulateAllSeeds(opts: Omit<DemandBurstsOptions, 'seed'> = {}) {
  const results = seeds.map(seed => simulateDemandBursts({ seed, ...opts }))
  const mean = (key: keyof (typeof results)[0]) =>
    results.reduce((sum, result) => sum + result[key], 0) / results.length
  return {
    served: mean('served'),
    worstWindow: mean('worstWindow'),
    largest: mean('largest'),
    machineSeconds: mean('machineSeconds'),
  }
}

// Four queues have bursts of demand one after another. Each burst lasts 8.5 seconds at about five
// times the mean demand of the queue, which is more than its pool can run.
void t.test('bursts of demand reach one pool after another', { timeout: 120_000 }, t => {
  const moving = simulateAllSeeds()
  const fixed = simulateAllSeeds({ planMoves: () => [] })
  // Guards against moves of machines that do not increase the work served.
  t.ok(moving.served > fixed.served, 'moves serve more work than pools of fixed size')
  t.ok(moving.worstWindow > fixed.worstWindow, 'moves serve more in the worst seconds')
  // With every machine on for the whole time, pools of fixed size take 32 machines for 34 s.
  t.ok(moving.machineSeconds < (32 + 8) * 34, 'machines are off between the bursts')
  const late = simulateAllSeeds({ idlePauseMs: 1_000 })
  // Guards against plans of moves that are made too late in a burst.
  t.ok(moving.worstWindow >= late.worstWindow, 'machines are ordered as soon as work waits')
  // Target for callers: the largest tenth of the jobs is served at least half as well as all jobs.
  t.ok(moving.largest >= moving.served / 2, 'large jobs are not starved')
  t.end()
})

// Guards against a forecast that suits only the load that it was written for.
void t.test('bursts of 8.5 seconds in pools of eight machines', { timeout: 120_000 }, t => {
  const waiting = simulateAllSeeds()
  const results = seeds.map(seed => {
    const forecast = createDemandForecast()
    return simulateDemandBursts({ seed, forecast: () => forecast })
  })
  const served = results.reduce((sum, result) => sum + result.served, 0) / seeds.length
  t.ok(served > waiting.served, 'more is served than by the work that waits')
  t.end()
})

const seed = 1
/** Cost of a move, as seconds of a machine that is on. */
const moveCost = 1.3

type BurstAt = (now: number) => number | undefined

const inTurn: BurstAt = now => Math.floor(now / largeLoad.burstMs) % burstPools.length

type Options = Partial<DemandBurstsOptions>

/** Simulates the large load with a forecast that learns. */
function simulateForecast(opts: Options = {}) {
  const forecast = createDemandForecast()
  return simulateDemandBursts({ seed, load: largeLoad, forecast: () => forecast, ...opts })
}

/** Simulates the large load with the planner of before, 16 moves in each of two rounds a second. */
function simulateBefore(opts: Options = {}) {
  const load = { ...largeLoad, busyPauseMs: 500, maxMoves: 16 }
  return simulateDemandBursts({ seed, load, ...opts })
}

function simulateKnown(burstAt: BurstAt, opts: Options = {}) {
  const known = createKnownDemand(largeLoad, burstPools, burstAt)
  return simulateDemandBursts({ seed, load: largeLoad, forecast: () => known, burstAt, ...opts })
}

function costOf({ machineSeconds, moves }: DemandBurstsResult): number {
  return machineSeconds + moveCost * moves
}

void t.test('bursts of four seconds in pools of fifty machines', { timeout: 120_000 }, t => {
  const before = simulateBefore()
  const unlimited = simulateDemandBursts({ seed, load: largeLoad })
  const forecast = simulateForecast()
  const known = simulateKnown(inTurn)
  for (const [name, result] of Object.entries({ before, unlimited, forecast, known }))
    t.comment(name, result)
  // Guards against machines that arrive when most of a burst is over, which more moves in a round
  // alone do not solve.
  t.ok(forecast.served > before.served + 0.1, 'more is served than before')
  t.ok(forecast.served > unlimited.served + 0.05, 'more than with more moves a round alone')
  t.ok(forecast.worstWindow > before.worstWindow, 'also in the worst seconds')
  t.ok(forecast.served > known.served - 0.05, 'almost as much as if the day were known')
  // Guards against supply that is bought by machines that are idle.
  t.ok(costOf(forecast) < 1.05 * costOf(before), 'at no more cost')
  t.end()
})

void t.test('bursts that stop or change their order', { timeout: 120_000 }, t => {
  const order = [2, 0, 3, 0, 1, 3, 1, 2, 0]
  const days: Record<string, BurstAt> = {
    stopping: now => (now < 20_000 ? inTurn(now) : undefined),
    unordered: now => order[Math.floor(now / largeLoad.burstMs)],
  }
  for (const [name, burstAt] of Object.entries(days)) {
    const before = simulateBefore({ burstAt })
    const forecast = simulateForecast({ burstAt })
    t.comment(name, { before, forecast, known: simulateKnown(burstAt) })
    // Guards against a wrong forecast that costs more than the late moves of before.
    t.ok(forecast.served > before.served, `${name}: no less is served than before`)
    t.ok(costOf(forecast) < 1.1 * costOf(before), `${name}: wasted moves are bounded`)
  }
  t.end()
})

// Guards against a forecast that replaces the evidence of work that waits: declared run times are off
// by up to 90%.
void t.test('expected run times of half the true ones', { timeout: 120_000 }, t => {
  const learned = createDemandForecast()
  const halved: SimulatedForecast = {
    noteAccepted: work => {
      learned.noteAccepted({ ...work, coreMs: work.coreMs / 2 })
    },
    expected: (...args) => learned.expected(...args),
    expectedPeak: (...args) => learned.expectedPeak(...args),
  }
  const low = simulateForecast({ forecast: () => halved })
  const unlimited = simulateDemandBursts({ seed, load: largeLoad })
  t.comment(low)
  t.ok(low.served > unlimited.served, 'more is served than by the work that waits')
  t.end()
})

void t.test('a takeover in the middle of a burst', { timeout: 120_000 }, t => {
  const forecast = simulateForecast()
  const takenOver = simulateDemandBursts({
    seed,
    load: largeLoad,
    forecast: withTakeover(9_300, 2_000),
  })
  t.comment(takenOver)
  // Guards against a new dispatcher that has to learn the bursts again.
  t.ok(takenOver.served > forecast.served - 0.01, 'as much is served')
  t.ok(costOf(takenOver) < 1.02 * costOf(forecast), 'at the same cost')
  t.end()
})

void t.test('a rack crashes at the start of a burst', { timeout: 120_000 }, t => {
  // Twenty of the fifty machines of the pool whose burst begins.
  const crash = { rack: 0, at: 16_000, until: 26_000 }
  const before = simulateBefore({ crash })
  const forecast = simulateForecast({ crash })
  t.comment({ before, forecast, known: simulateKnown(inTurn, { crash }) })
  // Guards against a pool that counts crashed machines as capacity and gets no others for them.
  t.ok(forecast.served > before.served + 0.1, 'more is served than before')
  t.ok(forecast.worstWindow > before.worstWindow, 'also in the worst seconds')
  t.end()
})
