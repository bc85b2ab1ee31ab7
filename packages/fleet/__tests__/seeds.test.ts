import t from 'tap'
import { seededRandom } from '@bulrushbridge/standins'
import { createWorld, type World } from './fixture.js'

const seeds = 20

type Holder = ReturnType<World['takeDuty']>
type Fault = (world: World, holder: Holder, pick: (count: number) => number) => Holder

/** One fault at a random moment; a killed or frozen holder has a successor. */
const faults: Fault[] = [
  (world, holder) => {
    holder.faults.stopAfter = holder.faults.commits + 1
    return world.takeDuty()
  },
  (_, holder, pick) => {
    holder.faults.loseAnswers = 1 + pick(3)
    return holder
  },
  (_, holder) => {
    holder.faults.isDown = !holder.faults.isDown
    return holder
  },
  (_, holder) => {
    holder.faults.ordersLost = !holder.faults.ordersLost
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
    if (world.unlisted.size > 0) world.unlisted.clear()
    else world.unlisted.add(id)
    return holder
  },
]

void t.test('several faults in any order break no rule, and the round ends', async t => {
  for (let seed = 1; seed <= seeds; seed++) {
    const random = seededRandom(seed)
    const pick = (count: number) => Math.floor(random() * count)
    const world = createWorld()
    let holder = world.takeDuty()
    for (let n = 0; n < 25; n++) {
      await holder.run(() => false, 1 + pick(20))
      holder = faults[pick(faults.length)]?.(world, holder, pick) ?? holder
    }
    world.cfg.zonesOut.length = 0
    world.unlisted.clear()
    Object.assign(holder.faults, { isDown: false, ordersLost: false, loseAnswers: 0 })
    t.ok(await holder.run(world.isRoundDone, 4_000), `seed ${seed}: the round ends`)
    t.same(world.broken, [], `seed ${seed}: rules`)
    t.ok(
      world.rows().every(({ id }) => world.isOpen(id)),
      `seed ${seed}: every serving host is open`,
    )
  }
})
