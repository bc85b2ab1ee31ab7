// One runner of eight crashes at a time, four times; each time a task of the same job works there.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, runCase, sleep, waitFor } from '../standins/deployment.mjs'

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
  tenants: [{ name: 'a', api_keys: ['key-a'], weight: 1, maximum: { cpu: 0, mem_mb: 0, gpu: 0 } }],
}
const capacity = { cpu: 16_000, mem_mb: 65_536, gpu: 0 }
const runnerCount = 8
const workMs = 6_000
const job = {
  spec: 'verdict',
  steps: [{ count: 1, cpu: 1_800, mem_mb: 5_000, estimate_ms: workMs }],
}
const id = '5c0e7a2100000001'

const crashCount = 4
const downMs = 1_000
/** How long the task has worked when its runner crashes. */
const crashAfterMs = 1_500

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, isTrouble, start }) => {
  const { hosts, runners } = await start({
    configuration,
    runners: Array.from({ length: runnerCount }, (_, n) => ({
      id: `i-7f3a91c${n}`,
      service,
      zone: `z${1 + (n % 3)}`,
      rack: `r${1 + (n % 2)}`,
      capacity,
      workMs: () => workMs,
    })),
  })
  const state = async () => {
    const { text } = await call(hosts[1], queue, 'GET', id, undefined, { key: 'key-a' })
    return JSON.parse(text).state
  }
  const { status } = await call(hosts[0], queue, 'POST', id, job, { key: 'key-a' })
  record('job sent', { id, status })
  if (status !== 200) throw new Error(`the job was not accepted: ${status}`)
  const holder = () =>
    runners.find(({ running }) => [...running.keys()].some(task => task.startsWith(id)))
  for (let n = 1; isTrouble && n <= crashCount; n++) {
    await waitFor(
      async () => holder() !== undefined || (await state()) === 'failed',
      15_000,
      'a start',
    )
    if (holder() === undefined) break
    await sleep(crashAfterMs)
    holder()?.crash(downMs)
  }
  let shown
  await waitFor(
    async () => ['completed', 'failed', 'cancelled'].includes((shown = await state())),
    40_000,
    'the end of the job',
  )
  record('state of the job', { id, state: shown, endsFailed: 0, maxAttempts: queue.max_attempts })
  console.log(`the job is shown as ${shown}`)
  return shown === 'completed'
})
