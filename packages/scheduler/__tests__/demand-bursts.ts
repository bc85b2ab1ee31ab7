import { seededRandom } from '@bulrushbridge/standins'
import {
  addAmounts,
  chooseStarts,
  largestFraction,
  createRunTimeEstimator,
  JobExecution,
  noAmounts,
  latencyObjectiveMs,
  planPoolMoves,
  reservedAmounts,
  sumWaitingWork,
  type Amounts,
  type AvailableRunner,
  type DemandForecast,
  type JobQueue,
  type PoolLoad,
  type Step,
  type Task,
} from '../src/index.js'

/** Time from the order of a move until the new runner can take tasks, in milliseconds. */
export const moveMs = 1_700
/** Span from the arrival of a machine over which its pool's expected work counts, in milliseconds. */
const expectedSpanMs = 1_000
/**
 * Time from the choice of a start until the task works, in milliseconds: one store write and one
 * call.
 */
const startMs = 20
/** Demand of a queue outside its burst, as a share of its mean demand. */
export const demandOutsideBurst = 0.05
/** Credit of a job that ends after its latency objective, but within three times the objective. */
const lateCredit = 0.07

/** Properties of the jobs of a queue; sizes are means. */
export interface JobKind {
  jobsPerS: number
  steps: number
  width: number
  cpuMillis: number
  memoryMb: number
  workMs: number
}

const checkJobs: JobKind = {
  jobsPerS: 5,
  steps: 1.6,
  width: 6,
  cpuMillis: 820,
  memoryMb: 3_000,
  workMs: 1_000,
}
const verdictJobs: JobKind = {
  jobsPerS: 1.2,
  steps: 2,
  width: 8,
  cpuMillis: 1_800,
  memoryMb: 5_100,
  workMs: 1_300,
}

/** Fleet and jobs of a simulated deployment. */
export interface BurstLoad {
  /** Granularity of the simulated time, in milliseconds. */
  tickMs: number
  lengthMs: number
  /** Length of a burst, in milliseconds. */
  burstMs: number
  /** Demand of a queue in its burst, as a multiple of its mean demand. */
  demandInBurst: number
  /** Job kind of each queue; queue and pool have the same name. */
  kinds: readonly JobKind[]
  capacity: Amounts
  poolMachines: number
  spareMachines: number
  machinesPerRack: number
  /** Lasting tasks of each pool. */
  lasting: { count: number; maxPerRunner: number; amounts: Amounts }
  /** Most orders to machines in a second. */
  ordersPerS: number
  /** Time between two plans of moves while work waits or machines move, in milliseconds. */
  busyPauseMs: number
  /** Most moves in one plan. */
  maxMoves: number
}

/** Four pools of eight machines each, and eight spare machines. */
export const smallLoad: BurstLoad = {
  tickMs: 10,
  lengthMs: 34_000,
  burstMs: 8_500,
  demandInBurst: 4 - 3 * demandOutsideBurst,
  kinds: [checkJobs, verdictJobs, checkJobs, verdictJobs],
  capacity: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
  poolMachines: 8,
  spareMachines: 8,
  machinesPerRack: 8,
  lasting: {
    count: 5,
    maxPerRunner: 1,
    amounts: { cpuMillis: 1_300, memoryMb: 4_500, accelerators: 0 },
  },
  ordersPerS: Number.POSITIVE_INFINITY,
  busyPauseMs: 250,
  maxMoves: 16,
}

const quickJobs: JobKind = {
  jobsPerS: 19,
  steps: 1.6,
  width: 8,
  cpuMillis: 6_200,
  memoryMb: 20_000,
  workMs: 660,
}
const largerJobs: JobKind = {
  jobsPerS: 4,
  steps: 2,
  width: 8,
  cpuMillis: 13_000,
  memoryMb: 40_000,
  workMs: 1_200,
}

/**
 * The load of docs/hard-load.md, section 1: 246 machines of 64 cores, bursts of 4 s that need 1.4
 * times what a pool holds, and at most 170 orders to machines in a second.
 */
