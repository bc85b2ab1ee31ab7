import { createManualClock, seededRandom } from '@bulrushbridge/standins'
import type { RunnerLinks, RunnerClientOptions } from '@bulrushbridge/upstream-link'
import t from 'tap'
import { createRetryBudget, createRouter, type RoutingDecision } from '../src/index.js'

function setUp(count = 9, zone = 'a', seed = 1) {
  const clock = createManualClock()
  const decisions: RoutingDecision[] = []
  const health = new Map<string, RunnerClientOptions['onHealthCheck']>()
  const runners = Array.from({ length: count }, (_, i) => ({
    id: `r${i}`,
    host: `h${i}`,
    zone: 'abc'.charAt(i % 3),
    address: `127.0.0.1:${i + 1}`,
  }))
  const router = createRouter({
    service: { name: 's', slots: 8, connections: 64, runners },
    zone,
    rng: seededRandom(seed),
    clock,
    createLinks: opts => {
      health.set(opts.runner.id, opts.onHealthCheck)
      return { runner: opts.runner, close: () => Promise.resolve() } as unknown as RunnerLinks
    },
    onDecision: decision => decisions.push(decision),
  })
  const others = (id: string) => new Set(runners.map(each => each.id).filter(each => each !== id))
  const use = (id: string, result: 'ok' | 'failed', ms = 1): void => {
    const slot = router.reserve({ exclude: others(id), idempotent: true })
    slot?.report(result, ms)
    slot?.release()
  }
  return { router, clock, decisions, health, use, others }
}

void t.test('the near zone fills first, and no runner gets more than its slots', t => {
  const { router } = setUp()
  const zones = Array.from({ length: 72 }, () => router.reserve({ idempotent: false })?.runner.zone)
  t.same(new Set(zones.slice(0, 24)), new Set(['a']))
  t.equal(router.free(), 0)
  t.equal(router.reserve({ idempotent: false }), undefined)
  t.ok([...router.load().values()].every(inFlight => inFlight === 8))
  t.end()
})

void t.test('no new work for zones out, leaving hosts, shutdown and slots used by peers', t => {
  const { router, health } = setUp(3)
  router.setZonesOut(['a'])
  router.setLeaving(['h1'])
  health.get('r2')?.('shutting-down')
  t.equal(router.reserve({ idempotent: true }), undefined)
  health.get('r2')?.('ok')
  router.setPeerLoad(new Map([['r2', 7]]))
  t.equal(router.free(), 1)
  t.equal(router.reserve({ idempotent: true })?.runner.id, 'r2')
  t.equal(router.reserve({ idempotent: true }), undefined)
  t.end()
})

void t.test('guards against old reports of peers that idle or overfill slots of a full pool', t => {
  const { router } = setUp(3)
  router.setPeerLoad(
    new Map([
      ['r0', 8],
      ['r1', 0],
    ]),
  )
  router.setParts(new Map([['r0', 2]]))
  t.equal(router.free(), 2, 'its own part, whatever the peers reported')
  const taken = Array.from({ length: 3 }, () => router.reserve({ idempotent: false })?.runner.id)
  t.same(taken, ['r0', 'r0', undefined])
  router.setParts(undefined)
  t.equal(router.free(), 16, 'what the peers leave, once the pool has free slots')
  t.end()
})

void t.test('guards against a full load on the runners of a zone that just returned', t => {
  const { router, clock } = setUp(3)
  router.setZonesOut(['a'])
  t.equal(router.free(), 16)
  clock.advance(60_000)
  router.setZonesOut([])
  t.equal(router.free(), 17, 'one slot at first')
  clock.advance(5_000)
  t.equal(router.free(), 20)
  router.setZonesOut(['b'])
  clock.advance(5_000)
  t.equal(router.free(), 16, 'runners that stayed in service keep all their slots')
  t.end()
})

void t.test('ejection stops at a third; trials run one at a time, then slow start', t => {
  const { router, clock, decisions, use, others } = setUp(6)
  for (const id of ['r0', 'r1', 'r2']) for (let i = 0; i < 5; i++) use(id, 'failed')
  t.same(
    decisions.map(each => [each.kind, each.runner]),
    [
      ['ejected', 'r0'],
      ['ejected', 'r1'],
      ['not-ejected', 'r2'],
    ],
  )
  const only = { exclude: others('r0'), idempotent: true }
  t.equal(router.reserve(only), undefined, 'no trial at once')
  clock.advance(1_001)
  t.equal(router.reserve({ ...only, idempotent: false }), undefined, 'trials are idempotent')
  const trial = router.reserve(only)
  t.ok(trial)
  t.equal(router.reserve(only), undefined, 'one trial at a time')
  trial?.report('ok', 1)
  trial?.release()
  t.ok(router.reserve(only))
  t.equal(router.reserve(only), undefined, 'slow start begins with one slot')
  clock.advance(5_000)
  t.ok(router.reserve(only))
  t.end()
})

void t.test('a runner slower than three times the pool is ejected', t => {
  const { clock, decisions, use } = setUp(6)
  for (let i = 0; i < 20; i++) {
    for (let n = 0; n < 6; n++) use(`r${n}`, 'ok', n === 4 ? 400 : 100)
    clock.advance(200)
  }
  t.match(decisions, [{ kind: 'ejected', runner: 'r4', observed: { medianMs: 400 } }])
  t.equal(decisions.length, 1)
  t.end()
})

void t.test('entry hosts without a shared view do not herd on one runner', t => {
  const routers = Array.from({ length: 9 }, (_, i) => setUp(9, 'z', i + 1).router)
  const total = new Map<string, number>()
  for (let n = 0; n < 36; n++) {
    const id = routers[n % 9]?.reserve({ idempotent: true })?.runner.id ?? ''
    total.set(id, (total.get(id) ?? 0) + 1)
  }
  t.ok(Math.max(...total.values()) <= 8, 'no runner is sent more than its slots')
  t.end()
})

void t.test('retries stay within a tenth of the requests of the last 10 s', t => {
  const clock = createManualClock()
  const budget = createRetryBudget({ clock })
  t.notOk(budget.tryRetry())
  for (let i = 0; i < 20; i++) budget.countRequest()
  t.same([budget.tryRetry(), budget.tryRetry(), budget.tryRetry()], [true, true, false])
  clock.advance(11_000)
  t.notOk(budget.tryRetry(), 'old requests no longer count')
  t.end()
})
