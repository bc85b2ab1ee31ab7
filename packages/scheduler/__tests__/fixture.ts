import {
  createRunTimeEstimator,
  JobExecution,
  type JobDefinition,
  type AvailableRunner,
  type JobQueue,
  type Step,
} from '../src/index.js'

export const queue: JobQueue = {
  name: 'finder',
  hostName: 'finder.example',
  pathPrefix: '/finder/',
  pool: 'pool',
  priority: 0,
  maxAttempts: 3,
  stretch: 1.6,
  targetLatencyMs: 600,
  isAnonymousAllowed: false,
  advice: undefined,
}

export const step: Step = {
  count: 1,
  amounts: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
  estimateMs: 1_000,
}

export function createJob(id: string, changes: Partial<JobDefinition> = {}): JobExecution {
  const job = new JobExecution({
    id,
    queue: queue.name,
    payload: '',
    steps: [step],
    acceptedAt: 0,
    ...changes,
  })
  job.openDueOccurrences(0)
  return job
}

export function createRunner(id: string, changes: Partial<AvailableRunner> = {}): AvailableRunner {
  const capacity = { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 }
  return {
    id,
    pool: 'pool',
    rack: 'rack-1',
    labels: [],
    capacity,
    free: { ...capacity },
    tasksByStep: new Map(),
    finiteTasks: 0,
    suspicion: 0,
    isExclusive: false,
    servingTasks: 0,
    fillerTasks: 0,
    isLent: false,
    unconfirmedRuns: 0,
    ...changes,
  }
}

export function createInput(jobs: JobExecution[], runners: AvailableRunner[]) {
  return {
    steps: jobs.flatMap(job => job.startableSteps()),
    queues: new Map([[queue.name, queue]]),
    runners,
    runTimes: createRunTimeEstimator(),
    allowance: new Map(),
    wallNow: 0,
    maxStarts: 1_000,
  }
}
