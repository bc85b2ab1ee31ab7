import { hostsTable, workerKey } from '@bulrushbridge/host'
import { createWorkerStandin, type RunnerStart, type WorkerStandin } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import type { RunningProgram } from './launch.js'
import type { Testbed } from './testbed.js'

/** Pool of the sample document whose workers run jobs. */
const pool = 'batch'

/** Control programs and the workers on which they place the tasks of jobs. */
export interface JobFleet {
  /** Control programs; the n-th runs beside the n-th entry host. */
  readonly controlPrograms: RunningProgram[]
  readonly workers: WorkerStandin[]
  /** Returns the index of the control program that holds the placement duty, or -1. */
  findPlacementHolder(): Promise<number>
  /** Ends the faults of workers, resumes frozen control programs and replaces killed ones. */
  restore(): Promise<void>
  /** Closes the workers; closing the testbed ends the control programs. */
  close(): Promise<void>
}

/** Options of {@link createJobFleet}. */
export interface JobFleetOptions {
  testbed: Testbed
  /** Number of control programs. */
  controlPrograms: number
  /** Number of workers. */
  workers: number
  zones: string[]
  /** Called when a task starts; the path of the start contains the token of the task's payload. */
  onStart: (start: RunnerStart) => () => void
}

/**
 * Starts control programs beside the first entry hosts, and workers distributed over the zones.
 *
 * @example
 * const fleet = await createJobFleet({ testbed, controlPrograms: 2, workers: 3, zones, onStart })
 */
export async function createJobFleet(opts: JobFleetOptions): Promise<JobFleet> {
  const { testbed, zones, onStart } = opts
  const table = createHttpTableService({ url: testbed.table.url })
  const workers: WorkerStandin[] = []
  for (let n = 1; n <= opts.workers; n++) {
    const id = `w${n}`
    const zone = zones[(n - 1) % zones.length] ?? ''
    const worker = await createWorkerStandin({
      id,
      rack: `rack-${n}`,
      zone,
      onStart: ({ team, taskId, payload }) => {
        const { token = '' } = payload as { token?: string }
        const path = `/jobs?token=${token}`
        const start = { runner: id, zone, team, requestId: taskId, path }
        return onStart({ ...start, idempotencyKey: undefined })
      },
    })
    workers.push(worker)
    const value = { ...worker.listedHost, pool }
    const write = { table: hostsTable, key: workerKey(pool, id), value }
    await table.commit({ checks: [], writes: [write] })
  }
  const controlPrograms: RunningProgram[] = []
  for (const entry of testbed.entries.slice(0, opts.controlPrograms)) {
    controlPrograms.push(await testbed.startControl(entry))
  }
  return {
    controlPrograms,
    workers,
    findPlacementHolder: async () => {
      const row = await table.read<{ holder: string }>('duties', `placement/${pool}`)
      return testbed.entries.findIndex(({ id }) => id === row?.value.holder)
    },
    restore: async () => {
      for (const { faults } of workers) faults.slowMs = 0
      for (const [n, program] of controlPrograms.entries()) {
        program.kill('SIGCONT')
        const entry = testbed.entries[n]
        const { signalCode } = program.process
        if (signalCode !== null && entry) controlPrograms[n] = await testbed.startControl(entry)
      }
    },
    close: async () => {
      await table.close()
      await Promise.all(workers.map(worker => worker.close()))
    },
  }
}
