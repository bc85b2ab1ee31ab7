import type { TaskRow, WorkerRow } from '../packages/host/src/index.js'
import type { QueuedJob } from '../packages/jobs/src/index.js'
import { choosePlacements } from '../packages/placement/src/index.js'
import type { Figure, MeasureOptions } from './figure.js'
import { medianOf } from './hop.js'
import { fitFigures } from './linear-fit.js'

const workerSizes = [40, 80, 160, 320]
const jobSizes = [50, 100, 200, 400]

/** Sizes that stay while the other one varies. */
const defaultWorkers = 40
const defaultJobs = 200

/** Tasks that run on each worker. */
const tasksPerWorker = 4

const teamName = (i: number) => `association-team-${i % 6}`
const size = { cpus: 2, memoryMb: 2_048, accelerators: 0 }

function workerOf(i: number): WorkerRow {
  const place = { rack: `rack-${i >> 2}`, zone: `zone-${i % 4}`, address: `10.0.${i >> 8}.1:7300` }
  return { id: `worker-${i}`, pool: 'batch', ...place, cpus: 16, memoryMb: 65_536, accelerators: 0 }
}

function jobOf(i: number): QueuedJob {
  return {
    id: `finder-jobs.${String(i).padStart(9, '0')}0123456789abcdef`,
    team: teamName(i),
    queue: 'finder-jobs',
    idempotent: true,
    urgent: i % 10 === 0,
    request: { ...size, runMs: 60_000 },
    kind: 'merge-sheets',
    acceptedAt: 1_700_000_000_000 + i,
  }
}

function taskOf(i: number, worker: WorkerRow): TaskRow {
  const { id, team, queue, kind, idempotent, urgent } = jobOf(i)
  const { pool, rack, zone, address } = worker
  return {
    taskId: `01234567-89ab-cdef-0123-${String(i).padStart(12, '0')}`,
    jobId: id,
    jobKey: `${team}/${id}`,
    ...{ team, queue, kind, idempotent, urgent, pool, rack, zone, address, ...size },
    worker: worker.id,
    state: 'running',
    token: 17,
    boot: '01234567-89ab-cdef-0123-456789abcdef',
  }
}

/** Median processor time of one choice with running tasks on every worker, in milliseconds. */
function choiceMs(workerCount: number, jobCount: number, rounds: number): number {
  const workers = Array.from({ length: workerCount }, (_, i) => workerOf(i))
  const tasks = workers.flatMap((worker, i) =>
    Array.from({ length: tasksPerWorker }, (_, n) => taskOf(i * tasksPerWorker + n, worker)),
  )
  const state = {
    jobs: Array.from({ length: jobCount }, (_, i) => jobOf(i)),
    workers,
    tasks,
    zonesOut: new Set<string>(),
    closedWorkers: new Set<string>(),
    shares: new Map(Array.from({ length: 6 }, (_, i) => [teamName(i), 1 + i])),
    sizeOf: ({ request }: QueuedJob) => request,
    limit: 100,
  }
  for (let i = 0; i < 10; i++) choosePlacements(state)
  const times = Array.from({ length: rounds }, () => {
    const before = process.cpuUsage()
    choosePlacements(state)
    const { user, system } = process.cpuUsage(before)
    return (user + system) / 1_000
  })
  return medianOf(times)
}

/**
 * Cost of the choice in one round of placement against workers and queued jobs, and bytes of task
 * rows against tasks.
 */
export function measurePlacement({ quick }: MeasureOptions): Figure[] {
  const rounds = quick ? 15 : 60
  const rowBytes = (count: number) => {
    const rows = Array.from({ length: count }, (_, i) => taskOf(i, workerOf(i % defaultWorkers)))
    return rows.reduce((sum, row) => sum + JSON.stringify(row).length, 0)
  }
  return [
    ...fitFigures(
      'placement/choice/workers',
      'ms',
      'worker',
      workerSizes.map(each => ({ size: each, value: choiceMs(each, defaultJobs, rounds) })),
    ),
    ...fitFigures(
      'placement/choice/jobs',
      'ms',
      'job',
      jobSizes.map(each => ({ size: each, value: choiceMs(defaultWorkers, each, rounds) })),
    ),
    ...fitFigures(
      'placement/task-rows',
      'bytes',
      'task',
      jobSizes.map(each => ({ size: each, value: rowBytes(each) })),
    ),
  ]
}
