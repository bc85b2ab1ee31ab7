import t from 'tap'
import type { WorkerRow } from '@bulrushbridge/host'
import { exceedsEveryWorker, type QueuedJob } from '@bulrushbridge/jobs'
import { seededRandom } from '@bulrushbridge/standins'
import {
  choosePlacements,
  createLearnedSizes,
  createWorkerFailureTracker,
  type PlacementInput,
} from '../src/index.js'

function worker(id: string, rack: string, zone: string): WorkerRow {
  const size = { cpus: 4, memoryMb: 4_096, accelerators: 0 }
  return { id, pool: 'batch', rack, zone, address: '127.0.0.1:1', ...size }
}

function job(id: string, team: string, fields: Partial<QueuedJob> = {}): QueuedJob {
  const request = { cpus: 1, memoryMb: 64, accelerators: 0, runMs: 50 }
  const kind = 'plan'
  const queue = 'q'
  return {
    id,
    team,
    queue,
    idempotent: true,
    urgent: false,
    request,
    kind,
    acceptedAt: 0,
    ...fields,
  }
}

const workers = ['a', 'b'].flatMap(zone =>
  ['1', '2'].map(rack => worker(`w${zone}${rack}`, `${zone}${rack}`, zone)),
)

function inputWith(fields: Partial<PlacementInput>): PlacementInput {
  return {
    jobs: [],
    workers,
    tasks: [],
    zonesOut: new Set(),
    closedWorkers: new Set(),
    shares: new Map([
      ['lamps', 2],
      ['mills', 1],
    ]),
    sizeOf: ({ request }) => request,
    limit: 100,
    ...fields,
  }
}

function jobsOfTeam(team: string, count: number): QueuedJob[] {
  return Array.from({ length: count }, (_, n) => job(`${team}${n}`, team))
}

void t.test('a full pool is divided by share, independently of the order of the jobs', t => {
  const rng = seededRandom(3)
  const jobs = [...jobsOfTeam('lamps', 30), ...jobsOfTeam('mills', 30)].sort(() => rng() - 0.5)
  const placed = choosePlacements(inputWith({ jobs }))
  const lamps = placed.filter(each => each.job.team === 'lamps').length
  t.equal(placed.length, 16, 'no capacity is left over')
  t.ok(lamps === 10 || lamps === 11, `${lamps} of 16 for two thirds of the shares`)
  t.end()
})

void t.test('urgent jobs go first within a team and use no share of other teams', t => {
  const urgent = Array.from({ length: 20 }, (_, n) => job(`u${n}`, 'mills', { urgent: true }))
  const placed = choosePlacements(
    inputWith({ jobs: [...jobsOfTeam('lamps', 20), ...jobsOfTeam('mills', 5), ...urgent] }),
  )
  const mills = placed.filter(each => each.job.team === 'mills')
  t.ok(mills.length <= 6)
  t.ok(mills.every(each => each.job.urgent))
  t.end()
})

void t.test('jobs spread over zones and racks, without zones out and closed workers', t => {
  const spread = choosePlacements(inputWith({ jobs: jobsOfTeam('lamps', 4) }))
  t.equal(new Set(spread.map(each => each.worker.rack)).size, 4, 'one job on each rack')
  const left = choosePlacements(
    inputWith({
      jobs: jobsOfTeam('lamps', 9),
      zonesOut: new Set(['a']),
      closedWorkers: new Set(['wb1']),
    }),
  )
  t.same([...new Set(left.map(each => each.worker.id))], ['wb2'])
  t.equal(left.length, 4)
  t.end()
})

// A trial may fail its job, and a faulty job must not fail the trial of a repaired worker.
void t.test('a trial gets one job that is idempotent, not urgent and has not failed before', t => {
  const [first, ...others] = workers
  const trial = { trialWorkers: new Set(['wa1']), workers: first === undefined ? [] : [first] }
  const jobs = [
    job('once', 'lamps', { idempotent: false }),
    job('urgent', 'lamps', { urgent: true }),
    job('failed', 'lamps', { failedRacks: ['x'] }),
    job('plain', 'lamps'),
    job('other', 'lamps'),
  ]
  const placed = choosePlacements(inputWith({ jobs, ...trial }))
  t.same(
    placed.map(each => each.job.id),
    ['plain'],
  )
  const all = choosePlacements(
    inputWith({ jobs, ...trial, workers: [...others, ...trial.workers] }),
  )
  t.equal(all.length, jobs.length, 'the others take the rest')
  t.end()
})

void t.test('placements on a worker never exceed its resources', t => {
  const rng = seededRandom(11)
  const jobs = Array.from({ length: 200 }, (_, n) => {
    const request = { cpus: 0.5 + rng() * 3, memoryMb: rng() * 3_000, accelerators: 0, runMs: 1 }
    return job(`j${n}`, rng() < 0.5 ? 'lamps' : 'mills', { request })
  })
  const placed = choosePlacements(inputWith({ jobs }))
  for (const { id } of workers) {
    const own = placed.filter(each => each.worker.id === id)
    t.ok(own.reduce((sum, { size }) => sum + size.cpus, 0) <= 4)
    t.ok(own.reduce((sum, { size }) => sum + size.memoryMb, 0) <= 4_096)
  }
  t.end()
})

void t.test('a job can never run only if it fits on no empty worker', t => {
  t.ok(exceedsEveryWorker({ cpus: 5, memoryMb: 1, accelerators: 0 }, workers))
  t.ok(exceedsEveryWorker({ cpus: 1, memoryMb: 1, accelerators: 1 }, workers))
  t.notOk(exceedsEveryWorker({ cpus: 4, memoryMb: 4_096, accelerators: 0 }, workers))
  t.notOk(
    exceedsEveryWorker({ cpus: 5, memoryMb: 1, accelerators: 0 }, []),
    'the workers are not known',
  )
  t.end()
})

void t.test('learned sizes replace wrong declarations, with a margin', t => {
  const sizes = createLearnedSizes()
  const rng = seededRandom(5)
  const declared = { cpus: 16, memoryMb: 10, accelerators: 1, runMs: 10 }
  t.same(sizes.estimate('plan', declared), declared, 'nothing is known yet')
  for (let n = 0; n < 50; n++) {
    const noise = 0.9 + rng() * 0.2
    sizes.observe('plan', { cpus: 2 * noise, memoryMb: 500 * noise, accelerators: 0, runMs: 100 })
  }
  const { cpus, memoryMb, accelerators } = sizes.estimate('plan', declared)
  t.ok(cpus > 2.1 && cpus < 3, `${cpus} processors`)
  t.ok(memoryMb > 540 && memoryMb < 750, `${memoryMb} MiB`)
  t.equal(accelerators, 1)
  t.end()
})

void t.test('at most a fifth of a pool is in quarantine', t => {
  const failureTracker = createWorkerFailureTracker()
  for (let n = 0; n < 10; n++) {
    for (const team of ['lamps', 'mills', 'stones']) failureTracker.recordFailure(`w${n}`, team, 10)
  }
  t.equal(failureTracker.quarantinedWorkers().length, 2)
  const few = createWorkerFailureTracker()
  for (let n = 0; n < 9; n++) few.recordFailure('w1', 'lamps', 10)
  t.notOk(few.isQuarantined('w1'), 'one team alone may have faulty jobs')
  t.end()
})
