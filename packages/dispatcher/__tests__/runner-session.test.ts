import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createAllocation } from '../src/allocation.js'
import {
  createTasksWithRuns,
  createTaskWithRun,
  createUnexpectedAllocation,
  openSession,
  registerAgain,
} from './session-fixture.js'

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

const order = { payload: '', checkpoint: '', ticket: undefined, leaseDeadline: 0, fence: 1, run: 1 }

// Guards against acknowledging too much: during an outage of the store, an end that needed no write
// was acknowledged, and with it earlier ends that were not stored; their tasks ran again.
void t.test('an end that is not stored holds back the acknowledgement of later ones', async t => {
  let store: () => void = () => undefined
  const storing = new Promise<void>(resolve => (store = resolve))
  const seen: string[] = []
  const { runner, session } = openSession({
    onEnd: (_session, end) => {
      seen.push(end.task)
      return end.task === 'slow' ? storing : Promise.resolve()
    },
  })
  await runner.api().start({ ...order, task: 'slow' })
  await runner.api().start({ ...order, task: 'quick' })
  runner.end('slow', 'done')
  await waitUntil(() => seen.includes('slow'))
  runner.end('quick', 'done')
  await waitUntil(() => seen.includes('quick'))
  // Longer than the session's wait for the store and its pause between polls.
  await new Promise(resolve => setTimeout(resolve, 1_500))
  t.equal(runner.acknowledged, 0)
  store()
  await waitUntil(() => runner.acknowledged === 2)
  await session.close()
})

// Guards against TWICE: a runner restarted and then started a run that was recorded for its earlier
// life; the first report that showed the restart also listed the run, which was given up all the same.
void t.test('a run that a restarted runner lists is kept', async t => {
  const givenUp: string[] = []
  const polls = { heldUntil: Promise.resolve() }
  const { runner, session } = openSession(
    {
      onRunGivenUp: (_session, { taskName }, cause) => givenUp.push(`${taskName} ${cause}`),
      allocateUnexpectedRun: (_session, name, run) => {
        givenUp.push(`${name} unexpected`)
        return createUnexpectedAllocation(name, run)
      },
    },
    api => ({
      ...api,
      poll: async request => {
        await polls.heldUntil
        return api.poll(request)
      },
    }),
  )
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  let answerPolls: () => void = () => undefined
  polls.heldUntil = new Promise(resolve => (answerPolls = resolve))
  runner.restart()
  const allocation = createAllocation(createTaskWithRun(), 1)
  session.add(allocation)
  await session.start(allocation, '', undefined)
  t.same(runner.startedRuns, [{ task: 'job.0.0.0', run: 1 }])
  answerPolls()
  registerAgain(session, runner)
  await waitUntil(() => session.runnerStartedAt === 2 && session.isAvailable)
  t.same(givenUp, [])
  t.equal(session.allocations.size, 1)
})

// Guards against TWICE: leases granted to a restarted runner counted as ended at once, so that its
// runs were given up when the next poll failed.
void t.test('leases of a restarted runner last until they can have ended', async t => {
  const givenUpAt: number[] = []
  let restartSeenAt = 0
  const { runner, session } = openSession(
    { onRunGivenUp: () => givenUpAt.push(performance.now()) },
    api => ({
      ...api,
      poll: async request => {
        const result = await api.poll(request)
        const isRestarted =
          result.outcome === 'done' && !result.value.isFenced && result.value.report.startedAt === 2
        if (isRestarted) {
          restartSeenAt = performance.now()
          runner.fault = 'unreachable'
        }
        return result
      },
    }),
  )
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  runner.restart()
  session.add(createAllocation(createTaskWithRun(), 1))
  await waitUntil(() => givenUpAt.length > 0)
  t.ok((givenUpAt[0] ?? 0) - restartSeenAt >= 300)
})

