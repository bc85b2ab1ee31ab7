import t from 'tap'
import { createWorld, type World } from './fixture.js'

/** Writes of a whole maintenance round of 12 hosts: one each to add it and four to maintain it. */
const writesPerRound = 12 * 5

void t.test('each host is maintained once in a round, within the availability budget', async t => {
  const world = createWorld()
  const holder = world.acquireDuty()
  t.ok(await holder.runUntil(world.isRoundDone))
  await holder.runUntil(() => false, 60)
  t.same(new Set(Object.values(world.countReboots())), new Set([1]))
  t.same(world.violations, [])
  t.same(holder.errors, [])
  t.ok(holder.faults.commitCount >= writesPerRound)
  const homes = world.listHostRows().map(({ id, pool, home }) => `${id} ${pool} ${home}`)
  t.match(homes, [/f0 finder finder/, /f1/, /f2/, /f3/, /f4/, /f5/, /s0 reserve reserve/])
  const recordedActions = new Set(
    world.decisions.map(({ subject, action }) => `${subject.kind} ${action}`),
  )
  for (const expected of ['host add', 'host drain', 'host reboot', 'host open', 'wave start']) {
    t.ok(recordedActions.has(expected), `no decision record of ${expected}`)
  }
})

void t.test('the next lease holder continues the round after a stop behind any write', async t => {
  for (let n = 1; n <= writesPerRound; n++) {
    const world = createWorld()
    const first = world.acquireDuty()
    first.faults.stopAfterCommits = n
    t.ok(
      await first.runUntil(() => first.faults.isStopped),
      `${n}: the first lease holder made ${n} writes`,
    )
    const second = world.acquireDuty()
    t.ok(await second.runUntil(world.isRoundDone), `${n}: the round ends`)
    t.same(
      new Set(Object.values(world.countReboots())),
      new Set([1]),
      `${n}: one boot for each host`,
    )
    t.same(world.violations, [], `${n}: no rule is broken`)
  }
})

void t.test('no step is taken twice when the store loses commit results', async t => {
  for (let n = 1; n <= writesPerRound; n += 7) {
    const world = createWorld()
    const holder = world.acquireDuty()
    await holder.runUntil(() => holder.faults.commitCount >= n)
    holder.faults.lostCommitResults = 3
    t.ok(await holder.runUntil(world.isRoundDone), `${n}: the round ends`)
    t.same(
      new Set(Object.values(world.countReboots())),
      new Set([1]),
      `${n}: one boot for each host`,
    )
    t.same(world.violations, [], `${n}: no rule is broken`)
  }
})

void t.test(
  'the writes of a lease holder that was frozen past its lease have no effect',
  async t => {
    for (let n = 1; n <= writesPerRound; n += 3) {
      const world = createWorld()
      const first = world.acquireDuty()
      await first.runUntil(() => first.faults.commitCount >= n)
      first.faults.freezeBefore('commit')
      let frozenRound = Promise.resolve()
      for (let r = 0; r < 100 && !first.faults.isFrozen; r++) {
        frozenRound = first.runRound()
        await new Promise(resolve => setImmediate(resolve))
      }
      t.ok(first.faults.isFrozen)
      const second = world.acquireDuty()
      await second.runUntil(() => false, 5)
      const rowsBefore = JSON.stringify(world.listHostRows())
      first.faults.resume()
      await frozenRound
      t.equal(
        JSON.stringify(world.listHostRows()),
        rowsBefore,
        `${n}: the late write has no effect`,
      )
      t.ok(await second.runUntil(world.isRoundDone), `${n}: the round ends`)
      t.same(
        new Set(Object.values(world.countReboots())),
        new Set([1]),
        `${n}: one boot for each host`,
      )
      t.same(world.violations, [], `${n}: no rule is broken`)
    }
  },
)

