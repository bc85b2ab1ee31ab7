// A client cancels a job of 3,000 tasks that are running. From then on each host that places work is busy
// with the ends of these runs for longer than its lease lasts.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { runCase } from '../standins-2/harness.mjs'
import { idOf, sendTraffic, soundJobs, startDeployment, watchIdleJobs } from '../standins-2/day.mjs'

const tasks = 3_000
const cpu = 30
const cancelMs = 3_000
const stopMs = 200
const id = idOf(1_000)

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  await startDeployment(deployment)
  const job = { spec: 'work 90000', steps: [{ count: tasks, cpu, mem_mb: 8, estimate_ms: 90_000 }] }
  let cancelledAt
  const accepted = await sendTraffic(deployment, n => {
    if (n === soundJobs / 4) void deployment.send('POST', `/checks/${id}`, job)
    if (n !== (soundJobs * 3) / 4 || !hasTrouble) return
    const started = deployment.runnerEvents.filter(
      ({ event, task }) => event === 'started' && task.startsWith(id),
    )
    deployment.note('job is cancelled', { running: started.length })
    void deployment.send('DELETE', `/checks/${id}`).then(({ status }) => {
      if (status === 200) cancelledAt = Date.now()
    })
  })
  const broken = await watchIdleJobs(deployment, accepted)
  if (cancelledAt === undefined) return broken
  const late = deployment.runnerEvents.filter(
    ({ event, task, at }) =>
      event === 'ended' && task.startsWith(id) && at > cancelledAt + cancelMs + stopMs,
  )
  const lastMs = Math.max(0, ...late.map(({ at }) => at - cancelledAt))
  if (late.length > 0)
    broken.push(`UNASKED: ${late.length} tasks ran on, for up to ${lastMs} ms after the cancelling`)
  return broken
})