// Guards against TWICE: a restarted runner started a run by its first order, which got no answer, and
// refused the repetition as outdated; the run was given up as not started.
void t.test('an outdated repetition of a start does not end its run', async t => {
  const givenUp: string[] = []
  const fenced: number[] = []
  let attempts = 0
  const { runner, session } = openSession(
    {
      onRunGivenUp: (_session, { taskName }, cause) => givenUp.push(`${taskName} ${cause}`),
      onFenced: () => fenced.push(performance.now()),
    },
    api => ({
      ...api,
      start: async order => {
        attempts += 1
        if (attempts === 1) {
          runner.restart()
          await api.start(order)
          return { outcome: 'unknown', reason: 'no answer in time' }
        }
        registerAgain(session, runner)
        await waitUntil(() => session.runnerStartedAt === 2 && session.isAvailable)
        return api.start(order)
      },
    }),
  )
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  const allocation = createAllocation(createTaskWithRun(), 1)
  session.add(allocation)
  await session.start(allocation, '', undefined)
  t.equal(attempts, 2)
  t.same([...givenUp, ...fenced], [])
  t.same([...runner.running], [['job.0.0.0', 1]])
  t.equal(session.allocations.size, 1)
})

// Guards against acknowledging too much: after an idle session was woken by the registry entry of a
// restarted runner, its first poll carried the number of an end of the earlier life.
void t.test('the first poll of a runner that is registered again acknowledges nothing', async t => {
  const polls: { life: number; acknowledged: number; waitMs: number }[] = []
  let life = 1
  const { runner, session } = openSession({}, api => ({
    ...api,
    poll: async request => {
      polls.push({ life, acknowledged: request.acknowledged, waitMs: request.waitMs })
      return api.poll(request)
    },
  }))
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  const first = createTaskWithRun()
  const allocation = createAllocation(first, 1)
  session.add(allocation)
  await session.start(allocation, '', undefined)
  runner.end(first.name, 'done')
  await waitUntil(() => runner.acknowledged === 1)
  runner.fault = 'unreachable'
  const other = createAllocation(first, 1, { name: 'job.0.0.1', run: 1 })
  session.add(other)
  await waitUntil(() => session.unreachableSince !== undefined)
  session.unregister()
  session.remove(other)
  await pause(300)
  runner.restart()
  life = 2
  runner.fault = 'none'
  const { entry } = session
  if (entry === undefined) throw new Error('no entry')
  session.update({ ...entry, startedAt: 2 })
  await waitUntil(() => polls.some(poll => poll.life === 2))
  t.match(
    polls.find(poll => poll.life === 2),
    { acknowledged: 0, waitMs: 0 },
  )
})

// Guards against UNASKED: a stop that the earlier life of a runner accepted counted for the new life,
// so a run that the new life started by a late order was listed and never stopped.
void t.test('a run that was being stopped is stopped again after a restart', async t => {
  const polls = { heldUntil: Promise.resolve() }
  const { runner, session } = openSession({}, api => ({
    ...api,
    poll: async request => {
      await polls.heldUntil
      return api.poll(request)
    },
  }))
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  const first = createTaskWithRun()
  const allocation = createAllocation(first, 1)
  session.add(allocation)
  runner.fault = 'late'
  const starting = session.start(allocation, '', undefined)
  await waitUntil(() => runner.delayedCalls === 1)
  runner.fault = 'none'
  await starting
  t.equal(runner.running.get(first.name), 1, 'the second attempt starts the run')
  let answerPolls: () => void = () => undefined
  polls.heldUntil = new Promise(resolve => (answerPolls = resolve))
  await pause(100)
  await session.stop(allocation)
  t.equal(runner.running.size, 0)
  runner.restart()
  runner.applyDelayed()
  t.equal(runner.running.get(first.name), 1, 'the new life carries out the first attempt')
  answerPolls()
  registerAgain(session, runner)
  await waitUntil(() => session.isAvailable && session.runnerStartedAt === 2)
  await pause(1_000)
  t.equal(runner.running.size, 0, 'the run is stopped')
})

// Guards against UNASKED: a start without an answer was repeated after the job was cancelled and its
// run was ordered to stop.
void t.test('a start is not repeated once its run is being stopped', async t => {
  const attempts: number[] = []
  const { session } = openSession({}, api => ({
    ...api,
    start: async () => {
      attempts.push(performance.now())
      await pause(50)
      return { outcome: 'unknown', reason: 'no answer in time' }
    },
    stop: async () => {
      await pause(500)
      return { outcome: 'unknown', reason: 'no answer in time' }
    },
  }))
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  const first = createTaskWithRun()
  const allocation = createAllocation(first, 1)
  session.add(allocation)
  const starting = session.start(allocation, '', undefined)
  void session.stop(allocation)
  await starting
  t.equal(attempts.length, 1)
})

