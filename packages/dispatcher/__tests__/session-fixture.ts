import { JobExecution, type RunnerApi, type Task } from '@bulrushbridge/scheduler'
import { createMemoryRunner, type MemoryRunner } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import type { Allocation } from '../src/allocation.js'
import {
  createRunnerSession,
  type RunnerSession,
  type SessionEvents,
} from '../src/runner-session.js'
import { oneTask } from './fixture.js'

const entry = {
  id: 'r1',
  pool: 'pool',
  address: 'r1',
  zone: 'zone-a',
  isDraining: false,
  capacity: { cpuMillis: 1_000_000, memoryMb: 1_000_000, accelerators: 0 },
  labels: [],
  startedAt: 1,
}

/** Opens the session of a runner in memory, which can be wrapped. */
export function openSession(
  events: Partial<SessionEvents>,
  wrapApi: (api: RunnerApi) => RunnerApi = api => api,
  mayOrder: () => boolean = () => true,
) {
  const runner = createMemoryRunner()
  const session = createRunnerSession({
    id: 'r1',
    entry,
    fence: 1,
    leaseMs: 300,
    pollWaitMs: 20,
    maxLeaseMs: 300,
    assumedLeaseEnd: 0,
    createRunner: () => wrapApi(runner.api()),
    events: {
      onEnd: () => Promise.resolve(),
      onRunGivenUp: () => undefined,
      onRunsLost: () => undefined,
      allocateUnexpectedRun: (_session, name, run) => createUnexpectedAllocation(name, run),
      onChange: () => undefined,
      onFenced: () => undefined,
      onStartConfirmed: () => undefined,
      onAllocationChange: () => undefined,
      ...events,
    },
    mayOrder,
    log: createLogger({ program: 'test', level: 'silent' }),
  })
  return { runner, session }
}

/** Registers the present incarnation of a runner that has restarted. */
export function registerAgain(session: RunnerSession, runner: MemoryRunner): void {
  session.update({ ...entry, startedAt: runner.processStartedAt })
}

export function createUnexpectedAllocation(taskName: string, runNumber: number): Allocation {
  return {
    taskName,
    runNumber,
    task: undefined,
    amounts: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    runnerStartedAt: 1,
    checkpoint: '',
    crashes: 0,
    isAlone: false,
    mayHaveStarted: true,
    isLossReported: false,
    state: 'present',
    confirmedAt: undefined,
    orderedAt: undefined,
    percent: 0,
    percentAt: 0,
    usage: undefined,
    pacePercent: 100,
  }
}

/** Tasks of one job whose first runs are recorded for the runner `r1` in its first life. */
export function createTasksWithRuns(count: number): Task[] {
  const steps = [{ ...oneTask, count }]
  const job = new JobExecution({ id: 'job', queue: 'q', payload: '', steps, acceptedAt: 0 })
  job.openDueOccurrences(0)
  const tasks = [...(job.openOccurrences.get(0)?.steps[0]?.tasks ?? [])]
  for (const task of tasks) job.beginRun(task, 'r1', 1)
  return tasks
}

/** A task whose first run is recorded for the runner `r1` in its first life. */
export function createTaskWithRun(): Task {
  const [task] = createTasksWithRuns(1)
  if (task === undefined) throw new Error('the job has no task')
  return task
}
