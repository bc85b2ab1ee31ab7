import { createManualClock, seededRandom } from '@bulrushbridge/standins'
import type { UpstreamClient, UpstreamClientOptions } from '@bulrushbridge/upstream-link'
import t from 'tap'
import { createRetryBudget, createRouter, type RoutingDecision } from '../src/index.js'

function setUp(count = 9, zone = 'a', seed = 1) {
  const clock = createManualClock()
  const decisions: RoutingDecision[] = []
  const healthCallbacks = new Map<string, UpstreamClientOptions['onHealthCheck']>()
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
    createClient: opts => {
      healthCallbacks.set(opts.runner.id, opts.onHealthCheck)
      return { runner: opts.runner, close: () => Promise.resolve() } as unknown as UpstreamClient
    },
    onDecision: decision => decisions.push(decision),
  })
  const excludeAllBut = (id: string) =>
    new Set(runners.map(each => each.id).filter(each => each !== id))
  const recordAttempt = (id: string, result: 'ok' | 'failed', latencyMs = 1): void => {
    const slot = router.reserve({ exclude: excludeAllBut(id), idempotent: true })
    slot?.report(result, latencyMs)
    slot?.release()
  }
  return { router, clock, decisions, healthCallbacks, recordAttempt, excludeAllBut }
}

void t.test('the same zone is used first, and no runner gets more than its slots', t => {
  const { router } = setUp()
  const zones = Array.from({ length: 72 }, () => router.reserve({ idempotent: false })?.runner.zone)
  t.same(new Set(zones.slice(0, 24)), new Set(['a']))
  t.equal(router.freeSlots(), 0)
  t.equal(router.reserve({ idempotent: false }), undefined)
  t.ok([...router.inFlightByRunner().values()].every(inFlight => inFlight === 8))
  t.end()
})

void t.test('no new work for zones out, leaving hosts, shutdown and slots used by peers', t => {
  const { router, healthCallbacks } = setUp(3)
  router.setZonesOut(['a'])
  router.setLeavingHosts(['h1'])
  healthCallbacks.get('r2')?.('shutting-down')
  t.equal(router.reserve({ idempotent: true }), undefined)
  healthCallbacks.get('r2')?.('ok')
  router.setPeerLoad(new Map([['r2', 7]]))
  t.equal(router.freeSlots(), 1)
  t.equal(router.reserve({ idempotent: true })?.runner.id, 'r2')
  t.equal(router.reserve({ idempotent: true }), undefined)
  t.end()
})

void t.test(
  'guards against idle or overfilled slots of a full pool by outdated reports of peers',
  t => {
    const { router } = setUp(3)
    router.setPeerLoad(
      new Map([
        ['r0', 8],
        ['r1', 0],
      ]),
    )
    router.setRunnerQuotas(new Map([['r0', 2]]))
    t.equal(router.freeSlots(), 2, 'the quota applies, whatever the peers reported')
    const reserved = Array.from(
      { length: 3 },
      () => router.reserve({ idempotent: false })?.runner.id,
    )
    t.same(reserved, ['r0', 'r0', undefined])
    router.setRunnerQuotas(undefined)
    t.equal(router.freeSlots(), 16, 'without a quota, the slots that the peers do not use')
    t.end()
  },
)

void t.test('guards against full load on the runners of a zone that was just brought back', t => {
  const { router, clock } = setUp(3)
  router.setZonesOut(['a'])
  t.equal(router.freeSlots(), 16)
  clock.advance(60_000)
  router.setZonesOut([])
  t.equal(router.freeSlots(), 17, 'one slot at first')
  clock.advance(5_000)
  t.equal(router.freeSlots(), 20)
  router.setZonesOut(['b'])
  clock.advance(5_000)
  t.equal(router.freeSlots(), 16, 'runners that stayed in service keep all their slots')
  t.end()
})

void t.test('at most a third is ejected; trials run one at a time, and a slow start follows', t => {
  const { router, clock, decisions, recordAttempt, excludeAllBut } = setUp(6)
  for (const id of ['r0', 'r1', 'r2']) for (let i = 0; i < 5; i++) recordAttempt(id, 'failed')
  t.same(
    decisions.map(each => [each.kind, each.runner]),
    [
      ['ejected', 'r0'],
      ['ejected', 'r1'],
      ['not-ejected', 'r2'],
    ],
  )
  const onlyR0 = { exclude: excludeAllBut('r0'), idempotent: true }
  t.equal(router.reserve(onlyR0), undefined, 'no trial directly after the ejection')
  clock.advance(1_001)
  t.equal(router.reserve({ ...onlyR0, idempotent: false }), undefined, 'a trial must be idempotent')
  const trial = router.reserve(onlyR0)
  t.ok(trial)
  t.equal(router.reserve(onlyR0), undefined, 'one trial at a time')
  trial?.report('ok', 1)
  trial?.release()
  t.ok(router.reserve(onlyR0))
  t.equal(router.reserve(onlyR0), undefined, 'slow start begins with one slot')
  clock.advance(5_000)
  t.ok(router.reserve(onlyR0))
  t.end()
})

void t.test('a runner slower than three times the pool is ejected', t => {
  const { clock, decisions, recordAttempt } = setUp(6)
  for (let i = 0; i < 20; i++) {
    for (let n = 0; n < 6; n++) recordAttempt(`r${n}`, 'ok', n === 4 ? 400 : 100)
    clock.advance(200)
  }
  t.match(decisions, [{ kind: 'ejected', runner: 'r4', observed: { medianMs: 400 } }])
  t.equal(decisions.length, 1)
  t.end()
})

void t.test('entry hosts without reports of each other do not all choose the same runner', t => {
  const routers = Array.from({ length: 9 }, (_, i) => setUp(9, 'z', i + 1).router)
  const total = new Map<string, number>()
  for (let n = 0; n < 36; n++) {
    const id = routers[n % 9]?.reserve({ idempotent: true })?.runner.id ?? ''
    total.set(id, (total.get(id) ?? 0) + 1)
  }
  t.ok(Math.max(...total.values()) <= 8, 'no runner is sent more than its slots')
  t.end()
})

void t.test('retries are limited to a tenth of the requests of the last 10 s', t => {
  const clock = createManualClock()
  const retryBudget = createRetryBudget({ clock })
  t.notOk(retryBudget.tryTakeRetry())
  for (let i = 0; i < 20; i++) retryBudget.countRequest()
  t.same(
    [retryBudget.tryTakeRetry(), retryBudget.tryTakeRetry(), retryBudget.tryTakeRetry()],
    [true, true, false],
  )
  clock.advance(11_000)
  t.notOk(retryBudget.tryTakeRetry(), 'old requests no longer count')
  t.end()
})
