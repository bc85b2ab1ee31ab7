import t from 'tap'
import { createWorld, type World } from './fixture.js'

/** Writes of a whole round: one per host for the inventory and four for its maintenance. */
const roundWrites = 12 * 5

void t.test('every host is maintained once in a round, within the budget', async t => {
  const world = createWorld()
  const holder = world.takeDuty()
  t.ok(await holder.run(world.isRoundDone))
  await holder.run(() => false, 60)
  t.same(new Set(Object.values(world.boots())), new Set([1]))
  t.same(world.broken, [])
  t.same(holder.errors, [])
  t.ok(holder.faults.commits >= roundWrites)
  const homes = world.rows().map(({ id, pool, home }) => `${id} ${pool} ${home}`)
  t.match(homes, [/f0 finder finder/, /f1/, /f2/, /f3/, /f4/, /f5/, /s0 reserve reserve/])
  const kinds = new Set(world.decisions.map(({ subject, action }) => `${subject.kind} ${action}`))
  for (const kind of ['host add', 'host drain', 'host reboot', 'host open', 'wave start']) {
    t.ok(kinds.has(kind), `no decision record of ${kind}`)
  }
})

void t.test('a successor continues after a stop behind any write', async t => {
  for (let n = 1; n <= roundWrites; n++) {
    const world = createWorld()
    const first = world.takeDuty()
    first.faults.stopAfter = n
    t.ok(await first.run(() => first.faults.isStopped), `${n}: the first holder made ${n} writes`)
    const second = world.takeDuty()
    t.ok(await second.run(world.isRoundDone), `${n}: the round ends`)
    t.same(new Set(Object.values(world.boots())), new Set([1]), `${n}: one boot for each host`)
    t.same(world.broken, [], `${n}: rules`)
  }
})

void t.test('lost answers of the store double no step', async t => {
  for (let n = 1; n <= roundWrites; n += 7) {
    const world = createWorld()
    const holder = world.takeDuty()
    await holder.run(() => holder.faults.commits >= n)
    holder.faults.loseAnswers = 3
    t.ok(await holder.run(world.isRoundDone), `${n}: the round ends`)
    t.same(new Set(Object.values(world.boots())), new Set([1]), `${n}: one boot for each host`)
    t.same(world.broken, [], `${n}: rules`)
  }
})

void t.test('a holder that was frozen past its lease changes nothing', async t => {
  for (let n = 1; n <= roundWrites; n += 3) {
    const world = createWorld()
    const first = world.takeDuty()
    await first.run(() => first.faults.commits >= n)
    first.faults.freezeBefore('commit')
    let frozenRound = Promise.resolve()
    for (let r = 0; r < 100 && !first.faults.isFrozen; r++) {
      frozenRound = first.round()
      await new Promise(resolve => setImmediate(resolve))
    }
    t.ok(first.faults.isFrozen)
    const second = world.takeDuty()
    await second.run(() => false, 5)
    const before = JSON.stringify(world.rows())
    first.faults.thaw()
    await frozenRound
    t.equal(JSON.stringify(world.rows()), before, `${n}: the late write has no effect`)
    t.ok(await second.run(world.isRoundDone), `${n}: the round ends`)
    t.same(new Set(Object.values(world.boots())), new Set([1]), `${n}: one boot for each host`)
    t.same(world.broken, [], `${n}: rules`)
  }
})

/** A holder that stands still between the drain of hosts and the order to the platform. */
async function frozenBeforeDrain(world: World) {
  const holder = world.takeDuty()
  holder.faults.freezeBefore('order')
  const frozenRound = holder.round()
  await new Promise(resolve => setImmediate(resolve))
  const ids = world.rows().flatMap(({ id, state }) => (state === 'draining' ? id : []))
  const thaw = async () => {
    holder.faults.thaw()
    await frozenRound
  }
  return { ids, thaw }
}

void t.test('a late order of a frozen holder is not executed on a serving host', async t => {
  const world = createWorld()
  const { ids: all, thaw } = await frozenBeforeDrain(world)
  // While a zone is out, the hosts that come back are not sent into maintenance at once.
  world.cfg.zonesOut.push('c')
  const ids = all.filter(id => world.hosts.some(host => host.id === id && host.zone !== 'c'))
  t.ok(ids.length > 0)
  // The hosts are not listed for a while, so they fail, and come back without a drain.
  ids.forEach(id => world.unlisted.add(id))
  const second = world.takeDuty()
  second.faults.ordersLost = true
  await second.run(() => ids.every(id => world.state(id) === 'failed'))
  world.unlisted.clear()
  await second.run(() => ids.every(id => world.state(id) === 'serving'), 120)
  await thaw()
  const closed = ids.filter(id => world.state(id) === 'serving' && !world.isOpen(id))
  t.same(closed, [], 'hosts that serve by their row and were drained')
  second.faults.ordersLost = false
  t.ok(await second.run(() => ids.every(id => world.state(id) === 'serving')))
  t.ok(ids.every(id => world.isOpen(id)))
  t.same(world.broken, [])
})

void t.test(
  'a frozen holder does not drain a second host of a pool that may spare one',
  async t => {
    const world = createWorld({ workers: 1, spares: 0, workerRack: 'f0' })
    const first = world.takeDuty()
    first.faults.freezeBefore('commit', world.hosts.length)
    const frozenRound = first.round()
    await new Promise(resolve => setImmediate(resolve))
    t.ok(world.rows().every(({ state }) => state === 'serving'))
    // The successor prefers another rack, because a host of the chosen one's rack is not listed.
    world.unlisted.add('w0')
    const second = world.takeDuty()
    await second.run(() => world.rows().some(({ state }) => state === 'draining'))
    world.unlisted.clear()
    t.equal(world.state('f0'), 'serving')
    first.faults.thaw()
    await frozenRound
    t.equal(world.state('f0'), 'serving', 'the late drain has no effect')
    t.same(world.broken, [])
  },
)

void t.test('a store outage in the middle of a wave delays it and breaks nothing', async t => {
  for (const state of ['draining', 'maintenance', 'joining']) {
    const world = createWorld()
    const holder = world.takeDuty()
    await holder.run(() => world.rows().some(row => row.state === state))
    holder.faults.isDown = true
    await holder.run(() => false, 90)
    t.ok(holder.errors.length > 0)
    holder.faults.isDown = false
    t.ok(await holder.run(world.isRoundDone), `outage while ${state}`)
    t.same(new Set(Object.values(world.boots())), new Set([1]))
    t.same(world.broken, [])
  }
})

void t.test('a draining host is not rebooted while it works', async t => {
  const world = createWorld()
  const holder = world.takeDuty()
  world.busy.add('w0')
  await holder.run(() => world.state('w0') === 'draining')
  await holder.run(() => false, 120)
  t.equal(world.state('w0'), 'draining')
  world.busy.delete('w0')
  t.ok(await holder.run(world.isRoundDone))
  t.same(world.broken, [])
})