/** Freezes a lease holder after it wrote the drains of hosts and before it sends their orders. */
async function freezeBeforeDrainOrder(world: World) {
  const holder = world.acquireDuty()
  holder.faults.freezeBefore('order')
  const frozenRound = holder.runRound()
  await new Promise(resolve => setImmediate(resolve))
  const ids = world.listHostRows().flatMap(({ id, state }) => (state === 'draining' ? id : []))
  const resume = async () => {
    holder.faults.resume()
    await frozenRound
  }
  return { ids, resume }
}

void t.test(
  'a late drain order of a frozen lease holder does not close a serving host',
  async t => {
    const world = createWorld()
    const { ids: all, resume } = await freezeBeforeDrainOrder(world)
    // While a zone is out no maintenance starts, so that the returned hosts stay serving.
    world.cfg.zonesOut.push('c')
    const ids = all.filter(id => world.hosts.some(host => host.id === id && host.zone !== 'c'))
    t.ok(ids.length > 0)
    // The hosts are not listed for a while, so that they fail and return without a drain.
    ids.forEach(id => world.unlistedHosts.add(id))
    const second = world.acquireDuty()
    second.faults.isLosingOrders = true
    await second.runUntil(() => ids.every(id => world.findState(id) === 'failed'))
    world.unlistedHosts.clear()
    await second.runUntil(() => ids.every(id => world.findState(id) === 'serving'), 120)
    await resume()
    const closed = ids.filter(id => world.findState(id) === 'serving' && !world.isOpen(id))
    t.same(closed, [], 'no host whose row says serving is closed on the platform')
    second.faults.isLosingOrders = false
    t.ok(await second.runUntil(() => ids.every(id => world.findState(id) === 'serving')))
    t.ok(ids.every(id => world.isOpen(id)))
    t.same(world.violations, [])
  },
)

void t.test(
  'a frozen lease holder does not drain a second host of a pool that can spare only one',
  async t => {
    const world = createWorld({ workers: 1, spares: 0, workerRack: 'f0' })
    const first = world.acquireDuty()
    first.faults.freezeBefore('commit', world.hosts.length)
    const frozenRound = first.runRound()
    await new Promise(resolve => setImmediate(resolve))
    t.ok(world.listHostRows().every(({ state }) => state === 'serving'))
    // The frozen lease holder is about to drain f0. The next one prefers a host of another rack,
    // because w0 of the rack of f0 is not listed.
    world.unlistedHosts.add('w0')
    const second = world.acquireDuty()
    await second.runUntil(() => world.listHostRows().some(({ state }) => state === 'draining'))
    world.unlistedHosts.clear()
    t.equal(world.findState('f0'), 'serving')
    first.faults.resume()
    await frozenRound
    t.equal(world.findState('f0'), 'serving', 'the late drain has no effect')
    t.same(world.violations, [])
  },
)

void t.test('a store outage during a wave only delays the wave', async t => {
  for (const state of ['draining', 'maintenance', 'joining']) {
    const world = createWorld()
    const holder = world.acquireDuty()
    await holder.runUntil(() => world.listHostRows().some(row => row.state === state))
    holder.faults.isStoreDown = true
    await holder.runUntil(() => false, 90)
    t.ok(holder.errors.length > 0)
    holder.faults.isStoreDown = false
    t.ok(await holder.runUntil(world.isRoundDone), `outage while ${state}`)
    t.same(new Set(Object.values(world.countReboots())), new Set([1]))
    t.same(world.violations, [])
  }
})

void t.test('a draining host is not rebooted while work runs on it', async t => {
  const world = createWorld()
  const holder = world.acquireDuty()
  world.busyHosts.add('w0')
  await holder.runUntil(() => world.findState('w0') === 'draining')
  await holder.runUntil(() => false, 120)
  t.equal(world.findState('w0'), 'draining')
  world.busyHosts.delete('w0')
  t.ok(await holder.runUntil(world.isRoundDone))
  t.same(world.violations, [])
})
