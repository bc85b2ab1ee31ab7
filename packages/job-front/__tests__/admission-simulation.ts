import {
  chooseStarts,
  createRunTimeEstimator,
  JobExecution,
  sumQueueLoads,
  type AvailableRunner,
  type LoadView,
  type Step,
  type Task,
} from '@bulrushbridge/scheduler'
import { seededRandom } from '@bulrushbridge/standins'
import { createAdmission, type Admission } from '../src/admission.js'
import { createLogger, createMetrics } from '@bulrushbridge/telemetry'
import { organisation, queue } from './admission-fixture.js'

/** Granularity of the simulated time, in milliseconds. */
const tickMs = 10
/** Time between two views, and from a view until hosts apply it. */
const viewIntervalMs = 250
const viewDelayMs = 300
const lengthMs = 30_000
/** The pool has as many cores as 50 workers of 32 cores, divided by ten. */
const runnerCount = 5
const capacity = { cpuMillis: 32_000, memoryMb: 1_000_000, accelerators: 0 }

/** Options of {@link simulateAdmission}. */
export interface AdmissionSimulationOptions {
  seed: number
  /** Load of each organisation, in jobs a second, and its weight. */
  organisations: { name: string; weight: number; jobsPerS: number }[]
  /** Organisation that sends six times its load from second 5 to second 15. */
  bursting?: string
  isRejecting: boolean
  /** Numbers of jobs that are accepted even if they would be rejected. */
  exempt?: ReadonlySet<number>
  /** How often a rejected caller returns. */
  maxReturns?: number
}

/** What became of the jobs. */
export interface SimulatedJob {
  number: number
  organisation: string
  /** Time of its first submission, in milliseconds. */
  at: number
  result: 'on time' | 'late' | 'too late' | 'rejected'
  /** How often it was rejected before it was accepted, if it was. */
  rejections: number
}

interface Submission {
  job: SimulatedJob
  steps: Step[]
  dueAt: number
}

/** Result of {@link simulateAdmission}. */
export interface AdmissionSimulationResult {
  jobs: SimulatedJob[]
  /** Metrics of the host, with the review of its rejections. */
  metrics: string
}

/**
 * Simulates one pool without spare machines and without a network, with the order in which the dispatcher
 * starts tasks and one entry host.
 */
export function simulateAdmission(opts: AdmissionSimulationOptions): AdmissionSimulationResult {
  const random = seededRandom(opts.seed)
  const metrics = createMetrics()
  let now = 0
  const admission = createAdmission({
    log: createLogger({ program: 'test', level: 'silent' }),
    metrics,
    now: () => now,
    wallNow: () => now,
  })
  const pool = new SimulatedPool(() => now)
  const submissions = createSubmissions(opts, random)
  const jobs = submissions.map(({ job }) => job)
  const views: { view: LoadView; appliedAt: number }[] = []
  const cfg = {
    version: 1,
    queues: [queue],
    pools: [{ name: queue.pool, isSpare: false }],
    organisations: opts.organisations.map(({ name, weight }) => organisation(name, weight)),
    maxBodyBytes: 10_000,
  }
  for (; now < lengthMs + 10_000; now += tickMs) {
    while ((views[0]?.appliedAt ?? Infinity) <= now) {
      const value = views.shift()?.view
      admission.applyRows([{ key: 'queues', value, isDeleted: false }])
    }
    const due = submissions.filter(({ dueAt }) => dueAt === now)
    for (const submission of due) {
      const retryMs = opts.isRejecting ? tryReject(admission, cfg, submission, opts) : undefined
      if (retryMs === undefined) pool.accept(submission)
      else if (submission.job.rejections <= (opts.maxReturns ?? 0))
        submission.dueAt = now + Math.ceil(retryMs / 1_000) * 1_000
    }
    pool.run()
    if (now % viewIntervalMs === 0)
      views.push({ view: pool.view(now / viewIntervalMs), appliedAt: now + viewDelayMs })
  }
  return { jobs, metrics: metrics.render() }
}

function tryReject(
  admission: Admission,
  cfg: Parameters<Admission['check']>[0]['cfg'],
  { job, steps }: Submission,
  { exempt }: AdmissionSimulationOptions,
): number | undefined {
  const request = { id: `${job.number}`, cfg, queue, organisation: job.organisation }
  const rejection = admission.check({ ...request, job: { payload: '', steps } })
  if (rejection === undefined || exempt?.has(job.number) === true) return undefined
  job.rejections += 1
  return admission.reject(rejection)
}

function createSubmissions(opts: AdmissionSimulationOptions, random: () => number): Submission[] {
  const submissions: Submission[] = []
  for (let at = 0; at < lengthMs; at += tickMs) {
    for (const { name, jobsPerS } of opts.organisations) {
      const isBurst = name === opts.bursting && at >= 5_000 && at < 15_000
      if (random() >= ((isBurst ? 6 : 1) * jobsPerS * tickMs) / 1_000) continue
      const stepCount = random() < 0.6 ? 2 : 1
      const steps = Array.from({ length: stepCount }, (_, index): Step => ({
        count: 8,
        amounts: { cpuMillis: 3_100, memoryMb: 1, accelerators: 0 },
        // Declared estimates are off by up to 90 %.
        estimateMs: Math.round(660 * (0.1 + 1.8 * random())),
        ...(index > 0 ? { after: [index - 1] } : {}),
      }))
      const result = 'rejected' as const
      const job = { number: submissions.length, organisation: name, at, result, rejections: 0 }
      submissions.push({ job, steps, dueAt: at })
    }
  }
  return submissions
}

