import t from 'tap'
import type { WorkerClock } from '@bulrushbridge/host'
import { createRunnerStandin, createWorkerStandin, waitUntil } from '@bulrushbridge/standins'
import { createHostProbe } from '../src/index.js'

const task = {
  taskId: 't1',
  jobId: 'j1',
  team: 'lamps',
  fencingToken: 1,
  leaseDeadlineMs: 60_000,
  ...{ cpus: 1, memoryMb: 64, accelerators: 0 },
  payload: { runMs: 60_000 },
}

void t.test('a host is empty only when its worker and its runners report no work', async t => {
  const probe = createHostProbe()
  const worker = await createWorkerStandin({ id: 'w1', rack: 'r1', zone: 'a' })
  t.teardown(() => worker.close())
  const runner = await createRunnerStandin({
    host: '127.0.0.1',
    port: 0,
    id: 'r1',
    zone: 'a',
    seed: 1,
  })
  t.teardown(() => runner.close())
  const probedHost = { address: worker.address, runners: [runner.address] }
  t.ok(await probe.isEmpty(probedHost))
  t.equal(await probe.checkHealth(probedHost), 'healthy')

  const url = `http://${worker.address}`
  const { boot, now } = (await (await fetch(`${url}/clock`)).json()) as WorkerClock
  const body = JSON.stringify({ ...task, boot, startBefore: now + 5_000 })
  t.equal((await fetch(`${url}/tasks`, { method: 'POST', body })).status, 201)
  t.notOk(await probe.isEmpty(probedHost), 'a task runs')
  t.ok(await probe.isEmpty({ address: runner.address, runners: [runner.address] }))

  worker.faults.freeze = true
  t.notOk(await probe.isEmpty(probedHost), 'a worker that does not answer may still work')
  t.equal(await probe.checkHealth(probedHost), 'silent')
  worker.faults.freeze = false

  await worker.close()
  // The first call may still use a connection that the worker has closed, which does not show that
  // the worker has ended.
  await waitUntil(() => probe.isEmpty(probedHost))
  t.equal(await probe.checkHealth(probedHost), 'silent')
})