export const largeLoad: BurstLoad = {
  tickMs: 20,
  lengthMs: 36_000,
  burstMs: 4_000,
  demandInBurst: 4.5,
  kinds: [quickJobs, largerJobs, quickJobs, largerJobs],
  capacity: { cpuMillis: 64_000, memoryMb: 256_000, accelerators: 0 },
  poolMachines: 50,
  spareMachines: 46,
  machinesPerRack: 20,
  lasting: {
    count: 24,
    maxPerRunner: 2,
    amounts: { cpuMillis: 6_000, memoryMb: 20_000, accelerators: 0 },
  },
  ordersPerS: 170,
  busyPauseMs: 100,
  maxMoves: 34,
}

/** The part of a forecast that the simulation asks. */
export type SimulatedForecast = Pick<DemandForecast, 'noteAccepted' | 'expected' | 'expectedPeak'>

/** A rack that crashes with everything that runs on it, and is up again later. */
export interface RackCrash {
  rack: number
  at: number
  until: number
}

/** Options of {@link simulateDemandBursts}. */
export interface DemandBurstsOptions {
  seed: number
  /** {@link smallLoad} if absent. */
  load?: BurstLoad
  /** Returns the forecast to use at a time; without it, machines are planned by the waiting work. */
  forecast?: (now: number) => SimulatedForecast
  /** Returns the number of the pool that has a burst; one after another if absent. */
  burstAt?: (now: number) => number | undefined
  crash?: RackCrash
  /** Length of a burst, in milliseconds. */
  burstMs?: number
  /** Time between two plans of moves while no work waits and no machine moves, in milliseconds. */
  idlePauseMs?: number
  planMoves?: typeof planPoolMoves
}

/** How much of the demand was served, and at what cost. */
export interface DemandBurstsResult {
  jobs: number
  /** Fraction of the possible credit that the jobs earned, weighted by their work. */
  served: number
  /** The lowest value of that fraction for the arrivals of any two seconds. */
  worstWindow: number
  /** The same fraction for the largest tenth of the jobs. */
  largest: number
  machineSeconds: number
  moves: number
}

/** A job with the credit that it earned. */
interface EndedJob {
  /** Time of its arrival. */
  at: number
  credit: number
  /** Value of the job, in core-seconds. */
  work: number
}

interface SimulatedMachine {
  id: string
  rack: number
  pool: string
  /** Pool that the machine is moving to. */
  to: string | undefined
  readyAt: number
  isLent: boolean
  idleSince: number | undefined
  free: Amounts
  /** Tasks on the machine, with the time at which each ends. */
  tasks: Map<Task, number>
}

const spare = 'spare'
/** Names of the pools that serve a queue, in the order of their bursts. */
export const burstPools = ['a', 'b', 'c', 'd']

/**
 * Simulates bursts of demand without a network. Four queues, each with a pool of its own, have one
 * burst after another, at four to five times their mean demand. The machines of a spare pool are
 * switched off until they are moved.
 *
 * @example
 * const { served, machineSeconds } = simulateDemandBursts({ seed: 1 })
 */
export function simulateDemandBursts(opts: DemandBurstsOptions): DemandBurstsResult {
  return new DemandBursts(opts).run()
}

class DemandBursts {
  readonly #random: () => number
  readonly #burstMs: number
  readonly #load: BurstLoad
  readonly #pools = burstPools
  readonly #queues = new Map<string, JobQueue>()
  readonly #machines: SimulatedMachine[] = []
  readonly #jobs = new Map<string, JobExecution>()
  readonly #runTimes = createRunTimeEstimator()
  readonly #ended: EndedJob[] = []
  #now = 0
  #nextJob = 0
  #machineMs = 0
  #moves = 0
  /** Number of orders that the platform accepts now. */
  #orderAllowance = 0

