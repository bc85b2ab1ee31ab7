import t from 'tap'
import { hostsTable, workerKey } from '@bulrushbridge/host'
import type { StoredJob } from '@bulrushbridge/jobs'
import { createWorkerStandin } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import { createTestbed, launch, until } from '@bulrushbridge/testbed'

const validJob = {
  request: { cpus: 1, memoryMb: 64, accelerators: 0, runMs: 50 },
  idempotent: false,
  kind: 'merge',
  payload: { runMs: 50 },
}

void t.test('a job of a caller runs on a worker, and invalid jobs are refused', async t => {
  const bed = await createTestbed({ entryHosts: 2, runners: 2 })
  t.teardown(() => bed.close())
  const worker = await createWorkerStandin({ id: 'w1', rack: 'r1', zone: 'a' })
  t.teardown(() => worker.close())
  const table = createHttpTableService({ url: bed.table.url })
  t.teardown(() => table.close())
  const workerRow = { table: hostsTable, key: workerKey('batch', 'w1') }
  const value = { ...worker.listedHost, pool: 'batch' }
  await table.commit({ checks: [], writes: [{ ...workerRow, value }] })
  const commonSettings = { zone: 'a', host: '127.0.0.1', 'table-url': bed.table.url }
  const settings = { ...commonSettings, member: 'e1', 'object-url': bed.objects.url }
  const args = Object.entries(settings).flatMap(([name, text]) => [`--${name}`, text])
  const env = { BULRUSH_PEER_SECRET: 'testbed-peer-secret' }
  const control = await launch('bulrush-control', args, env)
  t.teardown(() => {
    control.kill('SIGKILL')
  })

  const call = async (path: string, body?: unknown, key = bed.sample.keys.lamps ?? '') => {
    const res = await fetch(`http://${bed.entries[0]?.callers ?? ''}/queues/${path}`, {
      headers: { authorization: `Bearer ${key}`, connection: 'close', 'bulrush-deadline': '3000' },
      ...(body === undefined ? {} : { method: 'POST', body: JSON.stringify(body) }),
    })
    const json = (await res.json()) as { id: string; error?: { kind: string; outcome: string } }
    return { status: res.status, json, error: json.error }
  }
  const refusals = await Promise.all([
    call('lamps-jobs/jobs', validJob, bed.sample.keys.mills),
    call('nowhere/jobs', validJob),
    call('lamps/jobs', validJob),
    call('lamps-jobs/jobs', { ...validJob, request: { ...validJob.request, cpus: -1 } }),
    call('lamps-jobs/jobs', { ...validJob, payload: 'x'.repeat(70_000) }),
    call('lamps-jobs/jobs/lamps-jobs.none'),
  ])
  t.same(
    refusals.map(({ error }) => error?.kind),
    [
      'key-wrong-team',
      'unknown-queue',
      'unknown-queue',
      'bad-request',
      'body-too-large',
      'job-unknown',
    ],
  )
  const { status, json } = await call('lamps-jobs/jobs', validJob)
  t.equal(status, 202)
  const readState = async (id: string) => {
    const job = (await call(`lamps-jobs/jobs/${id}`)).json as unknown as StoredJob
    return job.state
  }
  await until(async () => (await readState(json.id)) === 'finished')
  t.equal(worker.counters().startsByJob[json.id], 1)

  const longJob = await call('lamps-jobs/jobs', { ...validJob, payload: { runMs: 600_000 } })
  await until(async () => (await readState(longJob.json.id)) === 'running')
  await call('lamps-jobs/jobs/cancel', { ids: [longJob.json.id] })
  await until(async () => (await readState(longJob.json.id)) === 'cancelled')
  t.same(
    worker.tasks().filter(task => task.state === 'running'),
    [],
  )

  bed.table.faults.down = true
  const response = await call('lamps-jobs/jobs', validJob)
  t.equal(response.error?.kind, 'store-unavailable')
  bed.table.faults.down = false
})
