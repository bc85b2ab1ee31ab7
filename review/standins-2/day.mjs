// A small deployment of two pools and a spare one, and its ordinary traffic: small jobs, one after another.
import { longestIdle, sleep } from './harness.mjs'

export const soundJobs = 60
export const trafficMs = 20_000
export const finishMs = 14_000
export const watchMs = 20_000
/** A job may have nothing running for as long while a task's turn has come and there is capacity. */
const maxIdleMs = 3_000
const soundStep = { count: 2, cpu: 500, mem_mb: 64, estimate_ms: 500 }

export const idOf = n => n.toString(16).padStart(16, '0')

const queue = {
  host: 'jobs.example',
  priority: 0,
  max_attempts: 4,
  stretch: 2,
  target_latency_ms: 600,
  allow_anonymous: true,
}
export const configuration = {
  version: 1,
  routes: [
    { ...queue, name: 'checks', path_prefix: '/checks/', service: 'finder' },
    { ...queue, name: 'verdicts', path_prefix: '/verdicts/', service: 'verdict' },
  ],
  services: [{ name: 'finder' }, { name: 'verdict' }, { name: 'reserve', spare: true }],
  limits: {},
  tenants: [],
}

/** Starts the platform, 8 runners of `finder`, 5 of `verdict`, 8 spare machines and 3 hosts. */
export async function startDeployment(deployment, cfg = configuration) {
  await deployment.startPlatform()
  await deployment.configure(cfg)
  const rackOf = n => `r${Math.ceil(n / 4)}`
  for (let n = 1; n <= 8; n++)
    await deployment.startRunner(`m-${n}`, { service: 'finder', rack: rackOf(n) })
  for (let n = 9; n <= 13; n++)
    await deployment.startRunner(`m-${n}`, { service: 'verdict', rack: rackOf(n) })
  for (let n = 14; n <= 21; n++)
    await deployment.addSpareMachine(`m-${n}`, { service: 'reserve', rack: rackOf(n) })
  await deployment.startHosts(3)
}

/** Sends the sound jobs; `beforeJob` is called with the number of each. Returns the accepted ones. */
export async function sendTraffic(deployment, beforeJob) {
  const accepted = []
  const sends = []
  for (let n = 0; n < soundJobs; n++) {
    beforeJob(n)
    const id = idOf(n + 1)
    const job = { spec: 'work 500', steps: [soundStep] }
    const sending = deployment
      .send('POST', `/checks/${id}`, job, deployment.hosts[n % 3])
      .then(({ status }) => status === 200 && accepted.push(id))
      .catch(err => deployment.note('no answer', { id, reason: err.message }))
    sends.push(sending)
    await sleep(trafficMs / soundJobs)
  }
  await Promise.all(sends)
  deployment.note('traffic ended', { accepted: accepted.length })
  return accepted.sort()
}

/** Waits, and returns the jobs that had nothing running for 3 s later than 14 s after the traffic. */
export async function watchIdleJobs(deployment, accepted) {
  const from = Date.now() + finishMs
  await sleep(finishMs + watchMs)
  const broken = accepted.flatMap(id => {
    const idleMs = longestIdle(deployment.runnerEvents, id, soundStep.count, from, from + watchMs)
    if (idleMs < maxIdleMs) return []
    deployment.note('job without a run', { id, idleMs })
    return [`LOST: ${id} had nothing running for ${idleMs} ms, later than 14 s after the traffic`]
  })
  for (const { name, log, exits } of deployment.hosts) {
    const terms = log.filter(line => line.includes('"dispatcher term started"')).length
    deployment.note('host', { host: name, endedByItself: exits.length, termsAsHolder: terms })
  }
  return broken.length > 3 ? [...broken.slice(0, 3), `LOST: ${broken.length} jobs in all`] : broken
}
