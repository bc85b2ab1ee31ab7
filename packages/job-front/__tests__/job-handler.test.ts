import { EventEmitter, once } from 'node:events'
import { createCallerServer } from '@bulrushbridge/caller-server'
import {
  acceptedJobsTable,
  createOperatorView,
  partOf,
  type JobDefinition,
  type JobQueue,
  type SchedulerConfiguration,
} from '@bulrushbridge/scheduler'
import { createMemoryStore, waitUntil } from '@bulrushbridge/standins'
import { StoreError } from '@bulrushbridge/store'
import { createLogger, createMetrics } from '@bulrushbridge/telemetry'
import t, { type Test } from 'tap'
import { createJobAcceptor, createJobHandler } from '../src/index.js'

const queueWithPrefix = (name: string): JobQueue => ({
  name,
  hostName: '127.0.0.1',
  pathPrefix: `/${name}/`,
  pool: 'pool',
  priority: 0,
  maxAttempts: 1,
  stretch: 1,
  targetLatencyMs: 0,
  isAnonymousAllowed: true,
  advice: undefined,
})

const configurationWithQueue = (version: number, queue: string): SchedulerConfiguration => ({
  version,
  queues: [queueWithPrefix(queue)],
  pools: [{ name: 'pool', isSpare: false }],
  organisations: [],
  maxBodyBytes: 10_000,
})

/** An entry host whose view is outdated until `completeRefresh` is called. */
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
  const adopt = (value: SchedulerConfiguration) => {
    view.applyChanges([{ key: 'config', value, isDeleted: false }])
  }
  adopt(configurationWithQueue(1, 'removed'))
  let refreshCount = 0
  const refresh = new EventEmitter()
  const refreshed = once(refresh, 'complete')
  const completeRefresh = () => {
    adopt(configurationWithQueue(2, 'added'))
    refresh.emit('complete')
  }
  const store = createMemoryStore()
  const acceptor = createJobAcceptor(store)
  const server = await createCallerServer({
    host: '127.0.0.1',
    port: 0,
    nextRequestId: () => 'request',
    routes: {
      '/**': createJobHandler({
        view,
        store,
        acceptor,
        codec: {
          deadlineHeader: 'deadline-ms',
          isJobId: () => true,
          decodeKey: () => undefined,
          decodeJob: () => undefined,
          encodeStatus: status => ({ status }),
          encodeWaitingCount: waiting => ({ waiting }),
        },
        refreshView: () => {
          refreshCount += 1
          return refreshed.then(() => undefined)
        },
        log: createLogger({ program: 'test', level: 'silent' }),
        metrics: createMetrics(),
      }),
    },
    onError: () => undefined,
  })
  t.teardown(async () => {
    completeRefresh()
    await server.close()
    await acceptor.close()
  })
  const send = (method: string, path: string, waitMs?: number) => {
    const headers = waitMs === undefined ? {} : { 'deadline-ms': String(waitMs) }
    return fetch(`http://${server.address}${path}`, { method, headers })
  }
  const get = async (path: string) => (await send('GET', path)).status
  const cancel = async (path: string) => (await send('DELETE', path)).status
  return { send, get, cancel, store, acceptor, refreshCount: () => refreshCount, completeRefresh }
}

// Guards against a host that answers by a newer configuration and, to a request sent later, by an
// older one. A request for an added queue waits for the refresh of an outdated view; a later one for
// a removed queue was served meanwhile by the outdated view.
void t.test(
  'a request that arrives while the view is refreshed is answered by the new one',
  async t => {
    const host = await setup(t)
    const first = host.get('/added/')
    await waitUntil(() => host.refreshCount() === 1)
    const second = host.get('/removed/')
    await new Promise(resolve => setTimeout(resolve, 100))
    host.completeRefresh()
    t.equal(await first, 200)
    t.equal(await second, 404)
  },
)

const job: JobDefinition = {
  id: '00000000000000a1',
  queue: 'removed',
  payload: '',
  steps: [{ count: 1, amounts: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, estimateMs: 1 }],
  acceptedAt: 0,
}

// Guards against UNASKED: a caller that got no answer to its job cancelled it and was told that there is
// no such job; the transaction that stores the job took effect seconds later, and the job ran.
void t.test('a job that was cancelled as absent is not accepted later', async t => {
  const { store, acceptor, cancel, get } = await setup(t)
  const path = `/removed/${job.id}`
  store.fault = 'late'
  await t.rejects(acceptor.accept(job, performance.now() + 50))
  store.fault = 'none'
  t.equal(await cancel(path), 410)
  t.ok(store.applyDelayed().length > 0)
  t.equal(await store.read(acceptedJobsTable, job.id, { part: partOf(job.id) }), undefined)
  t.equal(await get(path), 410)
  t.equal(await cancel(path), 410)
})

