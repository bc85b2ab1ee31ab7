import t from 'tap'
import { ExchangeSchedule } from '../src/exchange-schedule.js'
import { VirtualFleet } from './virtual-fleet.js'

const ids = ['a', 'b', 'c', 'd', 'e']
const pairs = (ids.length * (ids.length - 1)) / 2
const zoneOut = { kind: 'zone-out', zone: 'z' } as const
const seeds = [3, 17, 71]

/** Creates a fleet of registered hosts whose views the store confirms. */
async function createConfirmedFleet(seed: number): Promise<VirtualFleet> {
  const fleet = new VirtualFleet(seed)
  await fleet.registerAll(ids)
  await fleet.runUntil(fleet.now + 6_000)
  fleet.exchanges.length = 0
  return fleet
}

function viewOf(fleet: VirtualFleet, id: string) {
  const view = fleet.views.get(id)
  if (!view) throw new Error(`no view ${id}`)
  return view
}

void t.test('guards against an exchange that is skipped although the peer lacks the report', t => {
  const schedule = new ExchangeSchedule('o@1')
  const idle = { now: 0, canRelax: true, isBusy: false, fingerprint: 'k' }
  t.ok(schedule.isDue('p@1', idle), 'no exchange yet')
  schedule.recordDelivery('p@1', 0, 'k')
  t.notOk(schedule.isDue('p@1', { ...idle, now: 1_000 }), 'delivered recently')
  t.ok(schedule.isDue('p@1', { ...idle, now: 2_000 }), 'interval over')
  t.ok(schedule.isDue('p@1', { ...idle, now: 10, fingerprint: 'other' }), 'report changed')
  t.ok(schedule.isDue('p@1', { ...idle, now: 10, canRelax: false }), 'store does not confirm')
  t.ok(schedule.isDue('p@1', { ...idle, now: 500, isBusy: true }), 'work is running')
  t.notOk(schedule.isDue('p@1', { ...idle, now: 200, isBusy: true }), 'the peer began one just now')
  t.ok(schedule.isDue('p@2', { ...idle, now: 10 }), 'a restarted process has no report')
  schedule.recordDelivery('p@1', -500, 'old')
  t.notOk(schedule.isDue('p@1', { ...idle, now: 10 }), 'a late answer does not replace a newer one')
  const higher = new ExchangeSchedule('q@1')
  higher.recordDelivery('p@1', 0, 'k')
  t.notOk(higher.isDue('p@1', { ...idle, now: 2_000 }), 'the host with the lower id begins')
  t.ok(higher.isDue('p@1', { ...idle, now: 2_500 }), 'the host with the lower id has not begun')
  t.end()
})

for (const seed of seeds) {
  void t.test(`guards against idle exchanges at the full rate, seed ${seed}`, async t => {
    const fleet = await createConfirmedFleet(seed)
    await fleet.runUntil(fleet.now + 20_000)
    // One exchange per pair in 2 s; two hosts that begin at the same moment may add a few.
    t.ok(fleet.exchanges.length <= pairs * 11, `${fleet.exchanges.length} exchanges`)
    t.ok(fleet.exchanges.length >= pairs * 9, `${fleet.exchanges.length} exchanges`)
  })

  void t.test(`guards against views that expire when the store fails, seed ${seed}`, async t => {
    const fleet = await createConfirmedFleet(seed)
    await fleet.runUntil(fleet.now + Math.floor(fleet.random() * 2_000))
    fleet.isStoreDown = true
    let unconfirmedCount = 0
    await fleet.runUntil(fleet.now + 10_000, () => {
      for (const id of ids) if (!viewOf(fleet, id).isConfirmed()) unconfirmedCount += 1
    })
    t.equal(unconfirmedCount, 0)
    const end = fleet.now
    await fleet.runUntil(end + 4_000)
    const exchangeCount = fleet.exchanges.filter(({ at }) => at > end).length
    t.ok(
      exchangeCount >= pairs * 2 * 7,
      `both sides exchange every 500 ms in an outage: ${exchangeCount}`,
    )
  })

  void t.test(`guards against peers that learn of load late, seed ${seed}`, async t => {
    const fleet = await createConfirmedFleet(seed)
    await fleet.runUntil(fleet.now + Math.floor(fleet.random() * 2_000))
    const changedAt = fleet.now
    fleet.loads.set('a', { isBusy: true, fingerprint: 'busy' })
    await fleet.runUntil(changedAt + 550)
    const informedByA = new Set(
      fleet.exchanges.filter(e => e.at >= changedAt && e.from === 'a').map(e => e.to),
    )
    const informedA = fleet.exchanges
      .filter(e => e.at >= changedAt && e.to === 'a')
      .map(e => e.from)
    t.equal(new Set([...informedByA, ...informedA]).size, ids.length - 1)
    await fleet.runUntil(changedAt + 5_000)
    for (const id of ids.slice(1)) {
      const ofPair = fleet.exchanges.filter(e => [e.from, e.to].sort().join() === `a,${id}`)
      const afterChange = ofPair.filter(e => e.at >= changedAt)
      t.ok(afterChange.length >= 9, `${afterChange.length} exchanges of a and ${id} in 5 s`)
    }
  })

  void t.test(`guards against a restriction that misses a host, seed ${seed}`, async t => {
    const fleet = await createConfirmedFleet(seed)
    // Host a holds the restriction and reaches neither the store nor host e, which has the store.
    fleet.hostsWithoutStore.add('a')
    fleet.cutLinks.add('a-e')
    const order = viewOf(fleet, 'a').restrict(zoneOut, { by: 'op' })
    // The other hosts cannot commit it either, so only exchanges can pass it on to e.
    for (const id of ['b', 'c', 'd']) fleet.hostsWithoutStore.add(id)
    const orderedAt = fleet.now
    await fleet.runUntil(orderedAt + 3_000)
    for (const id of ids) t.same(viewOf(fleet, id).current().zonesOut, ['z'], id)
    t.match(await fleet.runUntilSettled(order), { missing: [] })
  })
}
