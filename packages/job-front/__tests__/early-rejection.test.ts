import { createCallerServer } from '@bulrushbridge/caller-server'
import {
  createOperatorView,
  loadKey,
  partOf,
  progressTable,
  type LoadView,
  type SchedulerConfiguration,
} from '@bulrushbridge/scheduler'
import { createMemoryStore, waitUntil } from '@bulrushbridge/standins'
import { StoreError } from '@bulrushbridge/store'
import { createLogger, createMetrics, type LogFields } from '@bulrushbridge/telemetry'
import t, { type Test } from 'tap'
import { createAdmission } from '../src/admission.js'
import { createJobAcceptor, createJobHandler } from '../src/index.js'
import { loadView, organisation, queue, step } from './admission-fixture.js'

const cfg: SchedulerConfiguration = {
  version: 1,
  queues: [queue],
  pools: [{ name: queue.pool, isSpare: false }],
  organisations: [organisation('large', 10), organisation('small', 10)],
  maxBodyBytes: 10_000,
}

const burst = (changes: Partial<LoadView> = {}) =>
  loadView(
    [
      ['large', 1_000_000, 200_000, 90],
      ['small', 0, 0, 10],
    ],
    { at: 0, ...changes },
  )

const rowOf = (value: unknown) => ({ key: loadKey, value, isDeleted: false })

/** An entry host on a store in memory, with a view that is set by hand. */
async function setup(t: Test) {
  const view = createOperatorView({
    decoders: {
      configurationKey: 'config',
      configuration: value => value as SchedulerConfiguration,
      withdrawnZoneOf: () => undefined,
      wave: () => undefined,
    },
    onApplied: () => undefined,
    onUnreadable: () => undefined,
  })
  view.applyChanges([{ key: 'config', value: cfg, isDeleted: false }])
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  const log = createLogger({ program: 'test', level: 'silent' })
  const metrics = createMetrics()
  // The clocks stand still, so that a slow machine makes no view old.
  const admission = createAdmission({ log, metrics, now: () => 0, wallNow: () => 0 })
  const handler = createJobHandler({
    view,
    store,
    acceptor,
    admission,
    codec: {
      deadlineHeader: 'deadline-ms',
      isJobId: () => true,
      decodeKey: authorization => authorization,
      decodeJob: () => ({ payload: '', steps: [step] }),
      encodeStatus: status => ({ status }),
      encodeWaitingCount: waiting => ({ waiting }),
    },
    refreshView: () => Promise.resolve(),
    log,
    metrics,
  })
  const server = await createCallerServer({
    host: '127.0.0.1',
    port: 0,
    nextRequestId: () => 'request',
    routes: { '/**': handler },
    onError: () => undefined,
  })
  t.teardown(async () => {
    await server.close()
    await acceptor.close()
  })
  const submit = async (id: string, organisationName = 'large') => {
    const res = await fetch(`http://${server.address}${queue.pathPrefix}${id}`, {
      method: 'POST',
      headers: { authorization: organisationName, 'deadline-ms': '2000' },
      body: '{}',
    })
    const body = (await res.json()) as { error?: { kind: string; outcome: string } }
    return { status: res.status, retryAfter: res.headers.get('retry-after'), ...body.error }
  }
  const stored = (id: string) => store.read(progressTable, id, { part: partOf(id) })
  return { submit, store, stored, admission, metrics }
}

// Guards against a rejection that leaves a row behind, or whose job runs all the same.
void t.test('a rejection writes nothing, and the job can be submitted again later', async t => {
  const { submit, store, stored, admission } = await setup(t)
  admission.applyRows([rowOf(burst())])
  const rejected = await submit('a1')
  t.match(rejected, { status: 429, kind: 'job-not-in-time', outcome: 'not-run' })
  t.match(rejected.retryAfter, /^[1-9]\d*$/)
  t.equal(store.commitCalls, 0)
  t.equal(await stored('a1'), undefined)
  t.match(await submit('a2', 'small'), { status: 200 }, 'another organisation is served')
  admission.applyRows([rowOf(burst({ number: 2, queues: [] }))])
  t.match(await submit('a1'), { status: 200 }, 'the rejected job is accepted when there is room')
  t.ok(await stored('a1'))
})

// Guards against the answer "does not run" to the repeated submission of a job that was accepted and runs.
void t.test('a repetition of an accepted job gets 200, also from another host', async t => {
  const { submit, admission, store, stored } = await setup(t)
  t.match(await submit('b1'), { status: 200 })
  admission.applyRows([rowOf(burst())])
  t.match(await submit('b1'), { status: 200 })
  const elsewhere = { table: progressTable, key: 'b2', value: { status: 'queued', queue: 'quick' } }
  await store.commit({ checks: [], writes: [elsewhere] }, { part: partOf('b2') })
  t.match(await submit('b2'), { status: 200 }, 'stored by another host')
  t.match(await submit('b3'), { status: 429 }, 'a new job')
  t.equal(await stored('b3'), undefined)
})

// Guards against the same while the transaction that stores the job has not been answered, so that a read does
// not show the job yet.
void t.test('a repetition is not rejected while the first submission may be stored', async t => {
  const { submit, admission, store } = await setup(t)
  store.fault = 'late'
  t.match(await submit('c1'), { status: 504, kind: 'acceptance-unknown', outcome: 'unknown' })
  admission.applyRows([rowOf(burst())])
  store.fault = 'none'
  t.match(await submit('c1'), { status: 200 })

  const commit = store.commit.bind(store)
  let release: () => void = () => undefined
  const released = new Promise<void>(resolve => (release = resolve))
  let isHeld = false
  store.commit = async (tx, opts) => {
    isHeld = true
    await released
    return commit(tx, opts)
  }
  admission.applyRows([rowOf(burst({ number: 2, queues: [] }))])
  const first = submit('c2')
  await waitUntil(() => isHeld)
  admission.applyRows([rowOf(burst({ number: 3 }))])
  const second = submit('c2')
  t.match(await submit('c3'), { status: 429 })
  release()
  t.match(await first, { status: 200 })
  t.match(await second, { status: 200 })
})

