import t from 'tap'
import { hostsTable } from '@bulrushbridge/host'
import { createWorld, type World } from './fixture.js'

const inZone = (world: World, zone: string) => world.rows().filter(row => row.zone === zone)

/** Hosts of a zone that take work. */
const openIn = (world: World, zone: string) =>
  world.table
    .all<{ zone: string }>(hostsTable)
    .filter(({ value }) => value.zone === zone)
    .map(({ key }) => key)

void t.test('a zone taken out while a wave runs sends no further host out', async t => {
  for (const state of ['draining', 'maintenance', 'joining']) {
    const world = createWorld()
    const holder = world.takeDuty()
    await holder.run(() => world.rows().some(row => row.state === state))
    world.cfg.zonesOut.push('a')
    const away = world.rows().filter(row => row.state !== 'serving').length
    const orders = () => world.orders.filter(({ action }) => action === 'drain').length
    const drains = orders()
    await holder.run(() => false, 120)
    t.equal(orders(), drains, `${state}: no further drain`)
    t.ok(away > 0)
    const others = world.rows().filter(({ zone }) => zone !== 'a')
    t.ok(
      others.every(row => row.state === 'serving'),
      `${state}: hosts that were away return`,
    )
    t.same(openIn(world, 'a'), [], `${state}: the zone takes nothing`)
    t.same(world.broken, [])
    world.cfg.zonesOut.length = 0
    t.ok(await holder.run(world.isRoundDone, 2_000), `${state}: the round ends`)
    t.same(new Set(Object.values(world.boots())), new Set([1]))
    t.same(world.broken, [])
  }
})

void t.test('a returning zone opens in parts, and a relapse closes them again', async t => {
  const world = createWorld({ finders: 24, workers: 0, spares: 0 })
  // The budget alone would let hosts leave while the zone returns.
  world.cfg.services.finder.availability.minServing = 0.2
  world.cfg.zonesOut.push('a')
  const first = world.takeDuty()
  await first.run(() => inZone(world, 'a').length === 8 && openIn(world, 'a').length === 0)
  world.cfg.zonesOut.length = 0
  await first.run(() => openIn(world, 'a').length > 0)
  t.equal(openIn(world, 'a').length, 1, 'a tenth of 8 hosts, rounded up')
  await first.run(() => false, 30)
  t.equal(openIn(world, 'a').length, 1, 'the next part opens after a minute')
  const second = world.takeDuty()
  t.ok(await second.run(() => openIn(world, 'a').length === 2, 60), 'a successor goes on')
  t.ok(await second.run(() => openIn(world, 'a').length === 4, 80))
  const drains = world.orders.filter(({ action }) => action === 'drain')
  t.same(drains, [], 'no maintenance before the zone has returned')
  inZone(world, 'a').forEach(({ id }) => world.sick.add(id))
  t.ok(await second.run(() => openIn(world, 'a').length === 2, 5), 'an unhealthy zone steps back')
  await second.run(() => false, 30)
  t.equal(openIn(world, 'a').length, 2, 'one step back for each wait')
  world.sick.clear()
  t.ok(await second.run(() => openIn(world, 'a').length === 8, 1_000))
  const kinds = world.decisions.flatMap(({ subject, action }) =>
    subject.kind === 'zone' ? action : [],
  )
  t.match(kinds, ['hold', 'open-part', 'open-part', 'open-part', 'step-back', 'open-part'])
  t.same(world.broken, [])
})

void t.test('a successor continues a zone return after a stop behind any write', async t => {
  for (let n = 1; n <= 24; n++) {
    const world = createWorld({ finders: 6, workers: 0, spares: 0 })
    const first = world.takeDuty()
    world.cfg.zonesOut.push('a')
    first.faults.stopAfter = n
    await first.run(() => inZone(world, 'a').length > 0 && openIn(world, 'a').length === 0, 20)
    world.cfg.zonesOut.length = 0
    await first.run(() => first.faults.isStopped, 200)
    const second = world.takeDuty()
    t.ok(await second.run(world.isRoundDone, 2_000), `${n}: the zone and the round end`)
    t.same(new Set(Object.values(world.boots())), new Set([1]), `${n}: one boot for each host`)
    t.same(world.broken, [], `${n}: rules`)
  }
})
