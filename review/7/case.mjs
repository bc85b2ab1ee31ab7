// Fifty jobs with times are submitted whose first thousand occurrences are due. Each host that places work
// runs out of memory while it reads them, and so does the next one that takes over.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CannotRunError, runCase } from '../standins-2/harness.mjs'
import { idOf, sendTraffic, soundJobs, startDeployment, watchIdleJobs } from '../standins-2/day.mjs'

const timedJobs = 50
const steps = 8
const repetitions = 1_000
const intervalMs = 1_000
const step = { count: 1, cpu: 100, mem_mb: 16, estimate_ms: 500 }

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, hasTrouble) => {
  await startDeployment(deployment)
  // Without the trouble, each job has ten occurrences.
  const count = hasTrouble ? repetitions : 10
  const job = {
    spec: 'work 500',
    steps: Array.from({ length: steps }, (_, n) => (n === 0 ? step : { ...step, after: [n - 1] })),
    repetitions: count,
    first_ms: Date.now() - count * intervalMs,
    interval_ms: intervalMs,
  }
  const timed = []
  const accepted = await sendTraffic(deployment, n => {
    const first = timed.length
    const last = Math.min(timedJobs, Math.max(0, n + 1 - soundJobs / 4) * 2)
    for (let number = first; number < last; number++) {
      const id = idOf(1_000 + number)
      timed.push(id)
      void deployment
        .send('POST', `/checks/${id}`, job, deployment.hosts[number % 3])
        .catch(err => deployment.note('no answer', { id, reason: err.message }))
    }
  })
  if (timed.length < timedJobs) throw new CannotRunError('not all jobs were sent')
  const broken = await watchIdleJobs(deployment, accepted)
  for (const { name, exits } of deployment.hosts) {
    if (exits.length > 0)
      broken.push(`a process crashes: ${name} ended by itself ${exits.length} times`)
  }
  return broken
})