// Guards against a rejection that cannot know whether the job was accepted before.
void t.test('nothing is rejected while the store cannot be read', async t => {
  const { submit, admission, store, metrics } = await setup(t)
  admission.applyRows([rowOf(burst())])
  store.read = () => Promise.reject(new StoreError('the store did not respond to a read'))
  t.match(await submit('d1'), { status: 200 })
  t.match(metrics.render(), /bulrush_admissions_total\{reason="store-unreadable"\} 1/)
})

function createLoggedAdmission() {
  const lines: { message: string; fields: LogFields }[] = []
  const record = (message: string, fields: LogFields = {}) => {
    lines.push({ message, fields })
  }
  const metrics = createMetrics()
  const clock = { now: 1_000 }
  const admission = createAdmission({
    log: { debug: record, info: record, warn: record, error: record },
    metrics,
    now: () => clock.now,
    wallNow: () => clock.now,
  })
  const request = (id: string) => ({
    id,
    cfg,
    queue,
    organisation: 'large',
    job: { payload: '', steps: [step] },
  })
  return { lines, metrics, clock, admission, request }
}

// Guards against rejections by a row that a deposed dispatcher, or a late transaction, has stored last.
void t.test('a view of an earlier term, or an earlier one of its term, is not used', t => {
  const { admission, clock, request, lines } = createLoggedAdmission()
  const isRejected = () => admission.check(request('x')) !== undefined
  const apply = (value: unknown) => {
    admission.applyRows([rowOf(value)])
  }
  t.notOk(isRejected(), 'no view')
  apply(burst({ at: clock.now }))
  t.ok(isRejected())
  t.ok(admission.hasWaitedRecently())
  apply(burst({ at: clock.now, number: 2, queues: [] }))
  apply(burst({ at: clock.now, number: 1 }))
  t.notOk(isRejected(), 'an outdated view of the same term')
  apply(burst({ at: clock.now, term: 8 }))
  t.ok(isRejected())
  apply(burst({ at: clock.now, term: 8, number: 2, queues: [] }))
  apply(burst({ at: clock.now, term: 7, number: 9 }))
  t.notOk(isRejected(), 'an earlier term')
  apply(burst({ at: clock.now, term: 9 }))
  clock.now += 1_001
  t.notOk(isRejected(), 'an old view')
  apply(burst({ at: clock.now - 900, term: 9, number: 2 }))
  t.ok(isRejected())
  clock.now += 200
  t.notOk(isRejected(), 'a view that was already old when it arrived')
  apply(burst({ at: clock.now + 60_000, term: 9, number: 3 }))
  t.notOk(isRejected(), 'a view from the future')
  const applyWithStoreTime = (changes: Partial<LoadView>, storeTimeMs: number) => {
    admission.applyRows([rowOf(burst({ term: 10, ...changes }))], storeTimeMs)
  }
  applyWithStoreTime({ at: clock.now + 60_000, storeAt: 500, number: 1 }, 1_500)
  t.ok(isRejected(), 'the clock of the store tells the age where those of the hosts differ')
  applyWithStoreTime({ at: clock.now, storeAt: 500, number: 2 }, 1_501)
  t.notOk(isRejected(), 'a view that is old by the clock of the store')
  applyWithStoreTime({ at: clock.now, storeAt: 500, number: 3 }, 600)
  t.ok(isRejected())
  apply({ format: 99 })
  apply('x')
  t.notOk(isRejected(), 'a malformed row')
  t.equal(lines.filter(({ message }) => message.includes('malformed')).length, 1)
  clock.now += 5_001
  t.notOk(admission.hasWaitedRecently())
  t.end()
})

// Guards against mistakes that nobody sees: rejections of jobs for which there was room after all.
void t.test('rejections are counted by what later views show', t => {
  const { admission, clock, request, metrics, lines } = createLoggedAdmission()
  let number = 0
  const apply = (changes: Partial<LoadView> = {}) => {
    number += 1
    admission.applyRows([rowOf(burst({ at: clock.now, number, ...changes }))])
  }
  const rejectOne = (id: string) => {
    const rejection = admission.check(request(id))
    if (rejection !== undefined) admission.reject(rejection)
  }
  const count = (verdict: string) => {
    const line = new RegExp(`reviewed_total.*verdict="${verdict}"} (\\d+)`).exec(metrics.render())
    return Number(line?.[1] ?? 0)
  }
  apply()
  rejectOne('a')
  rejectOne('b')
  for (let ms = 0; ms < 6_000; ms += 500) {
    clock.now += 500
    apply()
  }
  t.equal(count('confirmed'), 2)
  rejectOne('c')
  clock.now += 500
  apply({ queues: [] })
  t.equal(count('could-be-served'), 1)
  clock.now += 500
  apply()
  rejectOne('d')
  clock.now += 30_000
  apply()
  t.equal(count('unknown'), 1, 'views were missing')
  t.match(metrics.render(), /bulrush_early_rejections_total\{queue="quick"\} 4/)
  const logged = lines.filter(({ message }) => message === 'job rejected early')
  t.equal(logged.length, 3, 'at most one line a second')
  t.match(logged[0]?.fields, { queue: 'quick', organisation: 'large', ageMs: 0, term: 7 })
  t.end()
})
