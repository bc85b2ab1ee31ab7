import t from 'tap'
import { seededRandom } from '@bulrushbridge/standins'
import { createWorld, type World } from './fixture.js'

const seedCount = 20

type Holder = ReturnType<World['acquireDuty']>
type Fault = (world: World, holder: Holder, pick: (count: number) => number) => Holder

/** Faults that begin or end at a random moment. A killed lease holder is replaced by a new one. */
const faults: Fault[] = [
  (world, holder) => {
    holder.faults.stopAfterCommits = holder.faults.commitCount + 1
    return world.acquireDuty()
  },
  (_, holder, pick) => {
    holder.faults.lostCommitResults = 1 + pick(3)
    return holder
  },
  (_, holder) => {
    holder.faults.isStoreDown = !holder.faults.isStoreDown
    return holder
  },
  (_, holder) => {
    holder.faults.isLosingOrders = !holder.faults.isLosingOrders
    return holder
  },
  (world, holder, pick) => {
    const zone = ['a', 'b', 'c'][pick(3)] ?? ''
    if (world.cfg.zonesOut.length > 0) world.cfg.zonesOut.length = 0
    else world.cfg.zonesOut.push(zone)
    return holder
  },
  (world, holder, pick) => {
    const id = world.hosts[pick(world.hosts.length)]?.id ?? ''
    if (world.unlistedHosts.size > 0) world.unlistedHosts.clear()
    else world.unlistedHosts.add(id)
    return holder
  },
]

void t.test('faults in random order break no rule and do not stop the round', async t => {
  for (let seed = 1; seed <= seedCount; seed++) {
    const random = seededRandom(seed)
    const pick = (count: number) => Math.floor(random() * count)
    const world = createWorld()
    let holder = world.acquireDuty()
    for (let n = 0; n < 25; n++) {
      await holder.runUntil(() => false, 1 + pick(20))
      holder = faults[pick(faults.length)]?.(world, holder, pick) ?? holder
    }
    world.cfg.zonesOut.length = 0
    world.unlistedHosts.clear()
    Object.assign(holder.faults, {
      isStoreDown: false,
      isLosingOrders: false,
      lostCommitResults: 0,
    })
    t.ok(await holder.runUntil(world.isRoundDone, 4_000), `seed ${seed}: the round ends`)
    t.same(world.violations, [], `seed ${seed}: no rule is broken`)
    t.ok(
      world.listHostRows().every(({ id }) => world.isOpen(id)),
      `seed ${seed}: every serving host is open`,
    )
  }
})