  constructor(private readonly opts: DemandBurstsOptions) {
    this.#random = seededRandom(opts.seed)
    this.#load = opts.load ?? smallLoad
    this.#burstMs = opts.burstMs ?? this.#load.burstMs
    for (const [i, pool] of this.#pools.entries()) {
      this.#queues.set(pool, {
        name: pool,
        hostName: `${pool}.example`,
        pathPrefix: '/',
        pool,
        priority: i % 2,
        maxAttempts: 3,
        stretch: 1.6,
        targetLatencyMs: 600,
        isAnonymousAllowed: false,
        advice: undefined,
      })
    }
    for (const pool of [...this.#pools, spare]) {
      const count = pool === spare ? this.#load.spareMachines : this.#load.poolMachines
      for (let n = 0; n < count; n++) {
        this.#machines.push({
          id: `${pool}${n}`,
          rack: Math.floor(this.#machines.length / this.#load.machinesPerRack),
          pool,
          to: undefined,
          readyAt: 0,
          isLent: false,
          idleSince: pool === spare ? undefined : 0,
          free: { ...this.#load.capacity },
          tasks: new Map(),
        })
      }
      if (pool !== spare) this.#submitLasting(pool)
    }
  }

  run(): DemandBurstsResult {
    const { tickMs, lengthMs, busyPauseMs, maxMoves, ordersPerS } = this.#load
    let nextMovesAt = 0
    for (; this.#now < lengthMs + 6_000; this.#now += tickMs) {
      if (this.#now < lengthMs) this.#submitArrivals()
      this.#endTasks()
      if (this.#now === this.opts.crash?.at) this.#crashRack()
      this.#orderAllowance = Math.min(
        maxMoves,
        this.#orderAllowance + (ordersPerS * tickMs) / 1_000,
      )
      const waiting = this.#startTasks()
      if (this.#now >= nextMovesAt) {
        const isBusy = this.#moveMachines(waiting)
        nextMovesAt = this.#now + (isBusy ? busyPauseMs : (this.opts.idlePauseMs ?? tickMs))
      }
      if (this.#now < lengthMs) {
        const paid = this.#machines.filter(({ pool, to }) => pool !== spare || to !== undefined)
        this.#machineMs += paid.length * tickMs
      }
    }
    return this.#result()
  }

  #submitArrivals(): void {
    const { kinds, tickMs, demandInBurst } = this.#load
    const burstIndex =
      this.opts.burstAt === undefined
        ? Math.floor(this.#now / this.#burstMs) % this.#pools.length
        : this.opts.burstAt(this.#now)
    for (const [i, kind] of kinds.entries()) {
      const perS = kind.jobsPerS * (i === burstIndex ? demandInBurst : demandOutsideBurst)
      let count = (perS * tickMs) / 1_000
      for (; count >= 1; count--) this.#submitRandomJob(this.#pools[i] ?? '', kind)
      if (this.#random() < count) this.#submitRandomJob(this.#pools[i] ?? '', kind)
    }
  }

  #submitRandomJob(pool: string, kind: JobKind): void {
    const steps: Step[] = []
    const count = Math.max(1, Math.round(kind.steps * this.#randomFactor(0.4)))
    for (let s = 0; s < count; s++) {
      const workMs = kind.workMs * this.#randomFactor(0.5)
      steps.push({
        count: Math.max(1, Math.round(kind.width * this.#randomFactor(0.6))),
        amounts: {
          cpuMillis: Math.round(kind.cpuMillis * this.#randomFactor(0.45)),
          memoryMb: Math.round(kind.memoryMb * this.#randomFactor(0.6)),
          accelerators: 0,
        },
        estimateMs: workMs * this.#randomFactor(0.6),
        ...(s > 0 ? { after: [s - 1] } : {}),
      })
    }
    this.#submitJob(pool, steps)
  }

  #submitLasting(pool: string): void {
    const { lasting } = this.#load
    this.#submitJob(pool, [{ ...lasting, estimateMs: 1_000, isLasting: true }])
  }

  #submitJob(pool: string, steps: Step[]): void {
    const id = `j${this.#nextJob++}`
    const job = new JobExecution({ id, queue: pool, payload: '', steps, acceptedAt: this.#now })
    job.openDueOccurrences(this.#now)
    this.#jobs.set(id, job)
    if (steps[0]?.isLasting === true) return
    const { capacity } = this.#load
    let coreMs = 0
    for (const { count, amounts, estimateMs } of steps)
      coreMs += (largestFraction(amounts, capacity) * capacity.cpuMillis * count * estimateMs) / 1e3
    const pathMs = steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0)
    this.opts.forecast?.(this.#now).noteAccepted({ pool, coreMs, pathMs, at: this.#now })
  }

  #crashRack(): void {
    for (const machine of this.#machines) {
      if (machine.rack !== this.opts.crash?.rack) continue
      for (const task of machine.tasks.keys()) task.step.job.abandonRun(task)
      machine.tasks.clear()
      machine.free = { ...this.#load.capacity }
    }
  }

  #isCrashed({ rack }: SimulatedMachine): boolean {
    const { crash } = this.opts
    return rack === crash?.rack && this.#now >= crash.at && this.#now < crash.until
  }

  #randomFactor(sigma: number): number {
    return randomFactor(this.#random, sigma)
  }

  #endTasks(): void {
    for (const machine of this.#machines) {
      if (machine.to !== undefined && this.#now >= machine.readyAt) {
        machine.pool = machine.to
        machine.to = undefined
        machine.idleSince = this.#now
        if (machine.pool === spare) machine.isLent = false
      }
      for (const [task, endsAt] of machine.tasks) {
        if (this.#now < endsAt) continue
        machine.tasks.delete(task)
        addAmounts(machine.free, reservedAmounts(task.step), 1)
        const { job } = task.step
        this.#runTimes.observe(job.definition.queue, task.step.definition.estimateMs)
        job.markDone(task, task.lastRun, this.#now)
        if (job.hasEnded) this.#recordEnd(job)
      }
      if (machine.tasks.size > 0) machine.idleSince = undefined
      else machine.idleSince ??= this.#now
    }
  }

  #recordEnd(job: JobExecution): void {
    this.#jobs.delete(job.definition.id)
    const queue = this.#queues.get(job.definition.queue)
    if (queue === undefined) return
    const objectiveMs = latencyObjectiveMs(job, queue, {
      observe: () => undefined,
      estimateMs: (_, ms) => ms,
    })
    const tookMs = this.#now - job.definition.acceptedAt
    const creditIfLate = tookMs <= 3 * objectiveMs ? lateCredit : 0
    this.#ended.push({
      at: job.definition.acceptedAt,
      credit: tookMs <= objectiveMs ? 1 : creditIfLate,
      work: workOf(job),
    })
  }

  #startTasks(): Map<string, Amounts> {
    const steps = [...this.#jobs.values()].flatMap(job => job.startableSteps())
    const byId = new Map(this.#machines.map(machine => [machine.id, machine]))
    const available = this.#machines.filter(
      machine => machine.pool !== spare && machine.to === undefined && !this.#isCrashed(machine),
    )
    const { capacity } = this.#load
    const runners = available.map(machine => asOpenRunner(machine, capacity))
    const state = { steps, queues: this.#queues, runners }
    const allowance = new Map<string, Amounts>()
    const times = this.#runTimes
    const starts = chooseStarts({
      ...state,
      runTimes: times,
      allowance,
      wallNow: this.#now,
      maxStarts: 200,
    })
    for (const { task, runnerId } of starts) {
      const machine = byId.get(runnerId)
      if (machine === undefined) continue
      const { job, definition } = task.step
      job.beginRun(task, runnerId, 0)
      const workMs = definition.isLasting === true ? Number.POSITIVE_INFINITY : this.#workMs(task)
      machine.tasks.set(task, this.#now + startMs + workMs)
      machine.idleSince = undefined
      addAmounts(machine.free, reservedAmounts(task.step), -1)
    }
    return sumWaitingWork({ ...state, allowance })
  }

  /**
   * Duration of a task. It depends on the task alone, so that policies are compared on the same
   * work.
   */
  #workMs({ step: { job, number, definition }, name }: Task): number {
    const index = Number(name.slice(name.lastIndexOf('.') + 1))
    const seed =
      (this.opts.seed * 1_000 + Number(job.definition.id.slice(1))) * 1_000 + number * 100
    return definition.estimateMs * randomFactor(seededRandom(seed + index), 0.2)
  }

  #moveMachines(waiting: ReadonlyMap<string, Amounts>): boolean {
    const moving = this.#machines.filter(({ to }) => to !== undefined)
    const { capacity } = this.#load
    const moves = (this.opts.planMoves ?? planPoolMoves)({
      machines: this.#machines
        .filter(({ to }) => to === undefined)
        .map(machine => ({
          id: machine.id,
          pool: machine.pool,
          capacity,
          isLent: machine.isLent,
          isZoneWithdrawn: false,
          idleSince: machine.idleSince,
          isLost: this.#isCrashed(machine),
        })),
      pools: [...this.#pools, spare].map(name => this.#poolLoad(name, waiting)),
      now: this.#now,
      maxMoves: Math.floor(this.#orderAllowance),
    })
    this.#orderAllowance -= moves.length
    for (const { machine: id, to } of moves) {
      const machine = this.#machines.find(each => each.id === id)
      if (machine === undefined || machine.tasks.size > 0) continue
      machine.to = to
      machine.readyAt = this.#now + moveMs
      if (to !== spare) machine.isLent = true
      this.#moves += 1
    }
    return waiting.size > 0 || moving.length + moves.length > 0
  }

  #poolLoad(name: string, waiting: ReadonlyMap<string, Amounts>): PoolLoad {
    const inPool = this.#machines.filter(({ pool, to }) => pool === name && to === undefined)
    const load: PoolLoad = {
      name,
      isSpare: name === spare,
      waiting: waiting.get(name) ?? noAmounts,
      arrivingCount: this.#machines.filter(({ to }) => to === name).length,
      upCount: inPool.length,
    }
    const now = this.#now
    const forecast = this.opts.forecast?.(now)
    if (forecast === undefined || name === spare) return load
    const arrivesAt = now + moveMs
    const asAmounts = (cores: number) => ({ ...noAmounts, cpuMillis: 1_000 * cores })
    const lasting = { ...noAmounts }
    const running = { ...noAmounts }
    const ending = { ...noAmounts }
    for (const { tasks } of inPool) {
      for (const [task, endsAt] of tasks) {
        const { definition } = task.step
        addAmounts(definition.isLasting === true ? lasting : running, definition.amounts)
        // The end that the declared estimate lets expect, as the true one is not known.
        const expectedEnd = endsAt - this.#workMs(task) + definition.estimateMs
        if (expectedEnd <= arrivesAt) addAmounts(ending, definition.amounts)
      }
    }
    return {
      ...load,
      usableCount: inPool.filter(machine => !this.#isCrashed(machine)).length,
      expected: asAmounts(forecast.expected(name, arrivesAt, arrivesAt + expectedSpanMs, now)),
      expectedPeak: asAmounts(forecast.expectedPeak(name, now, arrivesAt + 2_600, now)),
      lasting,
      running,
      ending,
    }
  }

  #result(): DemandBurstsResult {
    // Jobs that have not ended when the simulation ends earn no credit.
    for (const job of this.#jobs.values()) {
      if (job.definition.steps[0]?.isLasting === true) continue
      this.#ended.push({ at: job.definition.acceptedAt, credit: 0, work: workOf(job) })
    }
    const windows: number[] = []
    for (let at = 0; at < this.#load.lengthMs; at += 2_000) {
      const inside = this.#ended.filter(job => job.at >= at && job.at < at + 2_000)
      if (inside.length > 3) windows.push(creditFractionOf(inside))
    }
    const byWork = [...this.#ended].sort((a, b) => b.work - a.work)
    return {
      jobs: this.#ended.length,
      served: creditFractionOf(this.#ended),
      worstWindow: Math.min(...windows),
      largest: creditFractionOf(byWork.slice(0, Math.ceil(byWork.length / 10))),
      machineSeconds: this.#machineMs / 1_000,
      moves: this.#moves,
    }
  }
}

/** Returns a log-normal random factor around 1, at most 3. */
function randomFactor(random: () => number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.min(3, Math.exp(sigma * normal - (sigma * sigma) / 2))
}

/** Returns the fraction of the possible credit that the jobs earned, weighted by their work. */
function creditFractionOf(jobs: readonly EndedJob[]): number {
  const possible = jobs.reduce((sum, { work }) => sum + work, 0)
  return jobs.reduce((sum, { credit, work }) => sum + credit * work, 0) / possible
}

/** Returns the value of a job in core-seconds, as it is paid for: its work plus a fixed part. */
function workOf(job: JobExecution): number {
  const work = job.definition.steps.reduce(
    (sum, { count, amounts, estimateMs }) => sum + (count * amounts.cpuMillis * estimateMs) / 1e6,
    0,
  )
  return work + 8
}

function asOpenRunner(
  { id, pool, free, tasks, isLent }: SimulatedMachine,
  capacity: Amounts,
): AvailableRunner {
  const tasksByStep = new Map<string, number>()
  for (const task of tasks.keys()) {
    const name = task.step.name
    tasksByStep.set(name, (tasksByStep.get(name) ?? 0) + 1)
  }
  return {
    id,
    pool,
    rack: 'r1',
    labels: [],
    capacity,
    free: { ...free },
    tasksByStep,
    servingTasks: 0,
    fillerTasks: 0,
    finiteTasks: tasks.size,
    suspicion: 0,
    isExclusive: false,
    isLent,
    unconfirmedRuns: 0,
  }
}
