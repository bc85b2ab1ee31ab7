import t from 'tap'
import { createRunnerSpeeds, type RunnerSpeeds } from '../src/index.js'
import { createRandom } from './generated-runs.js'

const runner = { runnerId: 'i-1', startedAt: 100 }

function observeRuns(speeds: RunnerSpeeds, ratios: readonly number[], at = 0, of = runner): void {
  for (const ratio of ratios) speeds.observe({ ...of, at, ratio })
}

const runs = (count: number, ratio: number) => new Array<number>(count).fill(ratio)

// Guards against avoiding a runner because it got one of the 3 in 100 long tasks.
void t.test('little evidence has little weight', t => {
  const speeds = createRunnerSpeeds()
  t.equal(speeds.factor('i-1', 100, 0), 1)
  observeRuns(speeds, [7])
  t.ok(speeds.factor('i-1', 100, 0) < 1.2)
  observeRuns(speeds, runs(30, 3))
  t.ok(speeds.factor('i-1', 100, 0) > 2)
  t.end()
})

// Guards against runners that count as slow by chance: with 3 in 100 tasks 7 times as long.
void t.test('equal runners stay near 1', t => {
  const speeds = createRunnerSpeeds()
  const random = createRandom(7)
  for (let number = 0; number < 200; number++) {
    const of = { runnerId: `i-${number}`, startedAt: 1 }
    for (let run = 0; run < 60; run++)
      observeRuns(speeds, [(random() < 0.03 ? 7 : 0.92) * (0.9 + 0.2 * random())], run * 100, of)
  }
  const factors = Array.from({ length: 200 }, (_, n) => speeds.factor(`i-${n}`, 1, 6_000))
  t.ok(Math.max(...factors) < 1.2, `highest ${Math.max(...factors).toFixed(2)}`)
  t.ok(Math.min(...factors) > 0.8, `lowest ${Math.min(...factors).toFixed(2)}`)
  t.end()
})

// Guards against a runner that is avoided for ever, as it gets no runs that show that it has recovered.
void t.test('evidence decays with time', t => {
  const speeds = createRunnerSpeeds()
  observeRuns(speeds, runs(40, 3))
  const factors = [0, 30_000, 60_000, 120_000, 240_000].map(now => speeds.factor('i-1', 100, now))
  t.same(
    factors,
    [...factors].sort((a, b) => b - a),
  )
  t.ok((factors[0] ?? 0) > 2.2 && (factors[3] ?? 9) < 1.5 && (factors[4] ?? 9) < 1.05)
  t.end()
})

// Guards against a machine that is repaired by a restart and still counts as slow.
void t.test('a runner that has restarted starts anew', t => {
  const speeds = createRunnerSpeeds()
  observeRuns(speeds, runs(40, 3))
  t.equal(speeds.factor('i-1', 200, 0), 1, 'also before the first run after the restart')
  observeRuns(speeds, runs(10, 1), 50, { ...runner, startedAt: 200 })
  observeRuns(speeds, runs(10, 3), 60)
  t.equal(speeds.factor('i-1', 200, 60), 1, 'late reports of the earlier start are ignored')
  t.end()
})

// Guards against memory that grows with each runner that was ever seen.
void t.test('only the runners with the latest runs are kept', t => {
  const speeds = createRunnerSpeeds()
  observeRuns(speeds, runs(40, 3))
  for (let number = 0; number < 1_024; number++)
    observeRuns(speeds, runs(40, 3), 1, { runnerId: `other-${number}`, startedAt: 1 })
  t.equal(speeds.factor('i-1', 100, 1), 1)
  t.ok(speeds.factor('other-0', 1, 1) > 2)
  t.end()
})

// Guards against ratios that make every later factor not a number.
void t.test('ratios that are no positive number are ignored', t => {
  const speeds = createRunnerSpeeds()
  observeRuns(speeds, [Number.NaN, 0, -1, Number.POSITIVE_INFINITY, 1])
  t.ok(Number.isFinite(speeds.factor('i-1', 100, 0)))
  t.end()
})
