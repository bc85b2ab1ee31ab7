import { seededRandom } from '@bulrushbridge/standins'
import {
  addAmounts,
  chooseStarts,
  createRunTimes,
  JobState,
  noAmounts,
  latencyObjectiveMs,
  planPoolMoves,
  reservedAmounts,
  stepName,
  sumWaitingWork,
  type Amounts,
  type OpenRunner,
  type Queue,
  type Step,
  type Task,
} from '../src/index.js'

/** Granularity of the simulated time, in milliseconds. */
const tickMs = 10
/** Time from the order of a move until the new runner can be used, in milliseconds. */
const moveMs = 1_700
/** Time from a choice until the task works: one write to the store and one call. */
const startMs = 20
/** Share of its mean that a queue asks for between its turns. */
const betweenTurns = 0.05
/** Credit of a job that ends after its objective, but within three times that. */
const lateCredit = 0.07

/** Kind of job that a queue gets. */
interface Kind {
  jobsPerS: number
  steps: number
  width: number
  cpuMillis: number
  memoryMb: number
  workMs: number
}

const check: Kind = {
  jobsPerS: 5,
  steps: 1.6,
  width: 6,
  cpuMillis: 820,
  memoryMb: 3_000,
  workMs: 1_000,
}
const verdict: Kind = {
  jobsPerS: 1.2,
  steps: 2,
  width: 8,
  cpuMillis: 1_800,
  memoryMb: 5_100,
  workMs: 1_300,
}

/** Options of {@link playTurns}. */
export interface TurnsOptions {
  seed: number
  /** Length of a turn, in milliseconds. */
  turnMs?: number
  /** Time until the machines are looked at after work began to wait, in milliseconds. */
  idlePauseMs?: number
  planMoves?: typeof planPoolMoves
}

/** What callers got and what it took. */
export interface TurnsResult {
  jobs: number
  /** Credit earned of the credit owed. */
  served: number
  /** The same over the worst two seconds. */
  worstWindow: number
  /** Credit of the largest tenth of the jobs. */
  largest: number
  machineSeconds: number
  moves: number
}

/** A job that has ended, by its time of arrival. */
interface EndedJob {
  at: number
  credit: number
  /** What it is worth, in core-seconds. */
  work: number
}

interface SimMachine {
  id: string
  pool: string
  to: string | undefined
  readyAt: number
  isLent: boolean
  idleSince: number | undefined
  free: Amounts
  tasks: Map<Task, number>
}

const capacity: Amounts = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 }
const spare = 'spare'
const lengthMs = 34_000

/**
 * Plays the pattern of turns without a network: four queues with a pool of eight machines each ask
 * one after another for five times their mean, and a spare pool of eight is switched off.
 *
 * @example
 * const { served, machineSeconds } = playTurns({ seed: 1 })
 */
export function playTurns(opts: TurnsOptions): TurnsResult {
  return new Turns(opts).run()
}

class Turns {
  readonly #random: () => number
  readonly #turnMs: number
  readonly #kinds = [check, verdict, check, verdict]
  readonly #pools = ['a', 'b', 'c', 'd']
  readonly #queues = new Map<string, Queue>()
  readonly #machines: SimMachine[] = []
  readonly #jobs = new Map<string, JobState>()
  readonly #times = createRunTimes()
  readonly #ended: EndedJob[] = []
  #now = 0
  #nextJob = 0
  #machineMs = 0
  #moves = 0

