// A job of one task loses its runner four times. None of its runs ends as failed.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase, sleep, until } from '../standins-2/harness.mjs'

const crashes = 4
const workMs = 8_000
/** A runner is down for as long, so that one of eight is down at a time. */
const downMs = 4_500

const queue = {
  name: 'sheets',
  host: 'jobs.example',
  path_prefix: '/sheets/',
  service: 'finder',
  priority: 0,
  max_attempts: 3,
  stretch: 2,
  target_latency_ms: 600,
  allow_anonymous: true,
}
const id = '5c0e7a21d94b36f8'

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  await deployment.startPlatform()
  await deployment.configure({
    version: 1,
    routes: [queue],
    services: [{ name: 'finder' }],
    limits: {},
    tenants: [],
  })
  for (let n = 1; n <= 8; n++)
    await deployment.startRunner(`m-${n}`, { service: 'finder', rack: `r${Math.ceil(n / 4)}` })
  await deployment.startHosts(3)
  const job = {
    spec: `work ${workMs}`,
    steps: [{ count: 1, cpu: 820, mem_mb: 256, estimate_ms: workMs }],
  }
  const { status } = await deployment.send('POST', `/sheets/${id}`, job)
  if (status !== 200) throw new Error(`the job was answered ${status}`)

  const startsOf = () => deployment.runnerEvents.filter(({ event }) => event === 'started')
  for (let n = 1; hasTrouble && n <= crashes; n++) {
    await until(() => startsOf().length >= n, 15_000, `start ${n} of the task`)
    const { runner } = startsOf().at(-1)
    await sleep(downMs)
    const { machine, rack } = deployment.runners.get(runner)
    await deployment.crashRunner(runner)
    // The runner of the next life has another id, and runs nothing.
    void sleep(downMs).then(() => deployment.startRunner(machine, { service: 'finder', rack }))
  }
  const state = await until(
    async () => {
      const { body } = await deployment.send('GET', `/sheets/${id}`, undefined, deployment.hosts[1])
      const { state } = JSON.parse(body)
      if (['completed', 'failed', 'cancelled'].includes(state)) return state
      await sleep(500)
      return undefined
    },
    40_000,
    'the end of the job',
  )
  const failed = deployment.runnerEvents.filter(({ how }) => how === 'failed').length
  if (state === 'completed') return []
  return [`LOST: the job is shown as ${state}, and ${failed} of its runs ended as failed`]
})
