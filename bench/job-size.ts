import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setImmediate } from 'node:timers/promises'
import {
  createDispatcher,
  type DispatcherOptions,
  type DispatcherTiming,
} from '../packages/dispatcher/src/index.js'
import {
  acceptedJobsTable,
  createOperatorView,
  partOf,
  progressTable,
  type JobDefinition,
  type SchedulerConfiguration,
  type Step,
} from '../packages/scheduler/src/index.js'
import {
  createMemoryRunner,
  createMemoryStore,
  type MemoryRunner,
} from '../packages/standins/src/index.js'
import { createLogger, createMetrics } from '../packages/telemetry/src/index.js'
import { startRoleProcess } from './child.js'
import type { Figure, MeasurementOptions } from './figure.js'

/** Numbers of tasks for which the figures are measured. */
const taskCounts = [500, 1_000, 2_000, 4_000]

/** Runners on which the tasks run; the same for all sizes. */
const runnerCount = 20

/** Longest turn of the event loop that a job of any size may cause, in milliseconds. */
const maxTurnMs = 50

/** Time after which a phase that has not ended is given up, in milliseconds. */
const phaseTimeoutMs = 40_000

/** Pause before a phase, so that work of the one before it is over, in milliseconds. */
const settleMs = 400

const jobId = '00000000000000a1'
const otherJobId = '00000000000000a2'

const timing: DispatcherTiming = {
  dispatcherLeaseMs: 6_000,
  runnerLeaseMs: 10_000,
  maxRunnerLeaseMs: 10_000,
  pollWaitMs: 1_000,
  suspendedMs: 2_000,
  machineOrderGapMs: 0,
  moveMs: 1_500,
  upkeepMs: 2_000,
  statusKeptMs: 120_000,
}

const cfg: SchedulerConfiguration = {
  version: 1,
  queues: [
    {
      name: 'finder',
      hostName: 'finder.example',
      pathPrefix: '/finder/',
      pool: 'pool',
      priority: 0,
      maxAttempts: 2,
      stretch: 2,
      targetLatencyMs: 500,
      isAnonymousAllowed: true,
      advice: undefined,
    },
  ],
  pools: [{ name: 'pool', isSpare: false }],
  organisations: [],
  maxBodyBytes: 1_000_000,
}

const task: Step = {
  count: 1,
  amounts: { cpuMillis: 10, memoryMb: 1, accelerators: 0 },
  estimateMs: 60_000,
}

/** Options of {@link measureJobSize}. */
export interface JobSizeOptions {
  scenario: keyof typeof scenarios
  tasks: number
}

/** Cost of one phase of a job. */
export interface PhaseCost {
  cpuMs: number
  longestTurnMs: number
  peakHeapMb: number
}

interface Deployment {
  runners: MemoryRunner[]
  submit(job: Partial<JobDefinition>, id?: string): Promise<void>
  cancel(): Promise<void>
  status(): Promise<string | undefined>
  start(holder: string): ReturnType<typeof createDispatcher>
}