  constructor(private readonly opts: TurnsOptions) {
    this.#random = seededRandom(opts.seed)
    this.#turnMs = opts.turnMs ?? 8_500
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
        isOpen: false,
        advice: undefined,
      })
    }
    for (const pool of [...this.#pools, spare]) {
      for (let n = 0; n < 8; n++) {
        this.#machines.push({
          id: `${pool}${n}`,
          pool,
          to: undefined,
          readyAt: 0,
          isLent: false,
          idleSince: pool === spare ? undefined : 0,
          free: { ...capacity },
          tasks: new Map(),
        })
      }
      if (pool !== spare) this.#submitLasting(pool)
    }
  }

  run(): TurnsResult {
    let nextRoundAt = 0
    for (; this.#now < lengthMs + 6_000; this.#now += tickMs) {
      if (this.#now < lengthMs) this.#arrive()
      this.#endTasks()
      const waiting = this.#place()
      if (this.#now >= nextRoundAt) {
        const isBusy = this.#round(waiting)
        nextRoundAt = this.#now + (isBusy ? 250 : (this.opts.idlePauseMs ?? tickMs))
      }
      if (this.#now < lengthMs) {
        const paid = this.#machines.filter(({ pool, to }) => pool !== spare || to !== undefined)
        this.#machineMs += paid.length * tickMs
      }
    }
    return this.#result()
  }

  #arrive(): void {
    const turn = Math.floor(this.#now / this.#turnMs) % this.#pools.length
    for (const [i, kind] of this.#kinds.entries()) {
      const perS = kind.jobsPerS * (i === turn ? 4 - 3 * betweenTurns : betweenTurns)
      if (this.#random() < (perS * tickMs) / 1_000) this.#submit(this.#pools[i] ?? '', kind)
    }
  }

  #submit(pool: string, kind: Kind): void {
    const steps: Step[] = []
    const count = Math.max(1, Math.round(kind.steps * this.#spread(0.4)))
    for (let s = 0; s < count; s++) {
      const workMs = kind.workMs * this.#spread(0.5)
      steps.push({
        count: Math.max(1, Math.round(kind.width * this.#spread(0.6))),
        amounts: {
          cpuMillis: Math.round(kind.cpuMillis * this.#spread(0.45)),
          memoryMb: Math.round(kind.memoryMb * this.#spread(0.6)),
          accelerators: 0,
        },
        estimateMs: workMs * this.#spread(0.6),
        ...(s > 0 ? { after: [s - 1] } : {}),
      })
    }
    this.#add(pool, steps)
  }

  #submitLasting(pool: string): void {
    const amounts = { cpuMillis: 1_300, memoryMb: 4_500, accelerators: 0 }
    this.#add(pool, [{ count: 5, amounts, estimateMs: 1_000, isLasting: true, maxPerRunner: 1 }])
  }

  #add(pool: string, steps: Step[]): void {
    const id = `j${this.#nextJob++}`
    const job = new JobState({ id, queue: pool, payload: '', steps, acceptedAt: this.#now })
    job.openDue(this.#now)
    this.#jobs.set(id, job)
  }

  #spread(sigma: number): number {
    return spread(this.#random, sigma)
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
        this.#times.observe(job.job.queue, task.step.step.estimateMs)
        job.markDone(task, this.#now)
        if (job.isFinal) this.#finish(job)
      }
      if (machine.tasks.size > 0) machine.idleSince = undefined
      else machine.idleSince ??= this.#now
    }
  }

  #finish(job: JobState): void {
    this.#jobs.delete(job.job.id)
    const queue = this.#queues.get(job.job.queue)
    if (queue === undefined) return
    const objective = latencyObjectiveMs(job, queue, {
      observe: () => undefined,
      estimateMs: (_, ms) => ms,
    })
    const took = this.#now - job.job.acceptedAt
    const late = took <= 3 * objective ? lateCredit : 0
    this.#ended.push({
      at: job.job.acceptedAt,
      credit: took <= objective ? 1 : late,
      work: workOf(job),
    })
  }

  #place(): Map<string, Amounts> {
    const steps = [...this.#jobs.values()].flatMap(job => job.startable())
    const byId = new Map(this.#machines.map(machine => [machine.id, machine]))
    const open = this.#machines.filter(({ pool, to }) => pool !== spare && to === undefined)
    const state = { steps, queues: this.#queues, runners: open.map(asOpenRunner) }
    const allowance = new Map<string, Amounts>()
    const times = this.#times
    const starts = chooseStarts({ ...state, times, allowance, wallNow: this.#now, limit: 200 })
    for (const { task, runnerId } of starts) {
      const machine = byId.get(runnerId)
      if (machine === undefined) continue
      const { job, step } = task.step
      job.beginRun(task, runnerId, 0)
      const workMs = step.isLasting === true ? Number.POSITIVE_INFINITY : this.#workMs(task)
      machine.tasks.set(task, this.#now + startMs + workMs)
      machine.idleSince = undefined
      addAmounts(machine.free, reservedAmounts(task.step), -1)
    }
    return sumWaitingWork({ ...state, allowance })
  }

  /** Depends on the task alone, so that two policies are compared on the same work. */
  #workMs({ step: { job, number, step }, name }: Task): number {
    const index = Number(name.slice(name.lastIndexOf('.') + 1))
    const seed = (this.opts.seed * 1_000 + Number(job.job.id.slice(1))) * 1_000 + number * 100
    return step.estimateMs * spread(seededRandom(seed + index), 0.2)
  }

  #round(waiting: ReadonlyMap<string, Amounts>): boolean {
    const moving = this.#machines.filter(({ to }) => to !== undefined)
    const moves = (this.opts.planMoves ?? planPoolMoves)({
      machines: this.#machines
        .filter(({ to }) => to === undefined)
        .map(({ id, pool, isLent, idleSince }) => ({
          id,
          pool,
          capacity,
          isLent,
          isZoneOut: false,
          idleSince,
        })),
      pools: [...this.#pools, spare].map(name => ({
        name,
        isSpare: name === spare,
        waiting: waiting.get(name) ?? noAmounts,
        arriving: moving.filter(({ to }) => to === name).length,
        up: this.#machines.filter(({ pool, to }) => pool === name && to === undefined).length,
      })),
      now: this.#now,
      limit: 16,
    })
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

  #result(): TurnsResult {
    // Jobs that have not ended by now earn nothing.
    for (const job of this.#jobs.values()) {
      if (job.job.steps[0]?.isLasting === true) continue
      this.#ended.push({ at: job.job.acceptedAt, credit: 0, work: workOf(job) })
    }
    const windows: number[] = []
    for (let at = 0; at < lengthMs; at += 2_000) {
      const inside = this.#ended.filter(job => job.at >= at && job.at < at + 2_000)
      if (inside.length > 3) windows.push(creditOf(inside))
    }
    const byWork = [...this.#ended].sort((a, b) => b.work - a.work)
    return {
      jobs: this.#ended.length,
      served: creditOf(this.#ended),
      worstWindow: Math.min(...windows),
      largest: creditOf(byWork.slice(0, Math.ceil(byWork.length / 10))),
      machineSeconds: this.#machineMs / 1_000,
      moves: this.#moves,
    }
  }
}

/** A log-normal factor around 1. */
function spread(random: () => number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.min(3, Math.exp(sigma * normal - (sigma * sigma) / 2))
}

/** Credit earned of the credit owed. */
function creditOf(jobs: readonly EndedJob[]): number {
  const owed = jobs.reduce((sum, { work }) => sum + work, 0)
  return jobs.reduce((sum, { credit, work }) => sum + credit * work, 0) / owed
}

/** Work of a job in core-seconds, as it is paid for: a part of a job's worth is fixed. */
function workOf(job: JobState): number {
  const work = job.job.steps.reduce(
    (sum, { count, amounts, estimateMs }) => sum + (count * amounts.cpuMillis * estimateMs) / 1e6,
    0,
  )
  return work + 8
}

function asOpenRunner({ id, pool, free, tasks, isLent }: SimMachine): OpenRunner {
  const tasksByStep = new Map<string, number>()
  for (const task of tasks.keys()) {
    const name = stepName(task.step)
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
    serving: 0,
    fillers: 0,
    isLent,
  }
}
