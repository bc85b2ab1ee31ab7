import { seededRandom } from '@bulrushbridge/standins'
import t from 'tap'
import {
  createDemandForecast,
  demandForecastSchema,
  type AcceptedWork,
  type DemandForecast,
} from '../src/index.js'

/** Work of a job: 52 core-seconds in 1.1 s, as of the quick jobs of docs/hard-load.md. */
const job = { coreMs: 52_000, pathMs: 1_100 }
const epoch = 1_790_000_000_000
const burstMs = 4_000
const moveMs = 1_700
/** Jobs per second in a burst and outside it. */
const burstRate = 85
const quietRate = 1
const burstCores = (burstRate * job.coreMs) / 1_000

/** Returns jobs at random times, at a rate that may depend on the time. */
function arrivals(
  pool: string,
  rateAt: (ms: number) => number,
  fromMs: number,
  untilMs: number,
  seed = 1,
): AcceptedWork[] {
  const random = seededRandom(seed)
  const jobs: AcceptedWork[] = []
  for (let ms = fromMs; ms < untilMs; ms += 5)
    if (random() < rateAt(ms) / 200) jobs.push({ ...job, pool, at: epoch + ms })
  return jobs
}

/** Returns the jobs of pools whose bursts follow one another, each for `burstMs`. */
function cycle(pools: readonly string[], untilMs: number, seed = 1): AcceptedWork[] {
  return pools
    .flatMap((pool, i) => {
      const isBurst = (ms: number) => Math.floor(ms / burstMs) % pools.length === i
      return arrivals(pool, ms => (isBurst(ms) ? burstRate : quietRate), 0, untilMs, seed + i)
    })
    .sort((a, b) => a.at - b.at)
}

/** Adds jobs in order, while the forecast is asked every 100 ms as by the dispatcher. */
function replay(
  forecast: DemandForecast,
  jobs: readonly AcceptedWork[],
  fromMs: number,
  untilMs: number,
): void {
  const pools = [...new Set(jobs.map(({ pool }) => pool))]
  let next = jobs.findIndex(({ at }) => at >= epoch + fromMs)
  for (let ms = fromMs; ms <= untilMs; ms += 100) {
    for (; (jobs[next]?.at ?? Number.POSITIVE_INFINITY) < epoch + ms; next++) {
      const accepted = jobs[next]
      if (accepted !== undefined) forecast.noteAccepted(accepted)
    }
    for (const pool of pools) expectedAt(forecast, pool, ms)
  }
}

/** Cores expected when a machine ordered now has arrived. */
function expectedAt(forecast: DemandForecast, pool: string, ms: number): number {
  const now = epoch + ms
  return forecast.expected(pool, now + moveMs, now + moveMs + 1_000, now)
}

// Guards against machines that are ordered only when work waits, after a large part of a burst.
void t.test('a burst is noticed from its first jobs, within 0.4 s', t => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const forecast = createDemandForecast()
    const rateAt = (ms: number) => (ms >= 10_000 ? burstRate : quietRate)
    const jobs = arrivals('a', rateAt, 0, 10_400, seed)
    replay(forecast, jobs, 0, 10_000)
    t.ok(expectedAt(forecast, 'a', 10_000) < burstCores / 10, 'little is expected before')
    replay(forecast, jobs, 10_000, 10_400)
    const cores = expectedAt(forecast, 'a', 10_400)
    t.ok(cores > 0.6 * burstCores && cores < 1.5 * burstCores, `level is known (${cores})`)
  }
  t.end()
})

// Guards against moves for a few jobs that arrive together by chance while demand is low.
void t.test('chance does not look like a burst', t => {
  const forecast = createDemandForecast()
  const jobs = arrivals('a', () => quietRate, 0, 600_000)
  let bursts = 0
  let next = 0
  for (let ms = 0; ms < 600_000; ms += 100) {
    for (; (jobs[next]?.at ?? Number.POSITIVE_INFINITY) < epoch + ms; next++)
      forecast.noteAccepted(jobs[next] ?? { ...job, pool: 'a', at: epoch })
    if (expectedAt(forecast, 'a', ms) > burstCores / 4) bursts += 1
  }
  t.ok(bursts < 60, `a hundredth of the time at most (${bursts} of 6,000)`)
  t.end()
})

// Guards against a forecast that changes the planning of deployments with a steady demand.
void t.test('a steady demand is expected to stay, and followed when it changes', t => {
  const forecast = createDemandForecast()
  const jobs = arrivals('a', ms => (ms < 60_000 ? 50 : 10), 0, 80_000)
  replay(forecast, jobs, 0, 59_000)
  const before = expectedAt(forecast, 'a', 59_000) / 52
  t.ok(before > 40 && before < 60, `50 jobs a second (${before})`)
  replay(forecast, jobs, 59_000, 80_000)
  const after = expectedAt(forecast, 'a', 80_000) / 52
  t.ok(after < 25, `10 jobs a second, 20 s later (${after})`)
  t.end()
})

