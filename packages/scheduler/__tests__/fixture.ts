import {
  createRunTimes,
  JobState,
  type Job,
  type OpenRunner,
  type Queue,
  type Step,
} from '../src/index.js'

export const queue: Queue = {
  name: 'finder',
  hostName: 'finder.example',
  pathPrefix: '/finder/',
  pool: 'pool',
  priority: 0,
  maxAttempts: 3,
  stretch: 1.6,
  targetLatencyMs: 600,
  isOpen: false,
  advice: undefined,
}

export const step: Step = {
  count: 1,
  amounts: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
  estimateMs: 1_000,
}

export function createJob(id: string, changes: Partial<Job> = {}): JobState {
  const job = new JobState({
    id,
    queue: queue.name,
    payload: '',
    steps: [step],
    acceptedAt: 0,
    ...changes,
  })
  job.openDue(0)
  return job
}

export function createRunner(id: string, changes: Partial<OpenRunner> = {}): OpenRunner {
  const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 }
  return {
    id,
    pool: 'pool',
    rack: 'rack-1',
    labels: [],
    capacity,
    free: { ...capacity },
    tasksByStep: new Map(),
    serving: 0,
    fillers: 0,
    isLent: false,
    ...changes,
  }
}

export function createInput(jobs: JobState[], runners: OpenRunner[]) {
  return {
    steps: jobs.flatMap(job => job.startable()),
    queues: new Map([[queue.name, queue]]),
    runners,
    times: createRunTimes(),
    allowance: new Map(),
    wallNow: 0,
    limit: 1_000,
  }
}