function startDeployment(): Deployment {
  const store = createMemoryStore()
  const runners = Array.from({ length: runnerCount }, () => createMemoryRunner())
  const view = createOperatorView({
    decoders: {
      configurationKey: 'config',
      configuration: value => value as SchedulerConfiguration,
      withdrawnZoneOf: () => undefined,
      wave: () => undefined,
    },
    onApplied: () => undefined,
    onUnreadable: () => undefined,
  })
  view.applyChanges([{ key: 'config', value: cfg, isDeleted: false }])
  for (const [n, runner] of runners.entries()) {
    const value = {
      id: `r${n}`,
      address: `r${n}`,
      pool: 'pool',
      zone: 'zone-a',
      isDraining: false,
      capacity: { cpuMillis: 100_000, memoryMb: 100_000, accelerators: 0 },
      labels: ['kind', `rack-${n % 4}`],
      startedAt: runner.processStartedAt,
    }
    void store.commit({ checks: [], writes: [{ table: 'servers', key: `r${n}`, value }] })
  }
  const part = partOf(jobId)
  const opts: Omit<DispatcherOptions, 'holder'> = {
    store,
    timing,
    view,
    runners: { table: 'servers', decode: (_id, value) => value as never },
    connectRunners: () => ({
      createRunner: ({ runnerId }) => {
        const api = (runners[Number(runnerId.slice(1))] ?? createMemoryRunner()).api()
        // Answers come in later turns of the event loop, as those of a socket do.
        return {
          ...api,
          start: order => setImmediate().then(() => api.start(order)),
          stop: order => setImmediate().then(() => api.stop(order)),
          poll: order => setImmediate().then(() => api.poll(order)),
        }
      },
      close: () => Promise.resolve(),
    }),
    machines: undefined,
    advice: undefined,
    waveStatusRow: wave => ({ table: 'status', key: `wave/${wave}`, value: {} }),
    log: createLogger({ program: 'bench', level: 'silent' }),
    metrics: createMetrics(),
  }
  return {
    runners,
    submit: async (job, id = jobId) => {
      const part = partOf(id)
      const value = { id, queue: 'finder', payload: 'text', acceptedAt: Date.now(), ...job }
      const progress = { status: 'queued', queue: 'finder' }
      const writes = [
        { table: acceptedJobsTable, part, key: id, value },
        { table: progressTable, part, key: id, value: progress },
      ]
      await store.commit({ checks: [], writes }, { part })
    },
    cancel: async () => {
      const write = { table: acceptedJobsTable, part, key: `${jobId}.cancel`, value: 1 }
      await store.commit({ checks: [], writes: [write] }, { part })
    },
    status: async () => {
      const row = await store.read<{ status: string }>(progressTable, jobId, { part })
      return row?.value.status
    },
    start: holder => createDispatcher({ ...opts, holder }),
  }
}

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + phaseTimeoutMs
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`not over within ${phaseTimeoutMs} ms`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

/** Measures the cost of a phase, which ends when `isOver` does. */
async function measurePhase(
  act: () => unknown,
  isOver: () => boolean | Promise<boolean>,
): Promise<PhaseCost> {
  await new Promise(resolve => setTimeout(resolve, settleMs))
  globalThis.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  let peak = heapBefore
  const sampler = setInterval(() => (peak = Math.max(peak, process.memoryUsage().heapUsed)), 2)
  const delays = monitorEventLoopDelay({ resolution: 1 })
  delays.enable()
  await new Promise(resolve => setTimeout(resolve, settleMs / 4))
  delays.reset()
  const cpu = process.cpuUsage()
  await act()
  await waitUntil(isOver)
  const { user } = process.cpuUsage(cpu)
  // The last turn is counted when the timer of the histogram has run once more.
  await new Promise(resolve => setTimeout(resolve, settleMs / 4))
  delays.disable()
  clearInterval(sampler)
  peak = Math.max(peak, process.memoryUsage().heapUsed)
  return {
    cpuMs: user / 1_000,
    longestTurnMs: delays.max / 1e6,
    peakHeapMb: (peak - heapBefore) / 1e6,
  }
}

const runningCount = ({ runners }: Deployment) =>
  runners.reduce((sum, { running }) => sum + running.size, 0)

function endAll({ runners }: Deployment, how: 'done' | 'failed'): void {
  for (const runner of runners) for (const name of [...runner.running.keys()]) runner.end(name, how)
}

async function startTasks(tasks: number, step: Partial<Step> = {}) {
  const deployment = startDeployment()
  const dispatcher = deployment.start('host-1')
  await waitUntil(() => dispatcher.isHolder)
  await deployment.submit({ steps: [{ ...task, ...step, count: tasks }] })
  await waitUntil(() => runningCount(deployment) === tasks)
  return { deployment, dispatcher }
}