// Guards against a pool whose machines arrive after the beginning of a burst that recurs.
void t.test('a burst that recurs is expected before it begins', t => {
  const forecast = createDemandForecast()
  const jobs = cycle(['a', 'b', 'c', 'd'], 18_000)
  replay(forecast, jobs, 0, 18_000)
  const ahead = epoch + 20_500
  const now = epoch + 18_000
  const next = forecast.expected('b', ahead, ahead + 1_000, now)
  t.ok(next > 0.5 * burstCores, `the pool of the next burst (${next})`)
  t.ok(forecast.expected('c', ahead, ahead + 1_000, now) < burstCores / 10, 'the one after it')
  const last = forecast.expected('a', ahead + 1_500, ahead + 2_500, now)
  t.ok(last < burstCores / 10, `the pool whose burst ends (${last})`)
  t.end()
})

// Guards against machines that are kept for a burst that does not come.
void t.test('a predicted burst that does not begin is soon no longer expected', t => {
  const forecast = createDemandForecast()
  const jobs = cycle(['a', 'b', 'c', 'd'], 36_000).filter(({ at }) => at < epoch + 20_000)
  replay(forecast, jobs, 0, 19_500)
  t.ok(expectedAt(forecast, 'b', 19_500) > 0.2 * burstCores, 'expected before its time')
  replay(forecast, jobs, 19_500, 21_500)
  t.ok(expectedAt(forecast, 'b', 21_500) < burstCores / 10, 'not expected 1.5 s after its time')
  t.end()
})

// Guards against a new dispatcher that learns everything anew, or counts open jobs twice.
void t.test('a new dispatcher continues with the saved state', t => {
  const first = createDemandForecast()
  const jobs = cycle(['a', 'b', 'c', 'd'], 18_500)
  replay(first, jobs, 0, 18_500)
  const saved: unknown = JSON.parse(JSON.stringify(first.encode()))
  const second = createDemandForecast(demandForecastSchema.parse(saved))
  // The jobs of the last 1.5 s are still open; they are loaded in any order.
  for (const each of jobs.filter(({ at }) => at > epoch + 17_000).reverse())
    second.noteAccepted(each)
  for (const pool of ['a', 'b', 'c', 'd']) {
    const expected = expectedAt(first, pool, 18_500)
    const restored = expectedAt(second, pool, 18_500)
    t.ok(Math.abs(restored - expected) < 0.05 * burstCores, `${pool}: ${restored}, ${expected}`)
  }
  t.end()
})

// Guards against a new dispatcher without the row of the forecast, which expects nothing in a burst.
void t.test('without a state, the open jobs show the burst', t => {
  const forecast = createDemandForecast()
  const jobs = cycle(['a', 'b', 'c', 'd'], 18_500)
  for (const each of jobs.filter(({ at }) => at > epoch + 17_000).reverse())
    forecast.noteAccepted(each)
  t.ok(expectedAt(forecast, 'a', 18_500) > 0.6 * burstCores)
  t.end()
})

// Guards against a row that grows with the number of pools or bursts beyond what the store takes.
void t.test('the state stays under 4 kB and passes its schema', t => {
  const forecast = createDemandForecast()
  const pools = Array.from({ length: 40 }, (_, i) => `pool-with-a-long-name-${i}`)
  const jobs = pools.flatMap(pool => arrivals(pool, () => burstRate, 0, 6_000))
  for (const each of jobs) forecast.noteAccepted(each)
  for (const pool of pools) expectedAt(forecast, pool, 6_000)
  const state = forecast.encode()
  t.ok(Buffer.byteLength(JSON.stringify(state)) < 4_000)
  t.ok(demandForecastSchema.safeParse(state).success)
  t.notOk(demandForecastSchema.safeParse({ ...state, version: 2 }).success)
  t.end()
})

// Guards against a job with an impossible amount of work that spoils the forecast of its pool.
void t.test('work that is no positive number is ignored', t => {
  const forecast = createDemandForecast()
  for (const coreMs of [Number.NaN, Number.POSITIVE_INFINITY, -1, 0])
    forecast.noteAccepted({ pool: 'a', coreMs, at: epoch })
  t.equal(expectedAt(forecast, 'a', 100), 0)
  t.equal(expectedAt(forecast, 'unknown', 100), 0)
  t.end()
})

// Guards against a row from long ago or from a clock that was ahead, which would hide all later bursts.
void t.test('a state of another time does not hide a burst', t => {
  for (const shiftMs of [-86_400_000, 86_400_000]) {
    const first = createDemandForecast()
    replay(first, cycle(['a', 'b'], 18_500), 0, 18_500)
    const forecast = createDemandForecast(first.encode())
    const start = 18_500 - shiftMs
    t.equal(forecast.burstSince('a', epoch + start), undefined, 'the old burst is over')
    const jobs = arrivals('a', () => burstRate, start, start + 1_000)
    replay(forecast, jobs, start, start + 1_000)
    t.ok(expectedAt(forecast, 'a', start + 1_000) > 0.6 * burstCores, 'a new one is noticed')
  }
  t.end()
})
