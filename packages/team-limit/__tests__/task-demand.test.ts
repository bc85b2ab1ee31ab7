import t from 'tap'
import { createManualClock, createTableStandin, waitUntil } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import { createTaskPermits, createTaskDemandWriter, createTeamPermits } from '../src/index.js'

const team = 'lumen'
const limits = new Map([[team, 4]])

void t.test('idle entry hosts give up permits for tasks, and busy ones keep theirs', async t => {
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
    returnLoan: () => Promise.resolve(),
  }
  const isSettled = () => Promise.resolve(true)
  const hosts = members.map(({ id, incarnation }) =>
    createTeamPermits({ member: id, incarnation, table, peers, isSettled, clock, rng: () => 0.5 }),
  )
  for (const host of hosts) host.configure({ version: 1, limits, members })
  const advance = async (ms: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      clock.advance(50)
      for (const host of hosts) {
        host.setConfirmedUntil(Infinity)
        host.tick()
      }
      await new Promise(resolve => setTimeout(resolve, 5))
    }
  }
  const tasks = createTaskPermits({ table })
  tasks.configure({ version: 1, limits })
  const taskDemand = createTaskDemandWriter({ table, pool: 'batch' })
  const advanceUntil = (condition: () => Promise<boolean>) =>
    waitUntil(async () => {
      await advance(250)
      return condition()
    })
  await advanceUntil(async () => (await tasks.reserveForTask(team, 1)) === undefined)
  const busy = hosts[0]?.tryAcquire(team)
  t.ok(busy)
  t.equal(
    await tasks.reserveForTask(team, 1),
    undefined,
    'idle permits keep tasks from starting while no demand is written',
  )

  await taskDemand.set(team, 4)
  await advanceUntil(async () => (await tasks.reserveForTask(team, 3)) !== undefined)
  t.equal(await tasks.reserveForTask(team, 4), undefined, 'the permit in use is not given up')
  const reserved = await tasks.reserveForTask(team, 3)
  t.ok(reserved && (await table.commit(reserved)).committed, 'the idle permits are given up')
  t.notOk(hosts[1]?.tryAcquire(team), 'a permit given up starts no work')

  await table.commit(await tasks.releaseForTask(team, 3))
  await taskDemand.set(team, 0)
  // Returns only once the idle host has its even share again, after the tasks have ended.
  await advanceUntil(() => Promise.resolve(hosts[1]?.tryAcquire(team) !== undefined))
})
