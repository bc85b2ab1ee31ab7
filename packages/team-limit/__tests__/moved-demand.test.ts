import t from 'tap'
import { LenderChoice } from '../src/lender-choice.js'
import { TeamAccount } from '../src/team-account.js'
import type { PermitContext } from '../src/team-permits.js'
import { seededRandom } from '@bulrushbridge/standins'
import { Fleet, team } from './fleet.js'

const limit = 18
const hosts = 9

/** Time from the end of demand at one host until another runs work under the whole limit. */
async function moveLimit(seed: number, loss: number): Promise<number> {
  const fleet = new Fleet({ seed, hosts, limit, loss: 0 })
  fleet.workMs = 100
  fleet.greedy = new Set()
  await fleet.run(3_000)
  const [from, to] = fleet.live()
  if (!from || !to) throw new RangeError('two hosts are needed')
  const runsAll = async (host: typeof from): Promise<number> => {
    fleet.greedy = new Set([host.id])
    const begin = fleet.now
    while (fleet.now < begin + 20_000) {
      host.permits.setWaiting(team, limit)
      await fleet.run(25)
      if (fleet.works.filter(work => work.host === host && !work.ended).length === limit) break
    }
    return fleet.now - begin
  }
  fleet.workMs = 2_000
  await runsAll(from)
  fleet.greedy = new Set()
  from.permits.setWaiting(team, 0)
  for (const work of fleet.works) work.endAt = fleet.now
  fleet.loss = loss
  return runsAll(to)
}

void t.test('guards against a limit that follows demand only after seconds', async t => {
  const times: number[] = []
  for (const seed of [1, 2, 3, 4, 5]) times.push(await moveLimit(seed, 0))
  t.ok(Math.max(...times) <= 2_000, times.join(' '))
  t.ok((times.toSorted((a, b) => a - b)[2] ?? Infinity) <= 1_200, times.join(' '))
})

void t.test('guards against lost answers that strand a moved limit', async t => {
  for (const seed of [1, 2, 3]) {
    const ms = await moveLimit(seed, 0.1)
    t.ok(ms < 20_000, `seed ${seed}: ${ms}`)
  }
})

/** A choice among the peers p0 to p7 on a clock that the test moves. */
function createChoice(seed: number) {
  const state = { now: 0 }
  const members = new Map(Array.from({ length: 9 }, (_, i) => [i === 8 ? 'o' : `p${i}`, 'i']))
  const clock = { now: () => state.now }
  const ctx = { member: 'o', members, clock, rng: seededRandom(seed) } as unknown as PermitContext
  const account = new TeamAccount()
  account.owners = [...members.keys()].map(id => `${id}/i`)
  const choice = new LenderChoice(ctx)
  const choose = (asked: string[] = []) => choice.choose(team, account, new Set(asked))
  return { state, choice, choose }
}

for (const seed of [1, 2, 3]) {
  void t.test(`guards against a flood of requests while nothing is spare, seed ${seed}`, t => {
    const { state, choice, choose } = createChoice(seed)
    const seen = new Set<string>()
    for (let round = 0; round < 8; round++, state.now += 20) {
      const lenders = choose()
      t.equal(lenders.length, 1)
      for (const id of lenders) {
        choice.answered(team, id, { count: 1, granted: 0 })
        seen.add(id)
      }
    }
    t.equal(seen.size, 8, 'a lender that refused is passed over while others are left')
    choice.answered(team, 'p0', { count: 3, granted: 2 })
    choice.answered(team, 'p1', { count: 3, granted: 2 })
    t.equal(choose().length, 4, 'each grant doubles the number of lenders asked')
    t.equal(choose(['p2', 'p3', 'p4']).length, 1, 'requests in progress count')
    t.notOk(choose(['p2', 'p3']).includes('p2'), 'no lender has two requests of a team')
    choice.answered(team, 'p2', { count: 1, granted: 0 })
    t.equal(choose().length, 2, 'each refusal halves it')
    t.end()
  })
}

void t.test('guards against requests to hosts without spare permits while others have some', t => {
  const { choice, choose } = createChoice(7)
  choice.observe('p5', new Map([[team, 3]]))
  choice.observe('p6', new Map([[team, 9]]))
  t.same(choose(), ['p6', 'p5'], 'all that report some, and nobody else')
  t.same(choose(['p6']), ['p5'])
  choice.answered(team, 'p6', { count: 9, granted: 8 })
  t.equal(choose()[0], 'p5', 'one that granted less than asked has no more')
  choice.answered(team, 'p5', { count: 3, granted: 3 })
  t.equal(choose()[0], 'p5', 'one that granted all may have more')
  t.end()
})
