import t from 'tap'
import { createRunnerFailureTracker } from '../src/index.js'

// A broken worker fails every task that it starts and would use up the attempts of all jobs.
void t.test('a runner on which several jobs fail is quarantined for some time', t => {
  const tracker = createRunnerFailureTracker()
  t.notOk(tracker.recordFailure('r1', 'job-1', 0))
  t.notOk(tracker.recordFailure('r1', 'job-2', 10))
  t.ok(tracker.recordFailure('r1', 'job-3', 20))
  t.ok(tracker.isQuarantined('r1', 1_000))
  t.notOk(tracker.isQuarantined('r1', 4_000))
  t.end()
})

// A job that can never succeed fails on every runner.
void t.test('a job that fails everywhere quarantines no runner', t => {
  const tracker = createRunnerFailureTracker()
  for (let i = 0; i < 10; i++) t.notOk(tracker.recordFailure('r1', 'job-1', i))
  t.end()
})

void t.test('a runner whose runs mostly succeed is not quarantined', t => {
  const tracker = createRunnerFailureTracker()
  for (let i = 0; i < 10; i++) tracker.recordSuccess('r1', `job-${i}`, i)
  for (let i = 0; i < 4; i++) t.notOk(tracker.recordFailure('r1', `bad-${i}`, 20 + i))
  t.end()
})

// Guards against new runs for a runner that answers polls while nothing progresses there, and against
// a quarantine that is renewed with each check.
void t.test('a stuck runner is quarantined, and longer each time', t => {
  const tracker = createRunnerFailureTracker()
  t.ok(tracker.recordStuck('r1', 0))
  t.notOk(tracker.recordStuck('r1', 200))
  t.ok(tracker.isQuarantined('r1', 2_900))
  t.notOk(tracker.isQuarantined('r1', 3_000))
  t.ok(tracker.recordStuck('r1', 3_100))
  t.ok(tracker.isQuarantined('r1', 9_000))
  t.end()
})
