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
