import type { TaskRow, WorkerRow } from '../packages/host/src/index.js'
import type { QueuedJob } from '../packages/jobs/src/index.js'
import { choosePlacements } from '../packages/placement/src/index.js'
import type { Figure, MeasurementOptions } from './figure.js'
import { computeMedian } from './hop.js'
import { fitLine } from './linear-fit.js'

/** Numbers of workers for which the figures are measured. */
const workerSizes = [40, 80, 160, 320]

/** Numbers of queued jobs, or of tasks in the case of task rows. */
const jobSizes = [50, 100, 200, 400]

/** Number of workers while the number of jobs varies. */
const defaultWorkers = 40

/** Number of queued jobs while the number of workers varies. */
const defaultJobs = 200

/** Number of tasks that run on each worker. */
const tasksPerWorker = 4

const createTeamName = (i: number) => `association-team-${i % 6}`

/** Resources of each task. */
const taskSize = { cpus: 2, memoryMb: 2_048, accelerators: 0 }

function createWorker(i: number): WorkerRow {
  const location = {
    rack: `rack-${i >> 2}`,
    zone: `zone-${i % 4}`,
    address: `10.0.${i >> 8}.1:7300`,
  }
  return {
    id: `worker-${i}`,
    pool: 'batch',
    ...location,
    cpus: 16,
    memoryMb: 65_536,
    accelerators: 0,
  }
}

function createJob(i: number): QueuedJob {
  return {
    id: `finder-jobs.${String(i).padStart(9, '0')}0123456789abcdef`,
    team: createTeamName(i),
    queue: 'finder-jobs',
    idempotent: true,
    urgent: i % 10 === 0,
    request: { ...taskSize, runMs: 60_000 },
    kind: 'merge-sheets',
    acceptedAt: 1_700_000_000_000 + i,
  }
}

function createTask(i: number, worker: WorkerRow): TaskRow {
  const { id, team, queue, kind, idempotent, urgent } = createJob(i)
  const { pool, rack, zone, address } = worker
  return {
    taskId: `01234567-89ab-cdef-0123-${String(i).padStart(12, '0')}`,
    jobId: id,
    jobKey: `${team}/${id}`,
    ...{ team, queue, kind, idempotent, urgent, pool, rack, zone, address, ...taskSize },
    worker: worker.id,
    state: 'running',
    token: 17,
    boot: '01234567-89ab-cdef-0123-456789abcdef',
  }
}

/** Measures the median CPU milliseconds of `choosePlacements` with tasks on every worker. */
function measureChoiceMs(workerCount: number, jobCount: number, rounds: number): number {
  const workers = Array.from({ length: workerCount }, (_, i) => createWorker(i))
  const tasks = workers.flatMap((worker, i) =>
    Array.from({ length: tasksPerWorker }, (_, taskIndex) =>
      createTask(i * tasksPerWorker + taskIndex, worker),
    ),
  )
  const state = {
    jobs: Array.from({ length: jobCount }, (_, i) => createJob(i)),
    workers,
    tasks,
    zonesOut: new Set<string>(),
    closedWorkers: new Set<string>(),
    shares: new Map(Array.from({ length: 6 }, (_, i) => [createTeamName(i), 1 + i])),
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
  return computeMedian(times)
}

/**
 * Measures how the CPU time of one round of placement grows with the numbers of workers and of
 * queued jobs, and how the size of the task rows grows with the number of tasks.
 */
export function measurePlacementCost({ quick }: MeasurementOptions): Figure[] {
  const rounds = quick ? 15 : 60
  const computeRowBytes = (count: number) => {
    const rows = Array.from({ length: count }, (_, i) =>
      createTask(i, createWorker(i % defaultWorkers)),
    )
    return rows.reduce((sum, row) => sum + JSON.stringify(row).length, 0)
  }
  return [
    ...fitLine(
      'placement/choice/workers',
      'ms',
      'worker',
      workerSizes.map(size => ({ size, value: measureChoiceMs(size, defaultJobs, rounds) })),
    ),
    ...fitLine(
      'placement/choice/jobs',
      'ms',
      'job',
      jobSizes.map(size => ({ size, value: measureChoiceMs(defaultWorkers, size, rounds) })),
    ),
    ...fitLine(
      'placement/task-rows',
      'bytes',
      'task',
      jobSizes.map(size => ({ size, value: computeRowBytes(size) })),
    ),
  ]
}
