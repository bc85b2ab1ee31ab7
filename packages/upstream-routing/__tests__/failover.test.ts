import { RequestError } from '@bulrushbridge/errors'
import { createManualClock } from '@bulrushbridge/standins'
import type {
  RunnerLinks,
  SendHooks,
  UpstreamAnswer,
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

/** A request to a router of two runners, whose links and timers the test drives. */
function setUp(opts: { trialLimitMs?: number; leftMs?: number; idempotent?: boolean } = {}) {
  const clock = createManualClock()
  const log: string[] = []
  const state = { permits: 1, fire: (): void => undefined, eject: (): void => undefined }
  const settle = new Map<string, () => void>()
  const answer = new Map<string, () => void>()
  const fail = new Map<string, (err: RequestError) => void>()
  const slot = (id: string): Reservation => ({
    runner: { id, host: id, zone: 'a', address: '127.0.0.1:1' },
    links: {
      send: (_req: UpstreamRequest, hooks: SendHooks) =>
        new Promise<UpstreamAnswer>((resolve, reject) => {
          log.push(`${id} sent`)
          hooks.onStart?.(() => {
            reject(new RequestError('caller-left', { outcome: 'unknown' }))
          })
          fail.set(id, reject)
          answer.set(id, () => {
            const body = Readable.from([])
            resolve({ status: 200, headers: {}, body, ended: Promise.resolve() })
          })
        }),
      settled: () => new Promise<void>(resolve => settle.set(id, resolve)),
    } as unknown as RunnerLinks,
    isTrial: opts.trialLimitMs !== undefined,
    trialLimitMs: id === 'r1' ? opts.trialLimitMs : undefined,
    answered: () => undefined,
    onEjected: cb => {
      if (id === 'r1') state.eject = cb
    },
    report: result => log.push(`${id} ${result}`),
    release: () => log.push(`${id} released`),
  })
  const reserve = ({ exclude }: ReserveOptions) => (exclude?.has('r2') ? undefined : slot('r2'))
  const { answer: answered, settled } = dispatch({
    router: { reserve, medianMs: () => 100 } as unknown as Router,
    req: {
      id: 'm1-1-1',
      method: 'GET',
      path: '/',
      headers: [],
      team: 'a',
      deadline: clock.now() + (opts.leftMs ?? 1_000),
    },
    idempotent: opts.idempotent ?? true,
    retryBudget: createRetryBudget({ clock, ratio: 10 }),
    clock,
    timers: {
      set: fn => (state.fire = fn),
      clear: () => (state.fire = () => undefined),
    },
    reservation: slot('r1'),
    takePermit: () => {
      if (state.permits === 0) return undefined
      state.permits--
      return { release: () => (state.permits += 1) }
    },
  })
  void settled.then(() => log.push('settled'))
  answered.catch(() => undefined)
  const call = (calls: Map<string, () => void>, id: string) => calls.get(id)?.()
  return { log, state, answered, fail, settle, answer, call }
}

const turn = () => new Promise(resolve => setImmediate(resolve))

void t.test('guards against a trial that makes its request late', async t => {
  const { log, state, answered, settle, answer, call } = setUp({ trialLimitMs: 200 })
  await turn()
  state.fire()
  await turn()
  t.same(log, ['r1 sent', 'r1 late', 'r2 sent'])
  call(answer, 'r2')
  t.equal((await answered).status, 200)
  await turn()
  t.same(log.slice(3), ['r2 ok', 'r2 released'])
  t.equal(state.permits, 0, 'the first run still needs the second permit')
  call(settle, 'r1')
  await turn()
  t.same(log.slice(5), ['r1 released', 'settled'])
  t.equal(state.permits, 1)
})

void t.test('guards against two runs under one permit', async t => {
  const { log, state, answered, answer, call } = setUp({ trialLimitMs: 200 })
  state.permits = 0
  await turn()
  state.fire()
  await turn()
  t.same(log, ['r1 sent'], 'the trial goes on')
  call(answer, 'r1')
  t.equal((await answered).status, 200)
})

void t.test('guards against requests that stay at an ejected runner', async t => {
  const { log, state } = setUp()
  await turn()
  state.eject()
  state.eject()
  await turn()
  t.same(log, ['r1 sent', 'r1 late', 'r2 sent'])
})

void t.test('guards against a move that is too late, or of a non-idempotent request', async t => {
  for (const opts of [{ leftMs: 149 }, { idempotent: false }]) {
    const { log, state } = setUp(opts)
    await turn()
    state.eject()
    await turn()
    t.same(log, ['r1 sent'])
    t.equal(state.permits, 1)
  }
})

void t.test('guards against a retry that waits although another permit is free', async t => {
  for (const permits of [1, 0]) {
    const { log, state, fail, settle, call } = setUp()
    state.permits = permits
    await turn()
    fail.get('r1')?.(new RequestError('upstream-failed', { outcome: 'unknown' }))
    await turn()
    t.equal(log.includes('r2 sent'), permits === 1)
    call(settle, 'r1')
    await turn()
    t.ok(log.includes('r2 sent'))
    t.ok(log.includes('r1 released'))
  }
})

void t.test(
  'guards against "not run" said of a request whose earlier attempt has started',
  async t => {
    for (const isMove of [true, false]) {
      const { state, answered, fail } = setUp()
      await turn()
      if (isMove) state.eject()
      else fail.get('r1')?.(new RequestError('upstream-failed', { outcome: 'unknown' }))
      await turn()
      fail.get('r2')?.(new RequestError('key-invalid', { outcome: 'not-run' }))
      const err: unknown = await answered.catch((thrown: unknown) => thrown)
      t.match(err, { kind: 'key-invalid', outcome: 'unknown' })
    }
  },
)