// Guards against an unexpected error in the poll of one runner, such as an answer that can't be applied,
// that ended the process.
void t.test('an error in a poll ends neither the session nor the process', async t => {
  let polls = 0
  const { session } = openSession({}, api => ({
    ...api,
    poll: request => {
      polls += 1
      return polls === 1 ? Promise.reject(new Error('unexpected')) : api.poll(request)
    },
  }))
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  t.ok(polls >= 2)
})

// Guards against TWICE: a runner returns at most 500 ends at a time; a run whose end is not among them
// is neither listed as running nor as ended, and was given up as vanished.
void t.test('a run whose end does not fit into the report is not given up', async t => {
  const givenUp: string[] = []
  const ended = new Set<string>()
  const stores: (() => void)[] = []
  const { runner, session } = openSession(
    {
      onRunGivenUp: (_session, { taskName }, cause) => givenUp.push(`${taskName} ${cause}`),
      onEnd: (_session, end) => {
        ended.add(end.task)
        return new Promise<void>(resolve => stores.push(resolve))
      },
    },
    api => ({
      ...api,
      poll: async request => {
        const result = await api.poll(request)
        if (result.outcome !== 'done' || result.value.isFenced) return result
        const { report } = result.value
        return {
          outcome: 'done',
          value: {
            isFenced: false,
            report: {
              ...report,
              ended: report.ended.slice(0, 500),
              hasMoreEnds: report.ended.length > 500,
            },
          },
        }
      },
    }),
  )
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  const tasks = createTasksWithRuns(501)
  for (const each of tasks) {
    const allocation = createAllocation(each, 1)
    session.add(allocation)
    await session.start(allocation, '', undefined)
  }
  await waitUntil(() => runner.running.size === 501)
  await pause(100)
  for (const { name } of tasks) runner.end(name, 'done')
  await waitUntil(() => ended.size >= 500)
  await pause(1_000)
  t.same(givenUp, [])
  for (const store of stores) store()
})

// Guards against leases on a wrong clock: the answer to a stop arrived after the restart of its runner,
// and the reading of the earlier clock became that of the present one.
void t.test('an answer of an earlier life does not set the clock of the present one', async t => {
  const clocks = [9_000_000, 1_000]
  let life = 0
  const deadlines: number[] = []
  let answerStop: () => void = () => undefined
  const stopAnswered = new Promise<void>(resolve => (answerStop = resolve))
  const { runner, session } = openSession({}, api => ({
    ...api,
    stop: async order => {
      const clockMs = clocks[life]
      const result = await api.stop(order)
      await stopAnswered
      if (result.outcome !== 'done') return result
      return { outcome: 'done', value: { ...result.value, clockMs } }
    },
    poll: async order => {
      if (life === 1 && order.leaseDeadline !== undefined) deadlines.push(order.leaseDeadline)
      const result = await api.poll(order)
      if (result.outcome !== 'done' || result.value.isFenced) return result
      const report = { ...result.value.report, clockMs: clocks[life] ?? 0 }
      return { outcome: 'done', value: { isFenced: false, report } }
    },
  }))
  t.teardown(() => session.close())
  await waitUntil(() => session.isAvailable)
  const task = createTaskWithRun()
  const allocation = createAllocation(task, 1)
  session.add(allocation)
  await session.start(allocation, '', undefined)
  void session.stop(allocation)
  await pause(50)
  runner.restart()
  life = 1
  registerAgain(session, runner)
  await waitUntil(() => session.isAvailable)
  answerStop()
  await pause(100)
  const later = createAllocation(task, 2, { name: 'job.0.0.1', run: 1 })
  session.add(later)
  await session.start(later, '', undefined)
  await waitUntil(() => deadlines.length > 2)
  t.ok((deadlines.at(-1) ?? 0) < 100_000, `lease to ${deadlines.at(-1)} on a clock near 1000`)
})
