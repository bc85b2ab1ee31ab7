import { RequestError } from '@bulrushbridge/errors'
import { createManualClock } from '@bulrushbridge/standins'
import type {
  UpstreamClient,
  SendHooks,
  UpstreamResponse,
  UpstreamRequest,
} from '@bulrushbridge/upstream-link'
import { Readable } from 'node:stream'
import t from 'tap'
import {
  createRetryBudget,
  dispatch,
  type Reservation,
  type ReserveOptions,
  type Router,
} from '../src/index.js'

/** Dispatches a request to a router of two runners, whose clients and timers the test controls. */
function setUp(opts: { trialLimitMs?: number; remainingMs?: number; idempotent?: boolean } = {}) {
  const clock = createManualClock()
  const log: string[] = []
  const state = { permits: 1, fireTimer: (): void => undefined, eject: (): void => undefined }
  const settleById = new Map<string, () => void>()
  const respondById = new Map<string, () => void>()
  const failById = new Map<string, (err: RequestError) => void>()
  const slot = (id: string): Reservation => ({
    runner: { id, host: id, zone: 'a', address: '127.0.0.1:1' },
    client: {
      send: (_req: UpstreamRequest, hooks: SendHooks) =>
        new Promise<UpstreamResponse>((resolve, reject) => {
          log.push(`${id} sent`)
          hooks.onStart?.(() => {
            reject(new RequestError('caller-left', { outcome: 'unknown' }))
          })
          failById.set(id, reject)
          respondById.set(id, () => {
            const body = Readable.from([])
            resolve({ status: 200, headers: {}, body, ended: Promise.resolve() })
          })
        }),
      settled: () => new Promise<void>(resolve => settleById.set(id, resolve)),
    } as unknown as UpstreamClient,
    isTrial: opts.trialLimitMs !== undefined,
    trialLimitMs: id === 'r1' ? opts.trialLimitMs : undefined,
    responseStarted: () => undefined,
    onEjected: cb => {
      if (id === 'r1') state.eject = cb
    },
    report: result => log.push(`${id} ${result}`),
    release: () => log.push(`${id} released`),
  })
  const reserve = ({ exclude }: ReserveOptions) => (exclude?.has('r2') ? undefined : slot('r2'))
  const { response, settled } = dispatch({
    router: { reserve, poolMedianMs: () => 100 } as unknown as Router,
    req: {
      id: 'm1-1-1',
      method: 'GET',
      path: '/',
      headers: [],
      team: 'a',
      deadline: clock.now() + (opts.remainingMs ?? 1_000),
    },
    idempotent: opts.idempotent ?? true,
    retryBudget: createRetryBudget({ clock, ratio: 10 }),
    clock,
    timers: {
      set: fn => (state.fireTimer = fn),
      clear: () => (state.fireTimer = () => undefined),
    },
    reservation: slot('r1'),
    takePermit: () => {
      if (state.permits === 0) return undefined
      state.permits--
      return { release: () => (state.permits += 1) }
    },
  })
  void settled.then(() => log.push('settled'))
  response.catch(() => undefined)
  const call = (callbacks: Map<string, () => void>, id: string) => callbacks.get(id)?.()
  return { log, state, response, failById, settleById, respondById, call }
}

const nextTurn = () => new Promise(resolve => setImmediate(resolve))

void t.test('guards against a request that misses its deadline because of a trial', async t => {
  const { log, state, response, settleById, respondById, call } = setUp({ trialLimitMs: 200 })
  await nextTurn()
  state.fireTimer()
  await nextTurn()
  t.same(log, ['r1 sent', 'r1 late', 'r2 sent'])
  call(respondById, 'r2')
  t.equal((await response).status, 200)
  await nextTurn()
  t.same(log.slice(3), ['r2 ok', 'r2 released'])
  t.equal(state.permits, 0, 'the first run still needs the second permit')
  call(settleById, 'r1')
  await nextTurn()
  t.same(log.slice(5), ['r1 released', 'settled'])
  t.equal(state.permits, 1)
})

void t.test('guards against two runs under one permit', async t => {
  const { log, state, response, respondById, call } = setUp({ trialLimitMs: 200 })
  state.permits = 0
  await nextTurn()
  state.fireTimer()
  await nextTurn()
  t.same(log, ['r1 sent'], 'the trial goes on')
  call(respondById, 'r1')
  t.equal((await response).status, 200)
})

void t.test('guards against requests that stay at a runner after its ejection', async t => {
  const { log, state } = setUp()
  await nextTurn()
  state.eject()
  state.eject()
  await nextTurn()
  t.same(log, ['r1 sent', 'r1 late', 'r2 sent'])
})

void t.test(
  'guards against a failover that is too late or of a request that is not idempotent',
  async t => {
    for (const opts of [{ remainingMs: 149 }, { idempotent: false }]) {
      const { log, state } = setUp(opts)
      await nextTurn()
      state.eject()
      await nextTurn()
      t.same(log, ['r1 sent'])
      t.equal(state.permits, 1)
    }
  },
)

void t.test('guards against a retry that waits although another permit is free', async t => {
  for (const permits of [1, 0]) {
    const { log, state, failById, settleById, call } = setUp()
    state.permits = permits
    await nextTurn()
    failById.get('r1')?.(new RequestError('upstream-failed', { outcome: 'unknown' }))
    await nextTurn()
    t.equal(log.includes('r2 sent'), permits === 1)
    call(settleById, 'r1')
    await nextTurn()
    t.ok(log.includes('r2 sent'))
    t.ok(log.includes('r1 released'))
  }
})

void t.test(
  'guards against the outcome not-run for a request whose earlier attempt has started',
  async t => {
    for (const isFailover of [true, false]) {
      const { state, response, failById } = setUp()
      await nextTurn()
      if (isFailover) state.eject()
      else failById.get('r1')?.(new RequestError('upstream-failed', { outcome: 'unknown' }))
      await nextTurn()
      failById.get('r2')?.(new RequestError('key-invalid', { outcome: 'not-run' }))
      const err: unknown = await response.catch((thrown: unknown) => thrown)
      t.match(err, { kind: 'key-invalid', outcome: 'unknown' })
    }
  },
)
