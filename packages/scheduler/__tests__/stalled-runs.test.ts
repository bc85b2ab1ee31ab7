import t from 'tap'
import { isStalled } from '../src/index.js'

// Tasks on some workers make no progress although health checks and polls of the workers succeed.
void t.test('a run that is overdue without progress is stalled, a slow one is not', t => {
  const run = { startedAt: 0, progressAt: 500, estimateMs: 1_000 }
  t.notOk(isStalled(run, 2_900))
  t.ok(isStalled(run, 3_500))
  t.notOk(isStalled({ ...run, progressAt: 3_000 }, 3_500))
  t.end()
})

void t.test('a long task has more time before it counts as stalled', t => {
  t.notOk(isStalled({ startedAt: 0, progressAt: 0, estimateMs: 5_000 }, 12_000))
  t.end()
})

// Guards against stopping one of the few long tasks again and again, while others on its runner progress.
void t.test('a run is not stalled within the time that hardly any task exceeds', t => {
  const run = { startedAt: 0, progressAt: 0, estimateMs: 700 }
  t.ok(isStalled(run, 4_000))
  t.notOk(isStalled({ ...run, longMs: 5_000 }, 4_000))
  t.ok(isStalled({ ...run, longMs: 5_000 }, 5_100))
  t.end()
})

// Guards against stopping runs on a slow runner that take as long there as is known.
void t.test('a run on a slow runner has more time', t => {
  const run = { startedAt: 0, progressAt: 0, estimateMs: 2_000 }
  t.ok(isStalled(run, 5_500))
  t.notOk(isStalled({ ...run, speedFactor: 3 }, 14_000))
  t.ok(isStalled({ ...run, speedFactor: 3 }, 15_500))
  t.ok(isStalled({ ...run, speedFactor: 0.2 }, 5_500), 'a fast runner has no less time')
  t.notOk(isStalled({ ...run, speedFactor: 0.2 }, 4_500))
  t.end()
})

// Guards against waiting for the time of a long task on a runner on which nothing progresses.
void t.test('on a stuck runner a run is stalled once it is overdue', t => {
  const run = { startedAt: 0, progressAt: 0, estimateMs: 2_000, longMs: 9_000 }
  t.ok(isStalled({ ...run, isRunnerStuck: true }, 2_600))
  t.notOk(isStalled({ ...run, isRunnerStuck: true, progressAt: 500 }, 2_600))
  t.notOk(isStalled({ ...run, isRunnerStuck: true }, 1_900))
  t.end()
})
