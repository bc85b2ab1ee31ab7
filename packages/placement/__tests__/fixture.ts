import type { Test } from 'tap'
import { hostsTable, tasksTable, workerKey, type TaskRow } from '@bulrushbridge/host'
import { createJobService, type AcceptOptions, type StoredJob } from '@bulrushbridge/jobs'
import {
  createManualClock,
  createTableStandin,
  createWorkerStandin,
  waitUntil,
  type WorkerStandin,
} from '@bulrushbridge/standins'
import { createDutyLease, createHttpTableService } from '@bulrushbridge/store'
import {
  createTaskPermits,
  createTaskDemandWriter,
  ledgerTable,
  type LedgerRow,
} from '@bulrushbridge/team-limit'
import { createPlacementDuty, type PlacementDecision } from '../src/index.js'

export const pool = 'batch'
export const queue = 'lamps-jobs'
const dutyTtlMs = 3_000
const defaultLimit = 4

/** Creates a pool with workers `w1`... in racks `r1`... and zones `a` and `b`. */
export async function createFixture(
  t: Test,
  opts: {
    workers?: number
    racks?: number
    cpus?: number
    /** Upper limit of each team. */
    limit?: number
    shares?: Record<string, number>
    /** Called when a task starts on a worker; the function that it returns is called at the end. */
    onStart?: (worker: string) => () => void
  } = {},
) {
  const standin = await createTableStandin()
  const zonesOut = new Set<string>()
  const unlisted = new Set<string>()
  const leaving = new Set<string>()
  const workers: WorkerStandin[] = []
  const closers: (() => Promise<void>)[] = []
  t.teardown(async () => {
    for (const close of closers.reverse()) await close()
    await Promise.all(workers.map(worker => worker.close()))
    await standin.close()
  })
  const table = createHttpTableService({ url: standin.url })
  closers.push(() => table.close())
  const cpuSize = opts.cpus === undefined ? {} : { cpus: opts.cpus }
  for (let n = 1; n <= (opts.workers ?? 2); n++) {
    const rack = `r${((n - 1) % (opts.racks ?? 10)) + 1}`
    const id = `w${n}`
    const worker = await createWorkerStandin({
      id,
      rack,
      zone: n % 2 === 1 ? 'a' : 'b',
      ...cpuSize,
      onStart: () => opts.onStart?.(id) ?? (() => undefined),
    })
    workers.push(worker)
    const write = { table: hostsTable, key: workerKey(pool, worker.listedHost.id) }
    await table.commit({
      checks: [],
      writes: [{ ...write, value: { ...worker.listedHost, pool } }],
    })
  }

  /** Creates a candidate for the duty with its own clock. It is frozen while no round runs. */
  const createHolder = (name: string) => {
    const clock = createManualClock()
    const holderTable = createHttpTableService({ url: standin.url, clock })
    const duty = createDutyLease({
      table: holderTable,
      duty: `placement/${pool}`,
      holder: name,
      ttlMs: dutyTtlMs,
      clock,
    })
    const permits = createTaskPermits({ table: holderTable })
    const teams = ['lamps', 'mills', 'stones']
    permits.configure({
      version: 1,
      limits: new Map(teams.map(team => [team, opts.limit ?? defaultLimit])),
    })
    const decisions: PlacementDecision[] = []
    const shares = new Map(teams.map(team => [team, opts.shares?.[team] ?? 1]))
    const placement = createPlacementDuty({
      table: holderTable,
      permits,
      taskDemand: createTaskDemandWriter({ table: holderTable, pool }),
      pool,
      clock,
      wallClock: () => clock.now(),
      held: () => duty.held(),
      configuration: () => ({ queues: [queue], shares, zonesOut }),
      confirmedUntil: () => clock.now() + 2_000,
      listed: () => ({ leaving, unlisted }),
      onDecision: decision => decisions.push(decision),
    })
    closers.push(async () => {
      await duty.close()
      await placement.close()
      await holderTable.close()
    })
    /**
     * Advances the clock in steps, so that the calls of the duty reach the table service between.
     */
    const passTime = async (ms: number) => {
      for (let passed = 0; passed < ms; passed += 250) {
        clock.advance(250)
        await new Promise(resolve => setTimeout(resolve, 5))
      }
    }
    const acquireDuty = () =>
      waitUntil(async () => {
        if (duty.held() === undefined) await passTime(250)
        return duty.held() !== undefined
      })
    /** Runs rounds until the condition holds. */
    const runRoundsUntil = (condition: () => boolean | Promise<boolean>) =>
      waitUntil(async () => {
        await passTime(250)
        await placement.round().catch(() => undefined)
        return condition()
      })
    return { clock, duty, permits, placement, decisions, passTime, acquireDuty, runRoundsUntil }
  }

  /** Restarts a worker as after a crash: at the same address, with another boot and no tasks. */
  const restartWorker = async (worker: WorkerStandin) => {
    const port = Number(worker.address.split(':')[1])
    await worker.close()
    const restarted = await createWorkerStandin({ ...worker.listedHost, port })
    workers[workers.indexOf(worker)] = restarted
  }

  const jobs = createJobService({ table, member: 'e1' })
  const acceptJob = (job: Partial<AcceptOptions> = {}) =>
    jobs.accept({
      team: 'lamps',
      queue,
      idempotent: true,
      urgent: false,
      request: { cpus: 1, memoryMb: 64, accelerators: 0, runMs: 50 },
      payload: { runMs: 20 },
      ...job,
    })
  const readJob = async (id: string, team = 'lamps'): Promise<StoredJob> => {
    const job = await jobs.get({ team, id })
    if (job === undefined) throw new Error(`there is no job ${id}`)
    return job
  }
  const isInState = async (id: string, state: StoredJob['state'], team = 'lamps') =>
    (await readJob(id, team)).state === state
  const taskRows = async () => (await table.scan<TaskRow>(tasksTable)).map(row => row.value)
  /** Number of permits that tasks of a team hold. */
  const permitsInUse = async (team = 'lamps') => {
    const row = await table.read<LedgerRow>(ledgerTable, team)
    return row?.value.holders.tasks?.owed ?? 0
  }
  const countStarts = (id: string) =>
    workers.reduce((sum, worker) => sum + (worker.counters().startsByJob[id] ?? 0), 0)
  return {
    standin,
    table,
    workers,
    zonesOut,
    unlisted,
    leaving,
    restartWorker,
    createHolder,
    jobs,
    acceptJob,
    readJob,
    isInState,
    taskRows,
    permitsInUse,
    countStarts,
  }
}
