// The host that places work is about to power idle machines down. It freezes for 4 s while the store's
// answer to the record of these orders is on its way. Meanwhile another host takes over and starts the
// tasks of a job that lasts, of which one may be missing at a time.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, runCase, sleep, until } from '../standins-2/harness.mjs'

const freezeMs = 4_000
const tasks = 8
const mayMiss = 1
const noticeMs = 4_500
/** After a freeze in which the answer was not read, the next holder of the lease is frozen. */
const maxFreezes = 4
const idOf = n => n.toString(16).padStart(16, '0')

const queue = {
  name: 'sheets',
  host: 'jobs.example',
  path_prefix: '/sheets/',
  service: 'finder',
  priority: 0,
  max_attempts: 4,
  stretch: 2,
  target_latency_ms: 600,
  allow_anonymous: true,
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  await deployment.startPlatform()
  await deployment.configure({
    version: 1,
    routes: [queue],
    services: [{ name: 'finder' }, { name: 'reserve', spare: true }],
    limits: {},
    tenants: [],
  })
  for (let n = 1; n <= 8; n++)
    await deployment.startRunner(`m-${n}`, { service: 'finder', rack: `r${Math.ceil(n / 4)}` })
  await deployment.startHosts(3)
  const step = { count: tasks, cpu: 2_000, mem_mb: 256, estimate_ms: 900, long_running: true }
  const submit = (id, host) =>
    deployment.send(
      'POST',
      `/sheets/${id}`,
      { spec: 'last', steps: [{ ...step, may_miss: mayMiss }] },
      host,
    )
  if (!hasTrouble) {
    await until(
      () => deployment.platformEvents.find(({ event }) => event === 'move'),
      15_000,
      'an order to a machine',
    )
    await sleep(500)
    await submit(idOf(1), deployment.hosts[0])
    await sleep(10_000)
    return brokenBudgets(deployment)
  }
  for (let attempt = 1; attempt <= maxFreezes; attempt++) {
    const leader = await until(() => deployment.leader(), 10_000, 'a host that places work')
    const other = deployment.hosts.find(host => host !== leader)
    await freeze(deployment, leader, () => submit(idOf(attempt), other))
    await sleep(2_000)
    const broken = brokenBudgets(deployment)
    if (broken.length > 0 || attempt === maxFreezes) return broken
    // The store's answer was not read in time, so the host sent no order.
    await deployment.send('DELETE', `/sheets/${idOf(attempt)}`, undefined, other)
  }
  return []
})

/** Freezes the host that places work as the answer to its next record of orders is on its way. */
async function freeze(deployment, leader, whileFrozen) {
  const freezes = () => deployment.platformEvents.filter(({ event }) => event === 'frozen')
  const before = freezes().length
  const armed = { pid: leader.child.pid, table: 'machines' }
  await call(deployment.store, 'POST', '/admin/freeze', armed)
  await until(() => freezes().length > before, 20_000, 'an order to a machine')
  deployment.note('leader frozen', { host: leader.name })
  await sleep(500)
  await whileFrozen()
  await sleep(freezeMs - (Date.now() - freezes().at(-1).at))
  process.kill(leader.child.pid, 'SIGCONT')
  deployment.note('leader wakes', { host: leader.name })
}

/** Tasks at work that a move has ended while as many others as may be missing were away. */
function brokenBudgets({ platformEvents, runnerEvents, runners, note }) {
  const broken = []
  const ends = []
  for (const { at, machine } of platformEvents.filter(({ event }) => event === 'move')) {
    const lives = [...runners.values()].filter(each => each.machine === machine)
    const lost = runnerEvents.filter(
      ({ event, runner, at: startedAt }) =>
        event === 'started' && lives.some(each => each.id === runner) && startedAt + 200 < at,
    )
    for (const { task, runner, run } of lost) {
      const isOver = runnerEvents.some(
        each => each.event === 'ended' && each.task === task && each.run === run && each.at < at,
      )
      if (isOver || ends.some(each => each.task === task && each.run === run)) continue
      const away = ends.filter(
        each =>
          at - each.at < noticeMs &&
          each.task.split('.')[0] === task.split('.')[0] &&
          !runnerEvents.some(
            next =>
              next.event === 'started' &&
              next.task === each.task &&
              next.run > each.run &&
              next.at + 200 < at,
          ),
      )
      ends.push({ at, task, run })
      note('a move ended a task at work', { machine, runner, task, run, othersAway: away.length })
      if (away.length >= mayMiss)
        broken.push(
          `AVAIL: a move of ${machine} ended ${task} while ${away.length} others were away`,
        )
    }
  }
  return broken
}