// Guards against a caller that is told that its job is stored although it was cancelled before that.
void t.test('a job that was cancelled before it was stored is refused', async t => {
  const { acceptor, cancel } = await setup(t)
  t.equal(await cancel(`/removed/${job.id}`), 410)
  const err = await acceptor.accept(job, performance.now() + 1_000).catch((cause: unknown) => cause)
  t.match(err, { kind: 'job-cancelled' })
})

// Guards against a cancellation of an absent job that is refused for good, or that hides the job, when
// the job is stored between the read and the write of the cancellation.
void t.test('a job that is accepted during its cancellation is cancelled', async t => {
  const { store, acceptor, cancel, get } = await setup(t)
  const path = `/removed/${job.id}`
  const commit = store.commit.bind(store)
  let isFirst = true
  store.commit = async (tx, opts) => {
    if (isFirst) {
      isFirst = false
      await acceptor.accept(job, performance.now() + 1_000)
    }
    return commit(tx, opts)
  }
  t.equal(await cancel(path), 200)
  const cancellation = `${job.id}.cancel`
  t.ok(await store.read(acceptedJobsTable, cancellation, { part: partOf(job.id) }))
  t.equal(await get(path), 200)
})

// Guards against a caller that is told that its cancellation was certainly not
// stored, although an earlier attempt to store it got no answer and takes effect later.
void t.test('a cancellation without an answer is unknown, also when then refused', async t => {
  const { store, acceptor, send } = await setup(t)
  await acceptor.accept(job, performance.now() + 1_000)
  const commit = store.commit.bind(store)
  store.fault = 'late'
  store.commit = (tx, opts) => {
    const result = commit(tx, opts)
    store.fault = 'refuse'
    return result
  }
  const response = await send('DELETE', `/removed/${job.id}`, 1_250)
  t.equal(response.status, 504)
  t.equal(response.headers.get('bulrush-outcome'), 'unknown')
  t.match(store.applyDelayed(), [{ committed: true }])
})

// Guards against a cancellation that floods the store, whose calls are limited and shared, with
// attempts while the store refuses or fails at once.
void t.test('a cancellation that fails at once is retried after pauses', async t => {
  const { store, acceptor, send } = await setup(t)
  await acceptor.accept(job, performance.now() + 1_000)
  const cancelDuring = async (fault: typeof store.fault) => {
    const callsBefore = store.commitCalls
    store.fault = fault
    const { status, headers } = await send('DELETE', `/removed/${job.id}`, 1_500)
    const outcome = headers.get('bulrush-outcome')
    return { status, outcome, headers, calls: store.commitCalls - callsBefore }
  }
  const refused = await cancelDuring('refuse')
  t.match(refused, { status: 503, outcome: 'not-run' })
  t.ok(refused.headers.has('retry-after'))
  t.ok(refused.calls <= 5, `${refused.calls} calls, which are refused`)
  const lost = await cancelDuring('lose-before')
  t.match(lost, { status: 504, outcome: 'unknown' })
  t.ok(lost.calls <= 20, `${lost.calls} calls without an answer`)
})

// Guards against a cancellation that fails because of one refusal.
void t.test('a cancellation that is refused once is stored by a later attempt', async t => {
  const { store, acceptor, cancel } = await setup(t)
  await acceptor.accept(job, performance.now() + 1_000)
  const commit = store.commit.bind(store)
  store.fault = 'refuse'
  store.commit = (tx, opts) => {
    const result = commit(tx, opts)
    store.fault = 'none'
    return result
  }
  t.equal(await cancel(`/removed/${job.id}`), 200)
  t.ok(await store.read(acceptedJobsTable, `${job.id}.cancel`, { part: partOf(job.id) }))
})

// Guards against a caller that is told that nothing was done although the cancellation of an absent
// job is stored, because the read that follows it failed.
void t.test('a cancellation whose last read fails is unknown', async t => {
  const { store, acceptor, send } = await setup(t)
  const read = store.read.bind(store)
  let readCount = 0
  store.read = (table, key, opts) => {
    readCount += 1
    return readCount === 2 ? Promise.reject(new StoreError('no answer')) : read(table, key, opts)
  }
  const response = await send('DELETE', `/removed/${job.id}`)
  t.equal(response.status, 503)
  t.equal(response.headers.get('bulrush-outcome'), 'unknown')
  const err = await acceptor.accept(job, performance.now() + 1_000).catch((cause: unknown) => cause)
  t.match(err, { kind: 'job-cancelled' })
})
