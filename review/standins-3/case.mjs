// What the cases share: the record, the start and the end of a deployment, and the exit status.
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createCloud } from './cloud.mjs'
import { bounds, createHost } from './hosts.mjs'
import { call, sleep } from './http.mjs'
import { createRunner } from './runner.mjs'
import { createStore } from './store.mjs'

export { bounds, call, sleep }

export const hasTrouble = process.env.TROUBLE !== '0'

const routeHost = 'jobs.example'
export const prefix = '/work/'

/** Status with which a case that could not run ends. */
const couldNotRun = 2

/**
 * Runs a case: `play(ctx)` resolves to the list of breaches of the rule. Writes `record.txt` to `dir`
 * and ends the process with 1 if there was a breach, 0 if there was none, and 2 if the case did not run.
 */
export async function runCase(dir, opts, play) {
  const startedAt = performance.now()
  const lines = []
  const events = []
  const onEvent = (kind, fields) => {
    const at = Math.round(performance.now() - startedAt)
    events.push({ at, kind, ...fields })
    lines.push(`${String(at).padStart(7)} ms  ${kind} ${JSON.stringify(fields)}`)
  }
  const note = text => onEvent('note', { text })
  const deployment = await createDeployment(opts, onEvent)
  let status = couldNotRun
  const limit = setTimeout(() => {
    note('the case took too long')
    finish(couldNotRun)
  }, 115_000)
  const finish = code => {
    clearTimeout(limit)
    lines.push(`exit status ${code}`)
    writeFileSync(join(dir, 'record.txt'), `${lines.join('\n')}\n`)
    deployment.kill()
    process.exit(code)
  }
  try {
    const breaches = await play({ ...deployment, events, note })
    for (const breach of breaches) note(`breach: ${breach}`)
    status = breaches.length > 0 ? 1 : 0
  } catch (err) {
    note(`the case could not run: ${err.stack}`)
  }
  await deployment.close()
  console.log(lines.filter(line => line.includes('  note ')).join('\n'))
  finish(status)
}

/** Starts the platform, the runners and the hosts of a small deployment. */
async function createDeployment(
  { hosts: hostCount = 2, pools, durationMs, tenants, maxAttempts = 2 },
  onEvent,
) {
  const temporary = mkdtempSync(join(tmpdir(), 'bulrush-review-'))
  const store = createStore()
  const runners = []
  const machines = new Map()
  let runnerCount = 0
  const newRunner = (service, zone, rack, capacity) => {
    runnerCount += 1
    const runner = createRunner({
      id: `i-${runnerCount}`,
      store,
      ip: '127.0.0.1',
      zone,
      service,
      labels: ['a', rack],
      capacity,
      bounds,
      durationMs,
      onEvent,
    })
    runners.push(runner)
    return runner
  }
  let machineCount = 0
  for (const { name, count, capacity = { cpu: 32_000, mem_mb: 65_536, gpu: 0 } } of pools) {
    for (let n = 0; n < count; n++) {
      machineCount += 1
      const zone = `z-${n % 2}`
      const rack = `r${n % 2}-${Math.floor(n / 4)}`
      machines.set(`m-${machineCount}`, {
        runner: newRunner(name, zone, rack, capacity),
        pool: name,
        state: 'up',
        zone,
        labels: ['a', rack],
        capacity,
        nextRunner: pool => newRunner(pool, zone, rack, capacity),
      })
    }
  }
  const cloud = createCloud({ machines, bounds, onEvent })
  store.put('op', 'config', {
    version: 1,
    routes: [
      {
        name: 'r-work',
        host: routeHost,
        path_prefix: prefix,
        kind: 'unsafe',
        timeout_ms: 3_000,
        target_latency_ms: 600,
        priority: 0,
        service: pools[0].name,
        max_attempts: maxAttempts,
        stretch: 1.6,
        allow_anonymous: false,
      },
    ],
    services: pools.map(({ name, spare = false }) => ({ name, spare, rejects_overload: false })),
    limits: { max_body_bytes: 262_144 },
    tenants: tenants ?? [
      { name: 't1', api_keys: ['key-1'], weight: 10, maximum: { cpu: 0, mem_mb: 0, gpu: 0 } },
    ],
  })
  await Promise.all(runners.map(runner => runner.start()))
  const hosts = []
  for (let n = 0; n < hostCount; n++) {
    const name = `front-${n + 1}`
    hosts.push(
      await createHost({
        name,
        zone: `z-${n % 2}`,
        ip: `127.0.${40 + n}.1`,
        dir: temporary,
        storeAddress: await store.serve(name, '127.0.0.1'),
        cloudAddress: await cloud.serve(name, '127.0.0.1'),
        onEvent,
      }),
    )
  }
  for (const host of hosts) host.start()
  await Promise.all(hosts.map(host => host.whenReady()))

  const send = async (method, id, body, host = hosts.find(each => each.isRunning)) => {
    const headers = {
      host: routeHost,
      authorization: 'Token key-1',
      'bulrushbridge-deadline-ms': '3000',
    }
    const path = `${prefix}${id}`
    const answer = await call({ address: host.front, method, path, headers, body })
    onEvent('request', {
      method,
      id,
      host: host.name,
      status: answer.status,
      body: answer.body,
    })
    return answer
  }
  const whenTrue = async (what, check, timeoutMs) => {
    const deadline = performance.now() + timeoutMs
    while (!(await check())) {
      if (performance.now() > deadline) throw new Error(`not in time: ${what}`)
      await sleep(20)
    }
  }

  return {
    store,
    cloud,
    runners,
    machines,
    hosts,
    temporary,
    send,
    whenTrue,
    /** Hands a job in as a client does: again with the same id until it is accepted or refused. */
    async submit(id, job) {
      for (let attempt = 0; attempt < 5; attempt++) {
        const { status } = await send('POST', id, job)
        if (status === 200) return
        await sleep(500)
      }
      throw new Error(`job ${id} was not accepted`)
    },
    /** The host that holds the lease of the dispatcher, by the row of the lease. */
    leader() {
      const row = store.read('duties', 'dispatch')
      return hosts.find(({ name }) => name === row?.holder)
    },
    kill() {
      for (const host of hosts) host.signal('SIGKILL')
    },
    async close() {
      cloud.isClosed = true
      await Promise.all(hosts.map(host => host.stop()))
      for (const runner of runners) runner.crash()
      cloud.close()
      store.close()
    },
  }
}
