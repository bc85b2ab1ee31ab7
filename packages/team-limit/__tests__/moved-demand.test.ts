import t from 'tap'
import { LenderSelector } from '../src/lender-selector.js'
import { TeamAccount } from '../src/team-account.js'
import type { PermitContext } from '../src/team-permits.js'
import { seededRandom } from '@bulrushbridge/standins'
import { Fleet, team } from './fleet.js'

const limit = 18
const hosts = 9

/** Returns the time from the end of demand at one host until another runs work up to the limit. */
async function moveLimit(seed: number, loss: number): Promise<number> {
  const fleet = new Fleet({ seed, hosts, limit, loss: 0 })
  fleet.workMs = 100
  fleet.saturatedHosts = new Set()
  await fleet.run(3_000)
  const [from, to] = fleet.liveHosts()
  if (!from || !to) throw new RangeError('two hosts are needed')
  const runUntilFull = async (host: typeof from): Promise<number> => {
    fleet.saturatedHosts = new Set([host.id])
    const startedAt = fleet.now
    while (fleet.now < startedAt + 20_000) {
      host.permits.setWaitingCount(team, limit)
      await fleet.run(25)
      if (fleet.workItems.filter(work => work.host === host && !work.isEnded).length === limit)
        break
    }
    return fleet.now - startedAt
  }
  fleet.workMs = 2_000
  await runUntilFull(from)
  fleet.saturatedHosts = new Set()
  from.permits.setWaitingCount(team, 0)
  for (const work of fleet.workItems) work.endAt = fleet.now
  fleet.loss = loss
  return runUntilFull(to)
}

void t.test('guards against permits that follow demand only after seconds', async t => {
  const times: number[] = []
  for (const seed of [1, 2, 3, 4, 5]) times.push(await moveLimit(seed, 0))
  t.ok(Math.max(...times) <= 2_000, times.join(' '))
  t.ok((times.toSorted((a, b) => a - b)[2] ?? Infinity) <= 1_200, times.join(' '))
})

void t.test('guards against lost answers that keep permits from moving', async t => {
  for (const seed of [1, 2, 3]) {
    const ms = await moveLimit(seed, 0.1)
    t.ok(ms < 20_000, `seed ${seed}: ${ms}`)
  }
})

/** Creates a selector among the peers p0 to p7 with a clock that the test advances. */
function createSelector(seed: number) {
  const state = { now: 0 }
  const members = new Map(Array.from({ length: 9 }, (_, i) => [i === 8 ? 'o' : `p${i}`, 'i']))
  const clock = { now: () => state.now }
  const ctx = { member: 'o', members, clock, rng: seededRandom(seed) } as unknown as PermitContext
  const account = new TeamAccount()
  account.ledgerHolders = [...members.keys()].map(id => `${id}/i`)
  const selector = new LenderSelector(ctx)
  const select = (asked: string[] = []) => selector.select(team, account, new Set(asked))
  return { state, selector, select }
}

for (const seed of [1, 2, 3]) {
  void t.test(`guards against a flood of requests while nothing is spare, seed ${seed}`, t => {
    const { state, selector, select } = createSelector(seed)
    const seen = new Set<string>()
    for (let round = 0; round < 8; round++, state.now += 20) {
      const lenders = select()
      t.equal(lenders.length, 1)
      for (const id of lenders) {
        selector.recordAnswer(team, id, { count: 1, granted: 0 })
        seen.add(id)
      }
    }
    t.equal(seen.size, 8, 'a lender that refused is not asked while others are left')
    selector.recordAnswer(team, 'p0', { count: 3, granted: 2 })
    selector.recordAnswer(team, 'p1', { count: 3, granted: 2 })
    t.equal(select().length, 4, 'each grant doubles the number of lenders asked')
    t.equal(select(['p2', 'p3', 'p4']).length, 1, 'requests in progress count')
    t.notOk(select(['p2', 'p3']).includes('p2'), 'no lender has two requests of a team')
    selector.recordAnswer(team, 'p2', { count: 1, granted: 0 })
    t.equal(select().length, 2, 'each refusal halves the number of lenders asked')
    t.end()
  })
}

void t.test('guards against requests to hosts without spare permits while others have some', t => {
  const { selector, select } = createSelector(7)
  selector.recordSpare('p5', new Map([[team, 3]]))
  selector.recordSpare('p6', new Map([[team, 9]]))
  t.same(select(), ['p6', 'p5'], 'all that report spare permits, and no other')
  t.same(select(['p6']), ['p5'])
  selector.recordAnswer(team, 'p6', { count: 9, granted: 8 })
  t.equal(select()[0], 'p5', 'a lender that granted less than asked has no more')
  selector.recordAnswer(team, 'p5', { count: 3, granted: 3 })
  t.equal(select()[0], 'p5', 'a lender that granted all may have more')
  t.end()
})
