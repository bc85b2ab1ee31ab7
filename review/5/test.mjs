// A runner is cut off while jobs are started there. The number of jobs that have not begun must count them.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, runCase, sleep, waitFor } from '../standins/deployment.mjs'

const service = 'finder-web'
const queue = {
  name: 'lamp-check',
  host: 'finder.example',
  path_prefix: '/lamp/',
  service,
  priority: 0,
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
const job = { spec: 'lamp', steps: [{ count: 1, cpu: 800, mem_mb: 3_000, estimate_ms: 300 }] }

const cutMs = 5_500
const sendEveryMs = 100
/** visible_ms and the 2 s by which the number may be old. */
const countedAfterMs = 3_000 + 2_000

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, isTrouble, start }) => {
  const begun = new Set()
  const { hosts, runners } = await start({
    configuration,
    runners: Array.from({ length: runnerCount }, (_, n) => ({
      id: `i-7f3a91c${n}`,
      service,
      zone: `z${1 + (n % 3)}`,
      rack: `r${1 + (n % 2)}`,
      capacity,
      workMs: task => {
        begun.add(task.slice(0, 16))
        return 300
      },
    })),
  })
  const acceptedAt = new Map()
  let sent = 0
  async function submit() {
    const id = (0x5c0e7a2100000000n + BigInt(sent)).toString(16)
    const host = hosts[sent++ % hosts.length]
    const { status } = await call(host, queue, 'POST', id, job, { key: 'key-a' })
    record('job sent', { id, host: host.name, status })
    if (status === 200) acceptedAt.set(id, performance.now())
  }
  async function submitFor(ms) {
    const deadline = performance.now() + ms
    while (performance.now() < deadline) {
      await submit()
      await sleep(sendEveryMs)
    }
  }
  await submitFor(4_000)
  if (isTrouble) {
    // One of eight runners: the one that runs most.
    const runner = [...runners].sort((a, b) => b.running.size - a.running.size)[0]
    runner.cut()
    setTimeout(() => runner.heal(), cutMs)
  }
  await submitFor(1_500)
  record('traffic ends')

  const broken = []
  const deadline = performance.now() + 14_000
  while (performance.now() < deadline) {
    for (const host of hosts) {
      const askedAt = performance.now()
      const { status, text } = await call(host, queue, 'GET', '', undefined, { key: 'key-a' })
      const { waiting } = JSON.parse(text)
      // Jobs that had not begun when the answer arrived, counted from the request.
      const notBegun = [...acceptedAt].filter(
        ([id, at]) => askedAt - at > countedAfterMs && !begun.has(id),
      )
      if (status !== 200 || waiting >= notBegun.length / 2) continue
      const answer = {
        host: host.name,
        waiting,
        notBegun: notBegun.length,
        jobs: notBegun.map(([id]) => id).slice(0, 3),
      }
      broken.push(answer)
      record('too few jobs are given as waiting', answer)
    }
    await sleep(50)
  }
  await waitFor(() => acceptedAt.size === begun.size, 10_000, 'all jobs to begin')
  record('result', { accepted: acceptedAt.size, answersBroken: broken.length })
  console.log(`${broken.length} answers gave too few jobs as waiting`)
  return broken.length === 0
})
