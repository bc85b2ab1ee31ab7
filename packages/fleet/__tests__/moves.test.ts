import t from 'tap'
import { createWorld, type World } from './fixture.js'

/** A zone is out, so no host leaves for maintenance; two finders fail and the pool is short. */
async function shortWorld() {
  const world = createWorld()
  world.cfg.services.finder.availability.minServing = 0.6
  world.cfg.zonesOut.push('c')
  const holder = world.takeDuty()
  await holder.run(() => world.rows().length === world.hosts.length)
  world.unlisted.add('f1')
  return { world, holder }
}

const lent = (world: World) =>
  world.rows().filter(({ home, pool }) => home === 'reserve' && pool === 'finder')

void t.test('a pool below its budget gets a host of the spare pool, without a reboot', async t => {
  const { world, holder } = await shortWorld()
  t.ok(await holder.run(() => lent(world).some(({ state }) => state === 'serving')))
  const [host] = lent(world)
  t.equal(world.boots()[host?.id ?? ''], 0)
  t.match(
    world.decisions.filter(({ rule }) => rule === 'move-budget'),
    [{ observed: { from: 'reserve', pool: 'finder' } }],
  )
  await holder.run(() => false, 60)
  t.equal(lent(world).length, 1, 'one move fills the shortage')
  t.same(world.broken, [])
})

void t.test('a move continues after a stop behind any write, in exactly one pool', async t => {
  const before = (await shortWorld()).holder.faults.commits
  for (let n = before + 1; n <= before + 12; n++) {
    const { world, holder } = await shortWorld()
    holder.faults.stopAfter = n
    await holder.run(() => holder.faults.isStopped, 60)
    const second = world.takeDuty()
    t.ok(await second.run(() => lent(world).some(({ state }) => state === 'serving')), `${n}`)
    await second.run(() => false, 30)
    t.equal(lent(world).length, 1, `${n}: one host is lent`)
    t.same(world.broken, [], `${n}: rules`)
  }
})

void t.test('a store outage in the middle of a move leaves the host in one pool', async t => {
  for (const state of ['draining', 'joining']) {
    const { world, holder } = await shortWorld()
    const isMoving = () => world.rows().some(row => row.home === 'reserve' && row.state === state)
    t.ok(await holder.run(() => isMoving() && world.cfg.zonesOut.length > 0))
    holder.faults.isDown = true
    await holder.run(() => false, 60)
    holder.faults.isDown = false
    t.ok(await holder.run(() => lent(world).some(row => row.state === 'serving')))
    t.same(world.broken, [])
  }
})

void t.test(
  'a lent host goes home when its pool has had a surplus for the cost of a move',
  async t => {
    const { world, holder } = await shortWorld()
    await holder.run(() => lent(world).some(({ state }) => state === 'serving'))
    world.unlisted.clear()
    world.cfg.zonesOut.length = 0
    t.ok(await holder.run(world.isRoundDone, 2_000))
    const isHome = () => world.rows().every(({ home, pool }) => home === pool)
    t.ok(await holder.run(isHome, 2_000))
    t.same(world.broken, [])
  },
)
