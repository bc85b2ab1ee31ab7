import { hostsTable, workerKey } from '@bulrushbridge/host'
import { createWorkerStandin, type RunnerStart, type WorkerStandin } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import type { RunningProgram } from './launch.js'
import type { Testbed } from './testbed.js'

/** Pool of the sample document that runs jobs. */
const pool = 'batch'

/** Control programs and the workers on which they place jobs. */
export interface JobFleet {
  /** The n-th runs beside the n-th entry host. */
  readonly controls: RunningProgram[]
  readonly workers: WorkerStandin[]
  /** Index of the control program that holds the placement of jobs, or -1. */
  placementHolder(): Promise<number>
  /** Continues frozen programs and replaces killed ones. */
  heal(): Promise<void>
  close(): Promise<void>
}

/** Options of {@link createJobFleet}. */
export interface JobFleetOptions {
  bed: Testbed
  controls: number
  workers: number
  zones: string[]
  /** Told of each start of a task; the token of its payload is in the path. */
  onStart: (start: RunnerStart) => () => void
}

/**
 * Starts control programs beside the first entry hosts, and workers spread over the zones.
 *
 * @example
 * const fleet = await createJobFleet({ bed, controls: 2, workers: 3, zones, onStart })
 */
export async function createJobFleet(opts: JobFleetOptions): Promise<JobFleet> {
  const { bed, zones, onStart } = opts
  const table = createHttpTableService({ url: bed.table.url })
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
  const controls: RunningProgram[] = []
  for (const entry of bed.entries.slice(0, opts.controls)) {
    controls.push(await bed.startControl(entry))
  }
  return {
    controls,
    workers,
    placementHolder: async () => {
      const row = await table.read<{ holder: string }>('duties', `placement/${pool}`)
      return bed.entries.findIndex(({ id }) => id === row?.value.holder)
    },
    heal: async () => {
      for (const { faults } of workers) faults.slowMs = 0
      for (const [n, control] of controls.entries()) {
        control.kill('SIGCONT')
        const entry = bed.entries[n]
        const { signalCode } = control.process
        if (signalCode !== null && entry) controls[n] = await bed.startControl(entry)
      }
    },
    close: async () => {
      await table.close()
      await Promise.all(workers.map(worker => worker.close()))
    },
  }
}
