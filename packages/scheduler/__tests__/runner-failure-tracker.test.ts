import t from 'tap'
import { createRunnerHealth } from '../src/index.js'

// Pattern: a worker fails everything that it starts, and would use up the attempts of all jobs.
void t.test('a runner that fails several jobs is closed for a time', t => {
  const health = createRunnerHealth()
  t.notOk(health.failed('r1', 'job-1', 0))
  t.notOk(health.failed('r1', 'job-2', 10))
  t.ok(health.failed('r1', 'job-3', 20))
  t.ok(health.isClosed('r1', 1_000))
  t.notOk(health.isClosed('r1', 4_000))
  t.end()
})

// Pattern: a job that can never be done fails wherever it runs.
void t.test('a job that fails everywhere closes no runner', t => {
  const health = createRunnerHealth()
  for (let i = 0; i < 10; i++) t.notOk(health.failed('r1', 'job-1', i))
  t.end()
})

void t.test('a runner that mostly succeeds stays open', t => {
  const health = createRunnerHealth()
  for (let i = 0; i < 10; i++) health.succeeded('r1', `job-${i}`, i)
  for (let i = 0; i < 4; i++) t.notOk(health.failed('r1', `bad-${i}`, 20 + i))
  t.end()
})
