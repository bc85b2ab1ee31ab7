import t from 'tap'
import { createManualClock, createTableStandin, until } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import { createTaskPermits, createTaskWishes, createTeamPermits } from '../src/index.js'

const team = 'lumen'
const limits = new Map([[team, 4]])

void t.test('idle entry hosts do not starve tasks, and busy ones keep their permits', async t => {
  const standin = await createTableStandin()
  const table = createHttpTableService({ url: standin.url })
  t.teardown(async () => {
    await table.close()
    await standin.close()
  })
  const clock = createManualClock()
  const members = ['a', 'b'].map(id => ({ id, incarnation: `${id}1` }))
  const peers = {
    borrow: () => Promise.resolve({ granted: 0, validForMs: 0 }),
    giveBack: () => Promise.resolve(),
  }
  const isSettled = () => Promise.resolve(true)
  const hosts = members.map(({ id, incarnation }) =>
    createTeamPermits({ member: id, incarnation, table, peers, isSettled, clock, rng: () => 0.5 }),
  )
  for (const host of hosts) host.configure({ version: 1, limits, members })
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50)
      for (const host of hosts) {
        host.setConfirmed(Infinity)
        host.tick()
      }
      await new Promise(resolve => setTimeout(resolve, 5))
    }
  }
  const tasks = createTaskPermits({ table })
  tasks.configure({ version: 1, limits })
  const wishes = createTaskWishes({ table, pool: 'batch' })
  const passUntil = (condition: () => Promise<boolean>) =>
    until(async () => {
      await pass(250)
      return condition()
    })
  await passUntil(async () => (await tasks.reserveForTask(team, 1)) === undefined)
  const busy = hosts[0]?.tryTake(team)
  t.ok(busy)
  t.equal(await tasks.reserveForTask(team, 1), undefined, 'idle permits starve the tasks')

  await wishes.set(team, 4)
  await passUntil(async () => (await tasks.reserveForTask(team, 3)) !== undefined)
  t.equal(await tasks.reserveForTask(team, 4), undefined, 'the permit in use stays')
  const reserved = await tasks.reserveForTask(team, 3)
  t.ok(reserved && (await table.commit(reserved)).committed, 'the idle ones are given back')
  t.notOk(hosts[1]?.tryTake(team), 'a permit given back starts nothing')

  await table.commit(await tasks.releaseForTask(team, 3))
  await wishes.set(team, 0)
  // It ends only when the division returns after the tasks have ended.
  await passUntil(() => Promise.resolve(hosts[1]?.tryTake(team) !== undefined))
})
