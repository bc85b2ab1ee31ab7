import t, { type Test } from 'tap'
import { fleetHostsTable, type FleetHostRow } from '@bulrushbridge/fleet'
import { hostsTable } from '@bulrushbridge/host'
import { createWorkerStandin, type ListedHost } from '@bulrushbridge/standins'
import { createHttpTableService, type DutyLeaseRow } from '@bulrushbridge/store'
import { createTestbed, launch, until, type Testbed } from '@bulrushbridge/testbed'
import { stringify } from 'yaml'

/**
 * Longest wait for the maintenance of nine hosts, a few at a time, and for the expiry of a lease, in
 * milliseconds.
 */
const maxRoundMs = 240_000

const rack = 'batch-rack'

/**
 * Run time of each job, in milliseconds: longer than the first workers are out of service, so that
 * the last one drains while it runs tasks.
 */
const jobMs = 15_000

async function startControl(t: Test, bed: Testbed, member: string) {
  const settings = {
    member,
    zone: 'a',
    host: '127.0.0.1',
    'table-url': bed.table.url,
    'object-url': bed.objects.url,
    'hosts-url': bed.hosts.url,
  }
  const args = Object.entries(settings).flatMap(([name, value]) => [`--${name}`, value])
  const program = await launch('bulrush-control', args, {
    BULRUSH_PEER_SECRET: 'testbed-peer-secret',
  })
  t.teardown(() => {
    program.kill('SIGKILL')
  })
  return { member, program }
}

async function startWorkers(t: Test, bed: Testbed) {
  const workers = await Promise.all(
    ['w1', 'w2', 'w3'].map((id, n) =>
      createWorkerStandin({ id, rack, zone: ['a', 'b', 'c'][n] ?? '' }),
    ),
  )
  t.teardown(() => Promise.all(workers.map(worker => worker.close())))
  const finderHosts = bed.sampleRunners.map(({ host, zone, address }, n): ListedHost => {
    return { id: host, zone, address, rack: `rack-${n % 2}`, state: 'live' }
  })
  bed.hosts.hostFaults.rebootMs = 500
  bed.hosts.set([
    ...finderHosts,
    ...workers.map(({ listedHost }) => ({ ...listedHost, state: 'live' as const })),
  ])
  const pools = [
    { name: 'finder' },
    { name: 'batch', racks: [rack] },
    { name: 'reserve', spare: true },
  ]
  const promotion = await bed.operator().promote(stringify({ ...bed.sample.data, pools }))
  t.equal(promotion.status, 200)
  return workers
}

async function acceptJobs(bed: Testbed, count: number): Promise<string[]> {
  const job = {
    request: { cpus: 1, memoryMb: 64, accelerators: 0, runMs: jobMs },
    idempotent: false,
    kind: 'merge',
    payload: { runMs: jobMs },
  }
  const url = `http://${bed.entries[0]?.callers ?? ''}/queues/lamps-jobs/jobs`
  const headers = { authorization: `Bearer ${bed.sample.keys.lamps ?? ''}`, connection: 'close' }
  const acceptedIds = Array.from({ length: count }, async () => {
    const res = await fetch(url, { method: 'POST', headers, body: JSON.stringify(job) })
    return ((await res.json()) as { id: string }).id
  })
  return Promise.all(acceptedIds)
}

void t.test('each host boots once though the holder of the fleet duty is killed', async t => {
  const bed = await createTestbed({ entryHosts: 2, runners: 6 })
  t.teardown(() => bed.close())
  const table = createHttpTableService({ url: bed.table.url })
  t.teardown(() => table.close())
  const workers = await startWorkers(t, bed)
  const controls = [await startControl(t, bed, 'e1'), await startControl(t, bed, 'e2')]
  const startedAt = Date.now()
  const readRows = async () =>
    (await table.scan<FleetHostRow>(fleetHostsTable)).map(({ value }) => value)
  await until(async () => (await readRows()).length === 9)
  const interruptedWorkers: string[] = []
  bed.hosts.onOrder = ({ id, action }) => {
    const worker = workers.find(({ listedHost }) => listedHost.id === id)
    const isBusy = worker?.tasks().some(({ state }) => state === 'running') === true
    if (action === 'reboot' && isBusy) interruptedWorkers.push(id)
  }
  const jobIds = await acceptJobs(bed, 6)

  await until(
    async () => (await readRows()).some(({ state }) => state === 'maintenance'),
    maxRoundMs,
  )
  const holder = (await table.read<DutyLeaseRow>('duties', 'fleet'))?.value.holder
  controls.find(({ member }) => member === holder)?.program.kill('SIGKILL')
  const remainingProgram = controls.find(({ member }) => member !== holder)?.program

  await until(async () => {
    const currentRows = await readRows()
    return currentRows.every(row => row.state === 'serving' && row.maintainedAt >= startedAt)
  }, maxRoundMs)
  const bootNumbers = bed.hosts
    .currentHosts()
    .map(({ bootId = '' }) => Number(bootId.split('-').at(-1)))
  t.same(
    bootNumbers.sort((a, b) => a - b),
    [1, 2, 3, 4, 5, 6, 7, 8, 9],
    'each host booted once',
  )
  const projectedKeys = (await table.scan(hostsTable)).map(({ key }) => key)
  t.same(projectedKeys.sort(), (await readRows()).map(({ pool, id }) => `${pool}/${id}`).sort())
  const countStarts = (id: string) =>
    workers.reduce((sum, worker) => sum + (worker.counters().startsByJob[id] ?? 0), 0)
  await until(() => jobIds.every(id => countStarts(id) > 0))
  t.ok(
    jobIds.every(id => countStarts(id) === 1),
    'no job was started twice',
  )
  t.same(interruptedWorkers, [], 'no worker was rebooted while it ran a task')
  const explanation = await bed.operator().get('explain/host/w1')
  t.equal(explanation.status, 200)
  t.match(JSON.stringify(explanation.body), /maintenance-due/)
  t.match(JSON.stringify(explanation.body), /healthy-return/)
  remainingProgram?.kill('SIGTERM')
  t.equal(
    await remainingProgram?.waitForExit(),
    0,
    'the remaining control program closes gracefully',
  )
})
