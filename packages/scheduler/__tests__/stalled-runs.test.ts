import t from 'tap'
import { isStalled } from '../src/index.js'

// Pattern: tasks on some workers stand still while their health and their looks are good.
void t.test('a run that is overdue without progress is stalled, a slow one is not', t => {
  const run = { startedAt: 0, progressAt: 500, estimateMs: 1_000 }
  t.notOk(isStalled(run, 2_900))
  t.ok(isStalled(run, 3_500))
  t.notOk(isStalled({ ...run, progressAt: 3_000 }, 3_500))
  t.end()
})

void t.test('long tasks have more time', t => {
  t.notOk(isStalled({ startedAt: 0, progressAt: 0, estimateMs: 5_000 }, 12_000))
  t.end()
})
