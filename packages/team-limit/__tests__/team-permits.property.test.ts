import fc from 'fast-check'
import t from 'tap'
import { Fleet, type Host } from './fleet.js'

/** The seed is fixed, so that every run tries the same cases. */
const seed = 20_260_704

const fault = fc.record({
  kind: fc.constantFrom('kill', 'freeze', 'cut', 'outage', 'limit', 'limit', 'burst', 'idle'),
  host: fc.nat(8),
  size: fc.nat(9),
  afterMs: fc.integer({ min: 50, max: 1_500 }),
})
type Fault = typeof fault extends fc.Arbitrary<infer F> ? F : never

const faults: Record<Fault['kind'], (fleet: Fleet, host: Host, size: number) => void> = {
  kill(fleet, host) {
    host.isDead = true
    const { now } = fleet
    host.lastSeen = now
    fleet.removeMember(host)
    fleet.startHost(host.id)
  },
  freeze(fleet, host, size) {
    host.frozenUntil = fleet.now + 700 * size
  },
  cut(fleet, host, size) {
    host.cutUntil = fleet.now + 700 * size
  },
  outage(fleet, _host, size) {
    fleet.outageUntil = fleet.now + 500 * size
  },
  limit(fleet, _host, size) {
    fleet.setLimit([0, 1, 2, 3, 4, 5, 6, 8, 12, 20][size] ?? 1)
  },
  burst(fleet, host) {
    fleet.saturatedHosts = new Set([host.id])
  },
  idle(fleet) {
    fleet.saturatedHosts = undefined
  },
}

async function runFaults(fleet: Fleet, cases: Fault[]): Promise<void> {
  await fleet.run(1_500)
  for (const { kind, host, size, afterMs } of cases) {
    const live = fleet.liveHosts()
    const target = live[host % live.length]
    if (target) faults[kind](fleet, target, size)
    await fleet.run(afterMs)
  }
}

const scenario = fc.record({
  seed: fc.integer(),
  hosts: fc.integer({ min: 2, max: 5 }),
  limit: fc.constantFrom(1, 2, 3, 7, 20),
  loss: fc.constantFrom(0, 0.05, 0.2),
  cases: fc.array(fault, { minLength: 4, maxLength: 12 }),
})

void t.test('no fault lets more work run than the limit or makes permits unusable', async t => {
  const property = fc.asyncProperty(scenario, async ({ cases, ...opts }) => {
    const fleet = new Fleet(opts)
    await runFaults(fleet, cases)
    Object.assign(fleet, { loss: 0, outageUntil: 0, saturatedHosts: new Set(), peakRunning: 0 })
    for (const host of fleet.liveHosts()) Object.assign(host, { frozenUntil: 0, cutUntil: 0 })
    fleet.setLimit(opts.limit)
    await fleet.run(14_000)
    Object.assign(fleet, { peakRunning: 0, workMs: 200 })
    for (const host of fleet.liveHosts()) host.starts = 0
    fleet.saturatedHosts = new Set(fleet.liveHosts().map(host => host.id))
    for (let i = 0; i < 20 && !isServed(fleet, opts.limit); i++) await fleet.run(500)
    if (!isServed(fleet, opts.limit)) {
      const starts = fleet.liveHosts().map(host => host.starts)
      const detail = JSON.stringify([starts, fleet.ledger()])
      throw new Error(`peak ${fleet.peakRunning} of ${opts.limit}: ${detail}`)
    }
  })
  await fc.assert(property, { seed, numRuns: 200, endOnFailure: true })
  t.pass('200 cases')
})

function isServed(fleet: Fleet, limit: number): boolean {
  return fleet.peakRunning === limit && fleet.liveHosts().every(host => host.starts > 0)
}

void t.test(
  'no work starts under an expired loan, even while the configuration stays confirmed',
  async t => {
    const property = fc.asyncProperty(scenario, async ({ cases, ...opts }) => {
      const fleet = new Fleet({ ...opts, confirmation: false })
      const withoutKills = cases.filter(({ kind }) => kind !== 'kill' && kind !== 'limit')
      await runFaults(fleet, withoutKills)
    })
    await fc.assert(property, { seed, numRuns: 100, endOnFailure: true })
    t.pass('100 cases')
  },
)

void t.test('each of nine entry hosts gets to use a limit of one to three permits', async t => {
  for (const limit of [1, 2, 3]) {
    const fleet = new Fleet({ seed: limit, hosts: 9, limit, loss: 0 })
    fleet.workMs = 200
    fleet.saturatedHosts = new Set(fleet.liveHosts().map(host => host.id))
    await fleet.run(20_000)
    const starts = fleet.liveHosts().map(host => host.starts)
    t.ok(Math.min(...starts) >= 2, `limit ${limit}: ${starts.join(' ')}`)
  }
})