/** The dispatcher and the runners of one pool. */
class SimulatedPool {
  readonly #now: () => number
  readonly #runTimes = createRunTimeEstimator()
  readonly #queues = new Map([[queue.name, queue]])
  readonly #jobs = new Map<JobExecution, SimulatedJob>()
  readonly #runs = new Map<Task, { endsAt: number; runner: AvailableRunner; runMs: number }>()
  readonly #runners: AvailableRunner[] = Array.from({ length: runnerCount }, (_, index) => ({
    id: `r${index}`,
    pool: queue.pool,
    rack: '',
    labels: [],
    capacity,
    free: { ...capacity },
    tasksByStep: new Map(),
    servingTasks: 0,
    fillerTasks: 0,
    finiteTasks: 0,
    suspicion: 0,
    isExclusive: false,
    isLent: false,
    unconfirmedRuns: 0,
  }))
  readonly #acceptedAt = new Map<string, number[]>()
  #startedCoreMs = 0

  constructor(now: () => number) {
    this.#now = now
  }

  accept({ job, steps }: Submission): void {
    const now = this.#now()
    const execution = new JobExecution({
      id: `${job.number}`,
      queue: queue.name,
      organisation: job.organisation,
      payload: '',
      steps,
      acceptedAt: now,
    })
    execution.openDueOccurrences(now)
    job.result = 'too late'
    this.#jobs.set(execution, job)
    const times = this.#acceptedAt.get(job.organisation) ?? []
    this.#acceptedAt.set(job.organisation, [...times.filter(at => at > now - 2_000), now])
  }

  run(): void {
    const now = this.#now()
    for (const [task, { endsAt, runner, runMs }] of this.#runs) {
      if (endsAt > now) continue
      this.#runs.delete(task)
      runner.free.cpuMillis += task.step.definition.amounts.cpuMillis
      runner.unconfirmedRuns = 0
      const { job } = task.step
      job.clearRun(task)
      job.markDone(task, task.lastRun, now)
      this.#runTimes.observe(queue.name, runMs)
      if (job.hasEnded) this.#end(job)
    }
    const steps = [...this.#jobs.keys()].flatMap(job => job.startableSteps())
    const starts = chooseStarts({
      steps,
      queues: this.#queues,
      runners: this.#runners,
      runTimes: this.#runTimes,
      allowance: new Map(),
      wallNow: now,
      maxStarts: 1_000,
    })
    for (const { task, runnerId } of starts) {
      const runner = this.#runners.find(({ id }) => id === runnerId)
      if (runner === undefined) continue
      task.step.job.beginRun(task, runnerId, 0)
      // Tasks take 640 to 680 ms; the times differ by task, but not from one simulation to the next.
      const runMs = 640 + ((task.index * 7 + Number(task.step.job.definition.id) * 13) % 41)
      this.#runs.set(task, { endsAt: now + runMs, runner, runMs })
      const { amounts, estimateMs } = task.step.definition
      this.#startedCoreMs +=
        (amounts.cpuMillis / 1_000) * this.#runTimes.estimateMs(queue.name, estimateMs)
    }
    this.#startedCoreMs *= Math.exp(-tickMs / 2_000)
  }

  view(number: number): LoadView {
    const now = this.#now()
    const running = new Map<string, number>()
    for (const task of this.#runs.keys()) {
      const { organisation: name = '' } = task.step.job.definition
      const cores = task.step.definition.amounts.cpuMillis / 1_000
      running.set(name, (running.get(name) ?? 0) + cores)
    }
    const { queues } = sumQueueLoads({
      jobs: this.#jobs.keys(),
      queues: this.#queues,
      capacities: new Map([[queue.pool, [capacity]]]),
      runTimes: this.#runTimes,
      drainCores: new Map([[queue.name, this.#startedCoreMs / 2_000]]),
      wallNow: now,
    })
    const cores = (runnerCount * capacity.cpuMillis) / 1_000
    const busyCores = [...running.values()].reduce((sum, each) => sum + each, 0)
    const accepted = [...this.#acceptedAt].map(([name, times]): [string, number] => [
      name,
      times.filter(at => at > now - 2_000).length / 2,
    ])
    return {
      format: 1,
      term: 1,
      number,
      at: now,
      storeAt: null,
      hosts: 1,
      queues,
      accepted,
      pools: [{ name: queue.pool, cores, expectedCores: cores, busyCores, running: [...running] }],
    }
  }

  #end(execution: JobExecution): void {
    const job = this.#jobs.get(execution)
    this.#jobs.delete(execution)
    if (job === undefined) return
    const { steps, acceptedAt } = execution.definition
    const tookMs = this.#now() - acceptedAt
    const objectiveMs = queue.stretch * steps.length * 660 + queue.targetLatencyMs
    if (tookMs <= objectiveMs) job.result = 'on time'
    else job.result = tookMs <= 3 * objectiveMs ? 'late' : 'too late'
  }
}
