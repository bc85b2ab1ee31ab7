import t from 'tap'
import { createWorld, type World } from './fixture.js'

/**
 * Creates a fleet whose pool `finder` is below its budget. Zone c is out, so that no maintenance
 * starts and two hosts of the pool are held; a third one is not listed and fails.
 */
async function createWorldWithShortage() {
  const world = createWorld()
  world.cfg.services.finder.availability.minServing = 0.6
  world.cfg.zonesOut.push('c')
  const holder = world.acquireDuty()
  await holder.runUntil(() => world.listHostRows().length === world.hosts.length)
  world.unlistedHosts.add('f1')
  return { world, holder }
}

const findLentHosts = (world: World) =>
  world.listHostRows().filter(({ home, pool }) => home === 'reserve' && pool === 'finder')

void t.test('a pool below its budget gets one host of the spare pool without a reboot', async t => {
  const { world, holder } = await createWorldWithShortage()
  t.ok(await holder.runUntil(() => findLentHosts(world).some(({ state }) => state === 'serving')))
  const [host] = findLentHosts(world)
  t.equal(world.countReboots()[host?.id ?? ''], 0)
  t.match(
    world.decisions.filter(({ rule }) => rule === 'move-budget'),
    [{ observed: { from: 'reserve', pool: 'finder' } }],
  )
  await holder.runUntil(() => false, 60)
  t.equal(findLentHosts(world).length, 1, 'one move fills the shortage')
  t.same(world.violations, [])
})

void t.test('the next lease holder continues a move after a stop behind any write', async t => {
  const commitsBefore = (await createWorldWithShortage()).holder.faults.commitCount
  for (let n = commitsBefore + 1; n <= commitsBefore + 12; n++) {
    const { world, holder } = await createWorldWithShortage()
    holder.faults.stopAfterCommits = n
    await holder.runUntil(() => holder.faults.isStopped, 60)
    const second = world.acquireDuty()
    t.ok(
      await second.runUntil(() => findLentHosts(world).some(({ state }) => state === 'serving')),
      `${n}`,
    )
    await second.runUntil(() => false, 30)
    t.equal(findLentHosts(world).length, 1, `${n}: one host is lent`)
    t.same(world.violations, [], `${n}: no rule is broken`)
  }
})

void t.test('a host stays in exactly one pool when the store fails during its move', async t => {
  for (const state of ['draining', 'joining']) {
    const { world, holder } = await createWorldWithShortage()
    const isMoving = () =>
      world.listHostRows().some(row => row.home === 'reserve' && row.state === state)
    t.ok(await holder.runUntil(() => isMoving() && world.cfg.zonesOut.length > 0))
    holder.faults.isStoreDown = true
    await holder.runUntil(() => false, 60)
    holder.faults.isStoreDown = false
    t.ok(await holder.runUntil(() => findLentHosts(world).some(row => row.state === 'serving')))
    t.same(world.violations, [])
  }
})

void t.test(
  'a lent host returns to its home pool once the surplus has outweighed the cost of a move',
  async t => {
    const { world, holder } = await createWorldWithShortage()
    await holder.runUntil(() => findLentHosts(world).some(({ state }) => state === 'serving'))
    world.unlistedHosts.clear()
    world.cfg.zonesOut.length = 0
    t.ok(await holder.runUntil(world.isRoundDone, 2_000))
    const isHome = () => world.listHostRows().every(({ home, pool }) => home === pool)
    t.ok(await holder.runUntil(isHome, 2_000))
    t.same(world.violations, [])
  },
)
