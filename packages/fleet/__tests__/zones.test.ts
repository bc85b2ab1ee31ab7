import t from 'tap'
import { hostsTable } from '@bulrushbridge/host'
import { createWorld, type World } from './fixture.js'

const findRowsInZone = (world: World, zone: string) =>
  world.listHostRows().filter(row => row.zone === zone)

/** Finds the hosts of a zone that take work by the hosts table. */
const findOpenHosts = (world: World, zone: string) =>
  world.table
    .listRows<{ zone: string }>(hostsTable)
    .filter(({ value }) => value.zone === zone)
    .map(({ key }) => key)

void t.test('no further host is drained when a zone is taken out during a wave', async t => {
  for (const state of ['draining', 'maintenance', 'joining']) {
    const world = createWorld()
    const holder = world.acquireDuty()
    await holder.runUntil(() => world.listHostRows().some(row => row.state === state))
    world.cfg.zonesOut.push('a')
    const outOfServiceCount = world.listHostRows().filter(row => row.state !== 'serving').length
    const countDrains = () => world.orders.filter(({ action }) => action === 'drain').length
    const drainsBefore = countDrains()
    await holder.runUntil(() => false, 120)
    t.equal(countDrains(), drainsBefore, `${state}: no further drain`)
    t.ok(outOfServiceCount > 0)
    const otherRows = world.listHostRows().filter(({ zone }) => zone !== 'a')
    t.ok(
      otherRows.every(row => row.state === 'serving'),
      `${state}: hosts that were out of service return`,
    )
    t.same(findOpenHosts(world, 'a'), [], `${state}: no host of the zone takes work`)
    t.same(world.violations, [])
    world.cfg.zonesOut.length = 0
    t.ok(await holder.runUntil(world.isRoundDone, 2_000), `${state}: the round ends`)
    t.same(new Set(Object.values(world.countReboots())), new Set([1]))
    t.same(world.violations, [])
  }
})

void t.test(
  'a returning zone opens in parts and steps back when its hosts are unhealthy',
  async t => {
    const world = createWorld({ finders: 24, workers: 0, spares: 0 })
    // With this low budget, only the return of the zone keeps hosts from leaving for maintenance.
    world.cfg.services.finder.availability.minServing = 0.2
    world.cfg.zonesOut.push('a')
    const first = world.acquireDuty()
    await first.runUntil(
      () => findRowsInZone(world, 'a').length === 8 && findOpenHosts(world, 'a').length === 0,
    )
    world.cfg.zonesOut.length = 0
    await first.runUntil(() => findOpenHosts(world, 'a').length > 0)
    t.equal(findOpenHosts(world, 'a').length, 1, 'a tenth of 8 hosts, rounded up')
    await first.runUntil(() => false, 30)
    t.equal(findOpenHosts(world, 'a').length, 1, 'the next part opens after a minute')
    const second = world.acquireDuty()
    t.ok(
      await second.runUntil(() => findOpenHosts(world, 'a').length === 2, 60),
      'the next lease holder continues the return',
    )
    t.ok(await second.runUntil(() => findOpenHosts(world, 'a').length === 4, 80))
    const drains = world.orders.filter(({ action }) => action === 'drain')
    t.same(drains, [], 'no maintenance before the zone has returned')
    findRowsInZone(world, 'a').forEach(({ id }) => world.unhealthyHosts.add(id))
    t.ok(
      await second.runUntil(() => findOpenHosts(world, 'a').length === 2, 5),
      'an unhealthy zone steps back',
    )
    await second.runUntil(() => false, 30)
    t.equal(findOpenHosts(world, 'a').length, 2, 'one step back for each wait')
    world.unhealthyHosts.clear()
    t.ok(await second.runUntil(() => findOpenHosts(world, 'a').length === 8, 1_000))
    const zoneActions = world.decisions.flatMap(({ subject, action }) =>
      subject.kind === 'zone' ? action : [],
    )
    t.match(zoneActions, ['hold', 'open-part', 'open-part', 'open-part', 'step-back', 'open-part'])
    t.same(world.violations, [])
  },
)

void t.test(
  'the next lease holder continues a zone return after a stop behind any write',
  async t => {
    for (let n = 1; n <= 24; n++) {
      const world = createWorld({ finders: 6, workers: 0, spares: 0 })
      const first = world.acquireDuty()
      world.cfg.zonesOut.push('a')
      first.faults.stopAfterCommits = n
      await first.runUntil(
        () => findRowsInZone(world, 'a').length > 0 && findOpenHosts(world, 'a').length === 0,
        20,
      )
      world.cfg.zonesOut.length = 0
      await first.runUntil(() => first.faults.isStopped, 200)
      const second = world.acquireDuty()
      t.ok(await second.runUntil(world.isRoundDone, 2_000), `${n}: the zone and the round end`)
      t.same(
        new Set(Object.values(world.countReboots())),
        new Set([1]),
        `${n}: one boot for each host`,
      )
      t.same(world.violations, [], `${n}: no rule is broken`)
    }
  },
)