/** What happens to a job with the given number of tasks, and when it is over. */
const scenarios = {
  start: async (tasks: number) => {
    const deployment = startDeployment()
    const dispatcher = deployment.start('host-1')
    await waitUntil(() => dispatcher.isHolder)
    return measurePhase(
      () => deployment.submit({ steps: [{ ...task, count: tasks }] }),
      () => runningCount(deployment) === tasks,
    )
  },
  gang: async (tasks: number) => {
    const deployment = startDeployment()
    const dispatcher = deployment.start('host-1')
    await waitUntil(() => dispatcher.isHolder)
    return measurePhase(
      () => deployment.submit({ steps: [{ ...task, count: tasks, isGang: true }] }),
      () => runningCount(deployment) === tasks,
    )
  },
  'unfit gangs': async (tasks: number) => {
    const deployment = startDeployment()
    const dispatcher = deployment.start('host-1')
    await waitUntil(() => dispatcher.isHolder)
    const amounts = { cpuMillis: 90_000, memoryMb: 1, accelerators: 0 }
    const gang = { ...task, amounts, count: tasks, isGang: true, sameRack: true }
    const steps = [...Array.from({ length: 16 }, () => gang), task]
    return measurePhase(
      () => deployment.submit({ steps }),
      () => runningCount(deployment) === 1,
    )
  },
  cancel: async (tasks: number) => {
    const { deployment } = await startTasks(tasks)
    return measurePhase(
      () => deployment.cancel(),
      async () => runningCount(deployment) === 0 && (await deployment.status()) === 'cancelled',
    )
  },
  fail: async (tasks: number) => {
    const { deployment } = await startTasks(tasks)
    const name = `${jobId}.0.0.0`
    // The job fails with the second failure of the task.
    let ending: NodeJS.Timeout | undefined
    const cost = await measurePhase(
      () => {
        ending = setInterval(() => {
          for (const runner of deployment.runners) runner.end(name, 'failed')
        }, 20)
      },
      async () => runningCount(deployment) === 0 && (await deployment.status()) === 'failed',
    )
    clearInterval(ending)
    return cost
  },
  ends: async (tasks: number) => {
    const { deployment } = await startTasks(tasks)
    return measurePhase(
      () => {
        endAll(deployment, 'done')
      },
      async () => (await deployment.status()) === 'completed',
    )
  },
  takeover: async (tasks: number) => {
    const { deployment, dispatcher } = await startTasks(tasks)
    await dispatcher.close()
    // The takeover is over when the next dispatcher has started another job.
    return measurePhase(
      () => {
        deployment.start('host-2')
        return deployment.submit({ steps: [task] }, otherJobId)
      },
      () => runningCount(deployment) === tasks + 1,
    )
  },
  'takeover of a cancelled job': async (tasks: number) => {
    const { deployment, dispatcher } = await startTasks(tasks)
    await dispatcher.close()
    await deployment.cancel()
    return measurePhase(
      () => {
        deployment.start('host-2')
      },
      async () => runningCount(deployment) === 0 && (await deployment.status()) === 'cancelled',
    )
  },
  occurrences: async (tasks: number) => {
    const deployment = startDeployment()
    const dispatcher = deployment.start('host-1')
    await waitUntil(() => dispatcher.isHolder)
    const schedule = { occurrences: tasks, firstAt: 0, intervalMs: 1 }
    let done = 0
    const ending = setInterval(() => {
      done += runningCount(deployment)
      endAll(deployment, 'done')
    }, 5)
    const cost = await measurePhase(
      () => deployment.submit({ steps: [{ ...task }], schedule }),
      () => done === tasks,
    )
    clearInterval(ending)
    return cost
  },
}

/** Runs one scenario in this process, which must do nothing else. */
export function measureJobSize({ scenario, tasks }: JobSizeOptions): Promise<PhaseCost> {
  return scenarios[scenario](tasks)
}

/** Measures how the cost of a job grows with its tasks, each case in a process of its own. */
export async function measureJobSizes({ quick }: MeasurementOptions): Promise<Figure[]> {
  const figures: Figure[] = []
  for (const scenario of Object.keys(scenarios)) {
    for (const tasks of quick ? taskCounts.slice(0, 1) : taskCounts) {
      const child = startRoleProcess('job-size', { scenario, tasks })
      const name = `job-size/${scenario}/${tasks}`
      try {
        const cost = (await child.readNextLine()) as PhaseCost
        figures.push(
          { name: `${name}/cpu`, unit: 'ms', value: cost.cpuMs },
          {
            name: `${name}/longest-turn`,
            unit: 'ms',
            value: cost.longestTurnMs,
            target: maxTurnMs,
          },
          { name: `${name}/peak-heap`, unit: 'MB', value: cost.peakHeapMb },
        )
      } catch {
        // The process ended out of memory, or the phase took too long.
        figures.push({ name, unit: 'ms', value: Number.NaN })
      } finally {
        await child.killAndWait()
      }
    }
  }
  return figures
}
