import { createManualClock, seededRandom } from '@bulrushbridge/standins'
import type { RunnerLinks } from '@bulrushbridge/upstream-link'
import t from 'tap'
import { createRouter, type AttemptResult, type RoutingDecision } from '../src/index.js'

const count = 6

/** A pool whose runners have all answered in 100 ms. */
function setUp() {
  const clock = createManualClock()
  const decisions: RoutingDecision[] = []
  const ids = Array.from({ length: count }, (_, i) => `r${i}`)
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
    createLinks: ({ runner }) => ({ runner }) as unknown as RunnerLinks,
    onDecision: decision => decisions.push(decision),
  })
  const take = (id: string, idempotent = false) => {
    const slot = router.reserve({ exclude: new Set(ids.filter(each => each !== id)), idempotent })
    if (slot === undefined) throw new Error(`no slot at ${id}`)
    return slot
  }
  const use = (id: string, result: AttemptResult, ms: number) => {
    const slot = take(id)
    slot.report(result, ms)
    slot.release()
  }
  for (const id of ids) for (let i = 0; i < 8; i++) use(id, 'ok', 100)
  const others = ids.slice(1)
  return { clock, decisions, router, take, use, others }
}

void t.test('guards against a slow runner that is noticed only at its deadlines', t => {
  const { clock, decisions, take, use, others } = setUp()
  const stuck = [take('r0'), take('r0')]
  let told = 0
  for (const slot of stuck) slot.onEjected(() => told++)
  const long = take('r1')
  const download = [take('r2'), take('r2')]
  for (const slot of download) slot.answered()
  for (let ms = 0; ms < 400; ms += 50) {
    clock.advance(50)
    for (const id of others.slice(2)) use(id, 'ok', 100)
  }
  t.match(decisions, [{ kind: 'ejected', runner: 'r0', observed: { unanswered: 2 } }])
  t.equal(decisions.length, 1, 'neither one long request nor long answers eject a runner')
  t.equal(told, 2)
  for (const slot of [...stuck, ...download, long]) slot.release()
  t.end()
})

void t.test('guards against ejections after a pause of this process', t => {
  const { clock, decisions, take, use, others } = setUp()
  for (const id of ['r0', ...others]) for (let i = 0; i < 2; i++) take(id)
  clock.advance(5_000)
  use('r5', 'ok', 5_000)
  t.same(decisions, [])
  t.end()
})

void t.test('guards against a runner that stays in use because its requests hit deadlines', t => {
  const { clock, decisions, use, others } = setUp()
  for (let i = 0; i < 16; i++) use('r1', 'late', 50)
  for (let i = 0; i < 16; i++) use('r0', 'late', 150)
  clock.advance(1_100)
  for (const id of others) use(id, 'ok', 100)
  t.match(decisions, [{ kind: 'ejected', runner: 'r0' }])
  t.equal(decisions.length, 1, 'requests with less time than the pool takes say nothing')
  t.end()
})

void t.test('guards against trials that cost a caller its deadline or come too often', t => {
  const { clock, decisions, router, take, use } = setUp()
  for (let i = 0; i < 5; i++) use('r0', 'failed', 0)
  clock.advance(1_001)
  t.notOk(router.isTrialDue(300), 'too little time for a trial of 200 ms and its repetition')
  for (const pause of [2_000, 4_000, 8_000]) {
    t.ok(router.isTrialDue(400))
    const trial = take('r0', true)
    t.equal(trial.trialLimitMs, 200)
    trial.report('ok', 250)
    trial.release()
    clock.advance(pause - 1)
    t.notOk(router.isTrialDue(1e6))
    clock.advance(1)
  }
  clock.advance(10_000)
  t.ok(router.isTrialDue(1), 'an overdue trial takes any request, or the runner would never return')
  const trial = take('r0', true)
  trial.report('ok', 150)
  trial.release()
  t.match(decisions.at(-1), { kind: 'reinstated', runner: 'r0', observed: { trials: 4 } })
  t.end()
})
