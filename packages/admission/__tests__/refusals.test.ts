import { RequestError } from '@bulrushbridge/errors'
import { createFairQueue } from '@bulrushbridge/team-share'
import t from 'tap'
import {
  createAdmission,
  type AdmissionRequest,
  type AdmittedRequest,
  type StartRefusal,
} from '../src/index.js'

/** Creates an admission of one team whose slots and permits the test sets. */
function setup(slots: number) {
  const state = {
    now: 0,
    rng: 0,
    slots,
    free: slots,
    refusal: undefined as StartRefusal | undefined,
  }
  const shares = new Map([['a', 1]])
  const clock = { now: () => state.now }
  const admission = createAdmission<object>({
    pool: 'p',
    clock,
    rng: () => state.rng,
    slots: () => state.slots,
    free: () => state.free,
    tryStart: () => {
      if (state.refusal !== undefined) return state.refusal
      state.free -= 1
      return {}
    },
    queue: createFairQueue({ shares, clock, initialCostMs: 10 }),
    shares: () => shares,
    timers: { set: () => 0, clear: () => undefined },
  })
  const enter = (req: Partial<AdmissionRequest> = {}) =>
    admission.enter({ team: 'a', requestId: 'r', deadline: 1e6, ...req })
  const refusalOf = async (req: Partial<AdmissionRequest> = {}): Promise<RequestError> => {
    const err = await enter(req).then(
      () => undefined,
      (cause: unknown) => cause,
    )
    if (!(err instanceof RequestError)) throw new Error('the request was not refused')
    return err
  }
  const admittedRequests: AdmittedRequest<object>[] = []
  /** Ends a request after a run time of one second, so that another one starts. */
  const endOne = async () => {
    state.now += 1_000
    admittedRequests.shift()?.end()
    state.free = 1
    admission.startQueued('slot')
    await new Promise(resolve => setImmediate(resolve))
  }
  /** Queues requests until one is refused. */
  const fillQueue = async (): Promise<RequestError> => {
    const refused: RequestError[] = []
    for (let n = 0; n < 100 && refused.length === 0; n++) {
      void enter().then(
        admitted => admittedRequests.push(admitted),
        (err: unknown) => refused.push(err as RequestError),
      )
      await new Promise(resolve => setImmediate(resolve))
    }
    const [first] = refused
    if (first === undefined) throw new Error('nothing was refused')
    return first
  }
  return { state, admission, refusalOf, fillQueue, endOne }
}

void t.test('guards against refused callers that all retry at the same moment', async t => {
  const { state, refusalOf, fillQueue } = setup(2)
  t.equal((await fillQueue()).kind, 'queue-full')
  const hints: number[] = []
  for (const rng of [0, 0.25, 0.5, 0.999]) {
    state.rng = rng
    const { kind, outcome, retryAfterMs = 0 } = await refusalOf()
    t.same([kind, outcome], ['queue-full', 'not-run'])
    hints.push(retryAfterMs)
  }
  const [shortest = 0] = hints
  t.ok(shortest > 0)
  t.same(
    hints,
    [1, 1.25, 1.5, 1.999].map(factor => Math.ceil(shortest * factor)),
    'hints lie between one and two estimated waits',
  )
})

void t.test('guards against a retry hint that does not grow with the wait', async t => {
  const { refusalOf, fillQueue, endOne } = setup(1)
  await fillQueue()
  const before = (await refusalOf()).retryAfterMs ?? 0
  for (let n = 0; n < 2; n++) await endOne()
  await fillQueue()
  t.ok(((await refusalOf()).retryAfterMs ?? 0) > before, 'each request takes a second')
})

void t.test('guards against queueing for a pool without runners', async t => {
  const { state, refusalOf } = setup(1)
  state.slots = 0
  t.equal((await refusalOf()).kind, 'no-upstream')
})

void t.test('guards against queueing an expired request or one of a departed caller', async t => {
  const { state, refusalOf, admission } = setup(1)
  state.now = 500
  t.equal((await refusalOf({ deadline: 500 })).kind, 'deadline-passed')
  t.equal((await refusalOf({ signal: AbortSignal.abort() })).kind, 'caller-left')
  t.same(admission.demand(), [])
})

void t.test('guards against telling a team at its permit limit that the queue is full', async t => {
  const { state, fillQueue } = setup(2)
  state.refusal = 'no-permit'
  const err = await fillQueue()
  t.same([err.kind, err.outcome], ['team-limit-reached', 'not-run'])
})

void t.test('guards against queueing requests that cannot start in time', async t => {
  const { state, refusalOf, fillQueue, endOne } = setup(1)
  await fillQueue()
  for (let n = 0; n < 2; n++) await endOne()
  const err = await refusalOf({ deadline: state.now + 500 })
  t.same([err.kind, err.outcome], ['deadline-too-short', 'not-run'])
})
