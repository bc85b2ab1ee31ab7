import { RequestError } from '@bulrushbridge/errors'
import { createFairQueue } from '@bulrushbridge/team-share'
import fc from 'fast-check'
import t from 'tap'
import { createAdmission, type AdmittedRequest, type StartRefusal } from '../src/index.js'

interface Slot {
  used: boolean
}

function setup(slots: number, shares: Record<string, number>, order?: 'deadline') {
  const state = { now: 0, running: 0, timers: 0, onTimer: (): void => undefined }
  const blocked = new Map<string, StartRefusal>()
  const weights = new Map(Object.entries(shares))
  const clock = { now: () => state.now }
  const results: string[] = []
  const admittedRequests: AdmittedRequest<Slot>[] = []
  const admission = createAdmission<Slot>({
    pool: 'p',
    clock,
    rng: () => 0.5,
    slots: () => slots,
    free: () => slots - state.running,
    tryStart: team => {
      const refusal = blocked.get(team)
      if (refusal) return refusal
      state.running++
      return { used: true }
    },
    ...(order && { order }),
    queue: createFairQueue({ shares: weights, clock, initialCostMs: 10 }),
    shares: () => weights,
    timers: {
      set: fn => {
        state.timers++
        state.onTimer = fn
        return fn
      },
      clear: () => {
        state.timers--
      },
    },
  })
  const enter = (team: string, requestId: string, deadline = 1e6, signal?: AbortSignal) =>
    admission.enter({ team, requestId, deadline, ...(signal && { signal }) }).then(
      admitted => {
        results.push(`${requestId}:start`)
        admittedRequests.push(admitted)
      },
      (err: unknown) => {
        const isNotRun = err instanceof RequestError && err.outcome === 'not-run'
        results.push(`${requestId}:${isNotRun ? err.kind : 'wrong error'}`)
      },
    )
  const finish = () => {
    const admitted = admittedRequests.shift()
    if (!admitted) return
    admitted.end()
    state.running--
    admission.startQueued('slot')
  }
  return { state, blocked, admission, results, enter, finish }
}

const settle = () => new Promise(resolve => setImmediate(resolve))

void t.test('guards against a team at its limit that blocks others or loses its place', async t => {
  const { blocked, admission, results, enter, finish } = setup(1, { a: 1, b: 1 })
  blocked.set('a', 'no-permit')
  void enter('a', 'a1')
  void enter('b', 'b1')
  void enter('b', 'b2')
  await settle()
  t.same(results, ['b1:start'])
  blocked.clear()
  admission.startQueued()
  blocked.set('a', 'no-permit')
  finish()
  await settle()
  t.same(results, ['b1:start', 'b2:start'], 'a was blocked while requests started')
  blocked.clear()
  void enter('b', 'b3')
  admission.startQueued()
  finish()
  await settle()
  t.same(results, ['b1:start', 'b2:start', 'a1:start'])
})

void t.test('guards against one team that fills the whole queue', async t => {
  const { results, enter, admission } = setup(2, { a: 1, b: 1 })
  for (let i = 0; i < 12; i++) void enter('a', `a${i}`)
  await settle()
  t.ok(results.includes('a9:queue-full'), 'an eighth of the queue was reserved for b')
  for (let i = 0; i < 4; i++) void enter('b', `b${i}`)
  await settle()
  t.same(admission.demand(), [
    { team: 'a', running: 2, waiting: 4 },
    { team: 'b', running: 0, waiting: 4 },
  ])
  t.ok(results.includes('a8:queue-full'), 'the newest queued request of a was evicted')
  t.notOk(results.some(result => result.startsWith('b')))
})

void t.test(
  'guards against requests that stay queued past their deadline and against a timer per request',
  async t => {
    const { state, results, enter } = setup(1, { a: 1 })
    void enter('a', 'a1')
    void enter('a', 'a2', 50)
    void enter('a', 'a3', 40)
    void enter('a', 'a4', 60)
    t.equal(state.timers, 1)
    state.now = 50
    state.onTimer()
    await settle()
    t.same(results, ['a1:start', 'a3:deadline-passed', 'a2:deadline-passed'])
  },
)

void t.test('guards against serving by arrival and starting what cannot end in time', async t => {
  const { state, results, enter, finish } = setup(1, { a: 1 }, 'deadline')
  void enter('a', 'a1')
  void enter('a', 'a2', 500)
  void enter('a', 'a3', 300)
  void enter('a', 'a4', 105)
  state.now = 100
  await settle()
  finish()
  await settle()
  t.same(results, ['a1:start', 'a4:deadline-too-short', 'a3:start'])
})

void t.test(
  'guards against requests that stay queued after a key withdrawal, a disconnect or an abort',
  async t => {
    const { results, enter, admission } = setup(1, { a: 1, b: 1 })
    const caller = new AbortController()
    void enter('a', 'a1')
    void enter('a', 'a2')
    void enter('b', 'b1', 1e6, caller.signal)
    void enter('b', 'b2')
    caller.abort()
    t.equal(
      admission.refuseTeam('a', () => new RequestError('key-invalid')),
      1,
    )
    const closed = admission.close()
    void enter('b', 'b3')
    admission.abort()
    await closed
    await settle()
    t.same(results.sort(), [
      'a1:start',
      'a2:key-invalid',
      'b1:caller-left',
      'b2:shutting-down',
      'b3:shutting-down',
    ])
  },
)

void t.test('guards against queueing requests with hardly more time than they need', async t => {
  const { state, results, enter } = setup(2, { a: 1 })
  for (let i = 0; i < 3; i++) void enter('a', `a${i}`)
  // Two requests of 10 ms run and one waits. A new one needs 10 ms of wait and 10 ms of work, which
  // may take three quarters of the time to its deadline.
  void enter('a', 'short', 26)
  void enter('a', 'long', 27)
  await settle()
  t.same(results, ['a0:start', 'a1:start', 'short:deadline-too-short'])
  state.now = 5
  void enter('a', 'later', 45)
  await settle()
  t.equal(results.length, 3, 'a pause between two starts does not lengthen the estimate')
})

void t.test('guards against requests whose promise settles twice or never', async t => {
  const step = fc.record({
    team: fc.constantFrom('a', 'b', 'c'),
    deadline: fc.integer({ min: -5, max: 200 }),
    wait: fc.nat(20),
    act: fc.constantFrom('enter', 'enter', 'finish', 'pump', 'block', 'withdraw'),
  })
  const property = fc.asyncProperty(fc.array(step, { maxLength: 80 }), async steps => {
    const { state, blocked, admission, results, enter, finish } = setup(2, { a: 4, b: 2, c: 1 })
    let entered = 0
    for (const { team, deadline, wait, act } of steps) {
      state.now += wait
      if (act === 'enter') void enter(team, `r${entered++}`, state.now + deadline)
      if (act === 'finish') finish()
      if (act === 'pump') admission.startQueued()
      if (act === 'block' && !blocked.delete(team)) blocked.set(team, 'no-permit')
      if (act === 'withdraw') admission.refuseTeam(team, () => new RequestError('key-invalid'))
      await settle()
    }
    admission.abort()
    await settle()
    const ids = results.map(result => result.split(':')[0])
    t.equal(ids.length, entered)
    t.equal(new Set(ids).size, entered)
    t.notOk(results.some(result => result.endsWith('wrong error')))
  })
  await fc.assert(property, { seed: 3, numRuns: 60 })
})
