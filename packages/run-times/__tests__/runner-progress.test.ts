import t from 'tap'
import { runnerStateOf } from '../src/index.js'

const silent = { startedAt: 0, progressAt: 0, expectedMs: 700 }

// Guards against runs that hang for long on a runner that answers polls, on which nothing progresses.
void t.test('a runner is stuck when several runs are overdue and none progresses', t => {
  t.equal(runnerStateOf([silent, silent], undefined, 3_000), 'stuck')
  t.equal(runnerStateOf([silent, silent], undefined, 1_500), 'unknown', 'not overdue yet')
  const fresh = { startedAt: 2_900, progressAt: 2_900, expectedMs: 700 }
  t.equal(runnerStateOf([silent, silent, fresh], 100, 3_000), 'stuck', 'a new run shows nothing')
  t.end()
})

// Guards against taking a runner with one long task, or with nothing else, for a stuck one.
void t.test('one long task does not make a runner stuck', t => {
  t.equal(runnerStateOf([silent], undefined, 10_000), 'unknown')
  const working = { startedAt: 8_000, progressAt: 9_000, expectedMs: 700 }
  t.equal(runnerStateOf([silent, silent, working], undefined, 10_000), 'working')
  t.equal(runnerStateOf([silent, silent], 9_000, 10_000), 'working', 'another run has ended')
  t.end()
})

// Guards against tasks of hours, whose progress changes less than once in the time of the check.
void t.test('progress of long tasks counts for a part of their time', t => {
  const run = { startedAt: 0, progressAt: 4_000_000, expectedMs: 3_600_000 }
  t.equal(runnerStateOf([run, run], undefined, 6_000_000), 'stuck')
  t.equal(runnerStateOf([run, { ...run, progressAt: 5_800_000 }], undefined, 6_000_000), 'working')
  t.end()
})
