// A caller hands in one job with many tasks; other callers' jobs must still run.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, runCase, sleep } from '../standins/deployment.mjs'

const service = 'verdict-engine'
const queue = {
  name: 'flicker-verdict',
  host: 'finder.example',
  path_prefix: '/verdict/',
  service,
  priority: 1,
  max_attempts: 3,
  stretch: 1.6,
  target_latency_ms: 600,
}
const configuration = {
  version: 7,
  routes: [queue],
  services: [{ name: service }],
  limits: { max_body_bytes: 262_144 },
  tenants: [
    { name: 'large', api_keys: ['key-large'], weight: 1, maximum: { cpu: 0, mem_mb: 0, gpu: 0 } },
    { name: 'small', api_keys: ['key-small'], weight: 1, maximum: { cpu: 0, mem_mb: 0, gpu: 0 } },
  ],
}
const capacity = { cpu: 16_000, mem_mb: 65_536, gpu: 0 }
const runnerCount = 12

/** 2,500 tasks of 20 thousandths of a core: 50 of the service's 192 cores. */
const largeJob = {
  spec: 'large',
  steps: [{ count: 2_500, cpu: 20, mem_mb: 16, estimate_ms: 120_000 }],
}
const smallJob = { spec: 'small', steps: [{ count: 1, cpu: 500, mem_mb: 100, estimate_ms: 500 }] }
const largeId = '1a00000000000001'

const finishMs = 14_000
const stuckMs = 3_000

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, isTrouble, start }) => {
  const system = await start({
    configuration,
    runners: Array.from({ length: runnerCount }, (_, n) => ({
      id: `i-7f3a91c${n.toString(16)}`,
      service,
      zone: `z${1 + (n % 3)}`,
      rack: `r${1 + (n % 3)}`,
      capacity,
      workMs: task => (task.startsWith(largeId) ? 120_000 : 500),
    })),
  })
  const { hosts, runners } = system
  const accepted = []
  let sent = 0

  /** Hands in one small job at the next host, as a client does. */
  async function submitSmall() {
    const id = (0x5c0e7a2100000000n + BigInt(sent)).toString(16)
    const host = hosts[sent++ % hosts.length]
    const { status } = await call(host, queue, 'POST', id, smallJob, { key: 'key-small' }).catch(
      err => ({ status: err.message }),
    )
    record('small job sent', { id, host: host.name, status })
    if (status === 200) accepted.push(id)
  }

  async function submitFor(ms) {
    const deadline = performance.now() + ms
    while (performance.now() < deadline) {
      await submitSmall()
      await sleep(400)
    }
  }

  await submitFor(5_000)
  const before = accepted.length
  if (isTrouble) {
    const { status } = await call(hosts[0], queue, 'POST', largeId, largeJob, { key: 'key-large' })
    record('large job sent', { id: largeId, tasks: largeJob.steps[0].count, status })
  }
  await sleep(6_000)
  await submitFor(15_000)
  record('traffic ends')
  await sleep(finishMs)

  // finish_s after the end of the traffic: a job that has nothing running for 3 s, with its task's
  // turn come and room for it twice over, while under half of the service's capacity is in use.
  const waitingSince = new Map()
  const stuck = new Set()
  let mostInUse = 0
  const samplesEnd = performance.now() + stuckMs + 1_500
  const states = new Map()
  while (performance.now() < samplesEnd) {
    for (const id of accepted) {
      if (states.get(id) === 'completed') continue
      const answer = await call(hosts[1], queue, 'GET', id, undefined, { key: 'key-small' }).catch(
        err => ({ text: err.message }),
      )
      states.set(id, JSON.parse(answer.text).state ?? answer.text)
    }
    const runningTasks = runners.flatMap(({ running }) => [...running.keys()])
    const cpuOf = task => (task.startsWith(largeId) ? 20 : 500)
    const inUse = runningTasks.reduce((sum, task) => sum + cpuOf(task), 0)
    mostInUse = Math.max(mostInUse, inUse / (runnerCount * capacity.cpu))
    const hasRoom = inUse < (runnerCount * capacity.cpu) / 2
    const now = performance.now()
    for (const id of accepted) {
      const isWaiting =
        states.get(id) !== 'completed' && !runningTasks.some(task => task.startsWith(id))
      if (!isWaiting || !hasRoom) waitingSince.delete(id)
      else if (!waitingSince.has(id)) waitingSince.set(id, now)
      else if (now - waitingSince.get(id) >= stuckMs) stuck.add(id)
    }
    await sleep(200)
  }
  const largeRuns = runners.reduce(
    (sum, { running }) => sum + [...running.keys()].filter(task => task.startsWith(largeId)).length,
    0,
  )
  const refused = system.store.refusedTooLarge
  record('result', {
    acceptedBeforeTheLargeJob: before,
    accepted: accepted.length,
    stuck: stuck.size,
    largestShareOfCapacityInUse: mostInUse,
    tasksOfTheLargeJobRunning: largeRuns,
    rowsRefusedAsTooLarge: refused.length,
    largestRowRefused: Math.max(0, ...refused.map(({ bytes }) => bytes)),
  })
  for (const line of system.logLines('job transaction failed').slice(0, 3)) record('log', { line })
  console.log(`accepted ${accepted.length}, never started ${stuck.size}`)
  return stuck.size === 0
})
