import { createManualClock, seededRandom } from '@bulrushbridge/standins'
import type { UpstreamClient } from '@bulrushbridge/upstream-link'
import t from 'tap'
import { createRouter, type AttemptResult, type RoutingDecision } from '../src/index.js'

const runnerCount = 6

/** Creates the router of a pool whose runners have all responded in 100 ms. */
function setUp() {
  const clock = createManualClock()
  const decisions: RoutingDecision[] = []
  const ids = Array.from({ length: runnerCount }, (_, i) => `r${i}`)
  const router = createRouter({
    service: {
      name: 's',
      slots: 8,
      connections: 64,
      runners: ids.map((id, i) => ({
        id,
        host: `h${i}`,
        zone: 'a',
        address: `127.0.0.1:${i + 1}`,
      })),
    },
    zone: 'a',
    rng: seededRandom(3),
    clock,
    createClient: ({ runner }) => ({ runner }) as unknown as UpstreamClient,
    onDecision: decision => decisions.push(decision),
  })
  const reserveAt = (id: string, idempotent = false) => {
    const slot = router.reserve({ exclude: new Set(ids.filter(each => each !== id)), idempotent })
    if (slot === undefined) throw new Error(`runner ${id} has no free slot`)
    return slot
  }
  const recordAttempt = (id: string, result: AttemptResult, latencyMs: number) => {
    const slot = reserveAt(id)
    slot.report(result, latencyMs)
    slot.release()
  }
  for (const id of ids) for (let i = 0; i < 8; i++) recordAttempt(id, 'ok', 100)
  const others = ids.slice(1)
  return { clock, decisions, router, reserveAt, recordAttempt, others }
}

void t.test(
  'guards against a slow runner that is noticed only at the deadlines of its requests',
  t => {
    const { clock, decisions, reserveAt, recordAttempt, others } = setUp()
    const stalled = [reserveAt('r0'), reserveAt('r0')]
    let ejectionCount = 0
    for (const slot of stalled) slot.onEjected(() => ejectionCount++)
    const longRequest = reserveAt('r1')
    const download = [reserveAt('r2'), reserveAt('r2')]
    for (const slot of download) slot.responseStarted()
    for (let ms = 0; ms < 400; ms += 50) {
      clock.advance(50)
      for (const id of others.slice(2)) recordAttempt(id, 'ok', 100)
    }
    t.match(decisions, [{ kind: 'ejected', runner: 'r0', observed: { unanswered: 2 } }])
    t.equal(decisions.length, 1, 'neither a single long request nor long responses eject a runner')
    t.equal(ejectionCount, 2)
    for (const slot of [...stalled, ...download, longRequest]) slot.release()
    t.end()
  },
)

void t.test('guards against ejections after a pause of this process', t => {
  const { clock, decisions, reserveAt, recordAttempt, others } = setUp()
  for (const id of ['r0', ...others]) for (let i = 0; i < 2; i++) reserveAt(id)
  clock.advance(5_000)
  recordAttempt('r5', 'ok', 5_000)
  t.same(decisions, [])
  t.end()
})

void t.test(
  'guards against a runner that stays in use because its requests hit their deadlines',
  t => {
    const { clock, decisions, recordAttempt, others } = setUp()
    for (let i = 0; i < 16; i++) recordAttempt('r1', 'late', 50)
    for (let i = 0; i < 16; i++) recordAttempt('r0', 'late', 150)
    clock.advance(1_100)
    for (const id of others) recordAttempt(id, 'ok', 100)
    t.match(decisions, [{ kind: 'ejected', runner: 'r0' }])
    t.equal(decisions.length, 1, 'requests with less time than the median of the pool do not count')
    t.end()
  },
)

void t.test('guards against trials that make a request miss its deadline or come too often', t => {
  const { clock, decisions, router, reserveAt, recordAttempt } = setUp()
  for (let i = 0; i < 5; i++) recordAttempt('r0', 'failed', 0)
  clock.advance(1_001)
  t.notOk(router.isTrialDue(300), 'not enough time for a trial of 200 ms and its repetition')
  for (const pause of [2_000, 4_000, 8_000]) {
    t.ok(router.isTrialDue(400))
    const trial = reserveAt('r0', true)
    t.equal(trial.trialLimitMs, 200)
    trial.report('ok', 250)
    trial.release()
    clock.advance(pause - 1)
    t.notOk(router.isTrialDue(1e6))
    clock.advance(1)
  }
  clock.advance(10_000)
  t.ok(router.isTrialDue(1), 'an overdue trial uses any request, so that the runner can return')
  const trial = reserveAt('r0', true)
  trial.report('ok', 150)
  trial.release()
  t.match(decisions.at(-1), { kind: 'reinstated', runner: 'r0', observed: { trials: 4 } })
  t.end()
})
