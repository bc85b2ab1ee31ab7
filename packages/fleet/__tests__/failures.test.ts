import t from 'tap'
import { hostsTable } from '@bulrushbridge/host'
import { createWorld, type World } from './fixture.js'

const actions = (world: World, kind: string, action: string) =>
  world.decisions.filter(({ subject, action: own }) => subject.kind === kind && own === action)

void t.test('an unhealthy return halts the wave, and a repaired host lets it go on', async t => {
  const world = createWorld()
  const holder = world.takeDuty()
  await holder.run(() => world.rows().some(({ state }) => state === 'maintenance'))
  const away = world.rows().filter(({ state }) => state === 'maintenance')
  const sick = away[0]?.id ?? ''
  world.faults.returnUnhealthy.push(sick)
  t.ok(await holder.run(() => world.state(sick) === 'failed'))
  t.match(
    world.rows().find(({ id }) => id === sick),
    { outcome: 'unhealthy' },
  )
  t.match(actions(world, 'host', 'fail'), [{ rule: 'unhealthy-return', subject: { id: sick } }])
  const boots = Object.values(world.boots()).filter(count => count > 0).length
  await holder.run(() => false, 120)
  const others = world.rows().filter(({ id }) => id !== sick)
  t.ok(
    others.every(({ state }) => state === 'serving'),
    'hosts that are away still return',
  )
  t.equal(Object.values(world.boots()).filter(count => count > 0).length, boots)
  t.match(actions(world, 'wave', 'halt'), [{ rule: 'wave-halted', observed: { unhealthy: 1 } }])
  // The halt is in the rows, so a successor does not continue the wave either.
  const second = world.takeDuty()
  await second.run(() => false, 60)
  t.ok(others.every(({ id }) => world.state(id) === 'serving'))
  world.faults.returnUnhealthy.length = 0
  world.boot(sick)
  t.ok(await second.run(world.isRoundDone))
  t.same(world.broken, [])
})

void t.test('a host that never returns fails at its deadline and halts the wave', async t => {
  const world = createWorld({ workers: 0, spares: 0 })
  const holder = world.takeDuty()
  await holder.run(() => world.rows().some(({ state }) => state === 'maintenance'))
  const lost = world.rows().find(({ state }) => state === 'maintenance')?.id ?? ''
  world.faults.neverReturn.push(lost)
  t.ok(await holder.run(() => world.state(lost) === 'failed', 1_200))
  t.match(actions(world, 'host', 'fail'), [{ rule: 'return-deadline', subject: { id: lost } }])
  const keys = world.table.all(hostsTable).map(({ key }) => key)
  t.notOk(keys.some(key => key.endsWith(`/${lost}`)))
  await holder.run(() => false, 60)
  t.match(actions(world, 'wave', 'halt'), [{ observed: { reasons: /host-missing/ } }])
  t.ok(world.rows().every(({ id, state }) => id === lost || state === 'serving'))
  world.faults.neverReturn.length = 0
  t.ok(await holder.run(world.isRoundDone))
  t.same(new Set(Object.values(world.boots())), new Set([1]))
  t.same(world.broken, [])
})

void t.test('a host is failed after 30 s without being listed, not before', async t => {
  const world = createWorld()
  world.cfg.zonesOut.push('a')
  const holder = world.takeDuty()
  await holder.run(() => false, 5)
  world.unlisted.add('f1')
  await holder.run(() => false, 30)
  t.equal(world.state('f1'), 'serving')
  await holder.run(() => false, 3)
  t.equal(world.state('f1'), 'failed')
  // A successor starts to count anew, but does not bring the host back.
  const second = world.takeDuty()
  await second.run(() => false, 5)
  t.equal(world.state('f1'), 'failed')
  world.unlisted.clear()
  t.ok(await second.run(() => world.state('f1') === 'serving'))
  t.same(world.broken, [])
})

void t.test(
  'no host leaves on account of one that serves by its row and is not listed',
  async t => {
    const world = createWorld({ workers: 0, spares: 0 })
    const first = world.takeDuty()
    first.faults.stopAfter = world.hosts.length
    await first.run(() => first.faults.isStopped)
    world.unlisted.add('f1')
    const second = world.takeDuty()
    await second.run(() => false, 20)
    t.ok(world.rows().every(({ state }) => state === 'serving'))
    world.unlisted.clear()
    t.ok(await second.run(world.isRoundDone))
    t.same(world.broken, [])
  },
)

void t.test('a failed host that stays away is forgotten after a day', async t => {
  const world = createWorld({ workers: 1, spares: 0 })
  world.cfg.zonesOut.push('b')
  const holder = world.takeDuty()
  await holder.run(() => false, 2)
  world.unlisted.add('w0')
  await holder.run(() => world.state('w0') === 'failed')
  world.clock.advance(24 * 60 * 60_000)
  await holder.run(() => false, 2)
  t.equal(world.state('w0'), undefined)
  // It comes back: the platform remembers its generations, the rows do not.
  world.execute('w0', 'open', 1)
  world.unlisted.clear()
  world.cfg.zonesOut.length = 0
  t.ok(await holder.run(() => world.state('w0') === 'maintenance'))
  t.ok(await holder.run(() => world.state('w0') === 'serving'))
  t.same(world.broken, [])
})
