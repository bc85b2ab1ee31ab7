// One gang of 1,200 tasks is submitted, which fits into the pool. Each host that places it runs out of
// memory, and so does the next one that takes over.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CannotRunError, longestIdle, runCase } from '../standins-2/harness.mjs'
import {
  finishMs,
  idOf,
  sendTraffic,
  soundJobs,
  startDeployment,
  watchIdleJobs,
  watchMs,
} from '../standins-2/day.mjs'

const gangTasks = 1_200
/** Processor time of the whole gang, in thousandths of a core; the pool has 128,000. */
const gangCpu = 40_000
const gangId = idOf(1_000)

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  await startDeployment(deployment)
  // Without the trouble, the same work comes as a gang of fewer tasks.
  const count = hasTrouble ? gangTasks : 20
  const gang = { count, cpu: Math.floor(gangCpu / count), mem_mb: 16, gang: true, estimate_ms: 500 }
  let isGangAccepted = false
  const accepted = await sendTraffic(deployment, n => {
    if (n !== soundJobs / 2) return
    const job = { spec: 'work 500', steps: [gang] }
    void deployment.send('POST', `/checks/${gangId}`, job).then(({ status }) => {
      isGangAccepted = status === 200
    })
  })
  if (!isGangAccepted) throw new CannotRunError('the gang was not accepted')
  const from = Date.now() + finishMs
  const broken = await watchIdleJobs(deployment, accepted)
  const idleMs = longestIdle(deployment.runnerEvents, gangId, count, from, from + watchMs)
  if (idleMs >= 3_000)
    broken.push(
      `LOST: the gang had nothing running for ${idleMs} ms, later than 14 s after the traffic`,
    )
  for (const { name, exits } of deployment.hosts) {
    if (exits.length > 0)
      broken.push(`a process crashes: ${name} ended by itself ${exits.length} times`)
  }
  return broken
})
