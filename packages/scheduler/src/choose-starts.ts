import { addAmounts, countFitting, largestFraction, noAmounts, type Amounts } from './amounts.js'
import type { JobQueue } from './configuration.js'
import { maxSuspicion, mustRunAlone, suspicionOf } from './crash-suspects.js'
import type { JobExecution, StepExecution } from './job-execution.js'
import { hasNeededLabel } from './runner-constraints.js'
import type { Task } from './task.js'
import { compareUrgency, createCriticalPaths, urgencyOf } from './urgency.js'
import type { RunTimeSource } from './run-time-estimator.js'
import { startTurns, type StartTurn } from './start-turns.js'
import type { WeightedShares } from './weighted-shares.js'

/**
 * A runner that may take new tasks, as input of {@link chooseStarts}. The dispatcher leaves out
 * runners that get no new runs:
 *
 * - It does not reach the runner, or has not yet matched the runs on it with the stored ones.
 * - The runner is draining: its own registry entry says so.
 * - The runner is cordoned: its machine is about to have its upkeep or to move.
 * - The runner is quarantined, because runs of several jobs failed on it.
 * - Operators have withdrawn its availability zone.
 */
export interface AvailableRunner {
  id: string
  pool: string
  rack: string
  labels: readonly string[]
  capacity: Amounts
  /** Resources that are free now; {@link chooseStarts} subtracts what its starts reserve. */
  free: Amounts
  /** Number of tasks on the runner by step name, `<job>.<occurrence>.<step>`. */
  tasksByStep: ReadonlyMap<string, number>
  /** Numbers of serving tasks and of fillers on the runner; the two kinds slow each other down. */
  servingTasks: number
  fillerTasks: number
  /** Number of tasks on the runner that are not lasting. */
  finiteTasks: number
  /** Sum of the suspicion of its tasks that they crash runners, see `suspicionOf`. */
  suspicion: number
  /** The runner runs, or is kept free for, a task that must run alone. */
  isExclusive: boolean
  /** An order of an earlier dispatcher may end the runner at any time. */
  isThreatened?: boolean
  /** A move brought the machine into this pool, from a spare pool or from another one. */
  isLent: boolean
  /** Runs that it has not confirmed yet; above {@link maxUnconfirmedRuns} it gets no new ones. */
  unconfirmedRuns: number
  /** How much slower the runner is than its peers, see `slownessOf`; 0 by default. */
  slowness?: number
}

/**
 * Most runs of a runner that it has not confirmed yet, but for gangs. Start orders have a deadline;
 * more of them than a runner answers in that time would fail and be sent again without end.
 */
export const maxUnconfirmedRuns = 48

/** Input of {@link chooseStarts}, which changes `shares` and the objects in `runners` and `allowance`. */
export interface StartChoiceInput {
  steps: readonly StepExecution[]
  queues: ReadonlyMap<string, JobQueue>
  runners: readonly AvailableRunner[]
  runTimes: RunTimeSource
  /**
   * Resources that each organisation may still reserve; organisations without a limit are absent.
   * {@link chooseStarts} subtracts what its starts reserve.
   */
  allowance: ReadonlyMap<string, Amounts>
  /** Unix milliseconds. */
  wallNow: number
  /**
   * Returns the ids of the runners that the advice service allows for a step; undefined while its
   * answer is pending. Called only for steps of queues that have advice terms.
   */
  advisedRunners?: (step: StepExecution) => ReadonlySet<string> | undefined
  /** Maximum number of starts. */
  maxStarts: number
  /** Whether the memory of the dispatcher allows that many more runs, some of an organisation. */
  hasRoomForRuns?: (organisation: string, count: number) => boolean
  /** Absent where no organisation has a weight. */
  shares?: WeightedShares | undefined
}

/** A task and the runner on which it is to start. */
export interface TaskStart {
  task: Task
  runnerId: string
}

/**
 * Chooses which tasks start now and on which runners. The most urgent step goes first, in the order of
 * `startTurns`, which follows the shares of organisations. Among
 * runners that suit a task equally, it goes to the one with the least free capacity (best fit), so
 * that large tasks fit elsewhere and idle machines can be switched off. Free capacity and
 * allowances are never exceeded, because runners start every task that they are ordered to start.
 *
 * Tasks that must run alone go first, on idle runners; where there is none, the runner with the
 * fewest tasks gets no others, so that it becomes idle.
 *
 * Changes its input in place: the free resources, the numbers of tasks and the suspicion of the
 * runners, the allowances and the shares. `tasksByStep` and the steps stay as they are.
 *
 * @example
 * for (const { task, runnerId } of chooseStarts(input)) record(task, runnerId)
 */
export function chooseStarts(input: StartChoiceInput): TaskStart[] {
  const pathsOf = createCriticalPaths(input.runTimes)
  const ranked = input.steps.flatMap(step => {
    const queue = input.queues.get(step.job.definition.queue)
    if (queue === undefined) return []
    const isExcess = input.shares?.isExcess(step.job.definition)
    const urgency = urgencyOf(step, queue, input.runTimes, input.wallNow, pathsOf, isExcess)
    return [{ step, queue, urgency }]
  })
  ranked.sort((a, b) => compareUrgency(a.urgency, b.urgency))
  const chooser = new StartChooser(input)
  for (const { step, queue } of ranked) chooser.startLoneTasks(step, queue)
  const turns = startTurns({
    ranked,
    shares: input.shares,
    mayStart: (step, queue) => chooser.mayStart(step, queue),
    isIdle: ({ job }) => chooser.isIdle(job),
    isHalfFree: pool => chooser.isHalfFree(pool),
    wallNow: input.wallNow,
  })
  for (const turn of turns) {
    if (chooser.starts.length >= input.maxStarts) break
    chooser.takeTurn(turn)
  }
  return chooser.starts
}

class StartChooser {
  readonly starts: TaskStart[] = []
  readonly #input: StartChoiceInput
  readonly #runnersByPool = new Map<string, AvailableRunner[]>()
  /**
   * Amounts for which no runner of a pool has room, by pool. Free capacity only falls during a pass,
   * so tasks that need as much or more are not compared with each runner again.
   */
  readonly #unfitAmounts = new Map<string, Amounts[]>()
  /** Pools in which a runner is kept free for a task that must run alone; one for each is enough. */
  readonly #poolsWithKeptRunner = new Set<string>()
  /** Number of tasks started so far, by `<runner id> <step name>`. */
  readonly #startedTasks = new Map<string, number>()
  readonly #startedJobs = new Set<JobExecution>()
  /** Capacity and free resources of the runners, by pool. */
  readonly #pools = new Map<string, { capacity: Amounts; free: Amounts }>()
  /** Tasks of each step that have not been offered to the runners; undefined if none can start. */
  readonly #offers = new Map<StepExecution, Iterator<Task, undefined> | undefined>()

  constructor(input: StartChoiceInput) {
    this.#input = input
    for (const runner of input.runners) {
      const poolRunners = this.#runnersByPool.get(runner.pool)
      if (poolRunners === undefined) this.#runnersByPool.set(runner.pool, [runner])
      else poolRunners.push(runner)
      const sums = this.#pools.get(runner.pool) ?? {
        capacity: { ...noAmounts },
        free: { ...noAmounts },
      }
      addAmounts(sums.capacity, runner.capacity)
      addAmounts(sums.free, runner.free)
      this.#pools.set(runner.pool, sums)
    }
  }

  mayStart(step: StepExecution, { pool }: JobQueue): boolean {
    if (this.#offers.has(step) && this.#offers.get(step) === undefined) return false
    return !this.#isKnownUnfit(pool, reservedAmounts(step))
  }

  isIdle(job: JobExecution): boolean {
    return !job.hasRuns && !this.#startedJobs.has(job)
  }

  isHalfFree(pool: string): boolean {
    const sums = this.#pools.get(pool)
    if (sums === undefined) return false
    const used = { ...sums.capacity }
    addAmounts(used, sums.free, -1)
    return largestFraction(used, sums.capacity) <= 0.5
  }

  /** Starts the tasks of a step that must run alone. */
  startLoneTasks(step: StepExecution, queue: JobQueue): void {
    for (const task of step.tasks.released()) {
      if (!mustRunAlone(task)) continue
      if (this.starts.length >= this.#input.maxStarts) return
      const runner = this.#bestRunner(step, queue, task)
      if (runner !== undefined) this.#reserve(task, runner)
      else if (this.#isWithinAllowance(step)) this.#keepRunnerFree(step, queue)
    }
  }

  /**
   * Keeps other tasks from the runner of the pool that is likely to be idle first. An idle one that
   * did not suit the task would not suit it later either.
   */
  #keepRunnerFree(step: StepExecution, queue: JobQueue): void {
    if (queue.advice !== undefined || this.#poolsWithKeptRunner.has(queue.pool)) return
    const amounts = reservedAmounts(step)
    let fewest: AvailableRunner | undefined
    for (const runner of this.#runnersByPool.get(queue.pool) ?? []) {
      if (
        runner.isExclusive ||
        runner.finiteTasks === 0 ||
        countFitting(runner.capacity, amounts) < 1
      )
        continue
      if (!hasNeededLabel(step, runner)) continue
      if (fewest === undefined || runner.finiteTasks < fewest.finiteTasks) fewest = runner
    }
    if (fewest === undefined) return
    fewest.isExclusive = true
    this.#poolsWithKeptRunner.add(queue.pool)
  }

  /** Starts tasks of a step, or goes on where its last turn stopped. */
  takeTurn({ step, queue, isSingle }: StartTurn): void {
    if (!this.mayStart(step, queue)) return
    if (step.definition.isGang === true) {
      // A gang starts only as a whole, and only when no task of its last run may still be running.
      if (step.pendingCount + step.doneCount === step.tasks.length) this.#startGang(step, queue)
      this.#offers.set(step, undefined)
      return
    }
    const tasks = this.#offers.get(step) ?? step.tasks.pending()
    this.#offers.set(step, tasks)
    while (this.starts.length < this.#input.maxStarts) {
      const { value: task } = tasks.next()
      if (task === undefined) break
      if (mustRunAlone(task)) continue
      const runner = this.#bestRunner(step, queue, task)
      if (runner !== undefined) {
        this.#reserve(task, runner)
        if (isSingle) return
      } else if (task.crashes === 0) break
    }
    this.#offers.set(step, undefined)
  }

  /**
   * Starts all tasks of a gang or none. The tasks are equal, so it counts how many of them each runner
   * takes before it looks at any task.
   */
  #startGang(step: StepExecution, queue: JobQueue): void {
    const { organisation } = step.job.definition
    if (!this.#hasRoomForRuns(step, step.pendingCount)) return
    const allowance =
      organisation === undefined ? undefined : this.#input.allowance.get(organisation)
    if (allowance !== undefined) {
      if (countFitting(allowance, step.definition.amounts) < step.pendingCount) return
    }
    const rooms = this.#gangRooms(step, queue)
    const chosen = chooseRack(step, rooms) ?? rooms
    if (sumRooms(chosen) >= step.pendingCount) this.#fillRunners(step, chosen)
  }

  /** The runners that take tasks of a gang, with how many each takes. */
  #gangRooms(step: StepExecution, queue: JobQueue): GangRoom[] {
    const amounts = reservedAmounts(step)
    const { maxPerRunner = Number.POSITIVE_INFINITY, needs, mayMiss } = step.definition
    if (this.#isKnownUnfit(queue.pool, amounts)) return []
    const advised = queue.advice === undefined ? undefined : this.#input.advisedRunners?.(step)
    if (queue.advice !== undefined && advised === undefined) return []
    const rooms: GangRoom[] = []
    for (const runner of this.#runnersByPool.get(queue.pool) ?? []) {
      if (runner.isExclusive || !hasNeededLabel(step, runner)) continue
      if (isTooRisky(step, runner)) continue
      if (advised?.has(runner.id) === false) continue
      const fitting = countFitting(runner.free, amounts)
      const count = Math.min(fitting, maxPerRunner - this.#tasksOn(step, runner))
      if (count >= 1) rooms.push({ runner, count: Math.min(count, step.pendingCount) })
    }
    const isConstrained = queue.advice !== undefined || needs !== undefined || mayMiss !== undefined
    if (rooms.length === 0 && !isConstrained && maxPerRunner === Number.POSITIVE_INFINITY)
      this.#noteUnfit(queue.pool, amounts)
    return rooms
  }

  /**
   * Distributes the tasks of a gang over runners that have room for all of them, cheapest runner first:
   * finite tasks fill one after another, lasting tasks take turns.
   */
  #fillRunners(step: StepExecution, rooms: readonly GangRoom[]): void {
    const failedOn = new Set<string>()
    for (const { lastFailedRunnerId } of step.tasks.released())
      if (lastFailedRunnerId !== undefined) failedOn.add(lastFailedRunnerId)
    const tasks = step.tasks.pending()
    const perTurn = step.definition.isLasting === true ? 1 : Number.POSITIVE_INFINITY
    let remaining = [...rooms]
    while (remaining.length > 0) {
      const costs = remaining.map(room => ({
        room,
        cost: this.#costOf(step, failedOn, room.runner),
      }))
      costs.sort((a, b) => a.cost - b.cost)
      for (const { room } of costs) {
        for (let taken = 0; taken < perTurn && room.count > 0; taken++) {
          const { value: task } = tasks.next()
          if (task === undefined) return
          this.#reserve(task, room.runner)
          room.count -= 1
        }
      }
      remaining = remaining.filter(({ count }) => count > 0)
    }
  }

  #bestRunner(step: StepExecution, queue: JobQueue, task: Task): AvailableRunner | undefined {
    const amounts = reservedAmounts(step)
    if (!this.#isWithinAllowance(step) || !this.#hasRoomForRuns(step, 1)) return undefined
    if (this.#isKnownUnfit(queue.pool, amounts)) return undefined
    const advised = queue.advice === undefined ? undefined : this.#input.advisedRunners?.(step)
    if (queue.advice !== undefined && advised === undefined) return undefined
    const failedOn = new Set([task.lastFailedRunnerId])
    let best: { runner: AvailableRunner; cost: number } | undefined
    for (const runner of this.#runnersByPool.get(queue.pool) ?? []) {
      if (advised?.has(runner.id) === false || !this.#canRun(task, runner, amounts)) continue
      const cost = this.#costOf(step, failedOn, runner)
      if (best === undefined || cost < best.cost) best = { runner, cost }
    }
    if (best === undefined && isUnconstrained(task, queue)) this.#noteUnfit(queue.pool, amounts)
    return best?.runner
  }

  #isKnownUnfit(pool: string, amounts: Amounts): boolean {
    return this.#unfitAmounts.get(pool)?.some(unfit => countFitting(amounts, unfit) >= 1) === true
  }

  #noteUnfit(pool: string, amounts: Amounts): void {
    const noted = this.#unfitAmounts.get(pool)
    if (noted === undefined) this.#unfitAmounts.set(pool, [amounts])
    else noted.push(amounts)
  }

  #canRun(task: Task, runner: AvailableRunner, amounts: Amounts): boolean {
    const { step, crashes } = task
    const { maxPerRunner } = step.definition
    if (runner.isExclusive || isTooRisky(step, runner)) return false
    if (runner.unconfirmedRuns >= maxUnconfirmedRuns) return false
    if (mustRunAlone(task) && runner.finiteTasks > 0) return false
    if (crashes > 0 && runner.suspicion + suspicionOf(crashes) > maxSuspicion) return false
    if (!hasNeededLabel(step, runner)) return false
    if (countFitting(runner.free, amounts) < 1) return false
    return maxPerRunner === undefined || this.#tasksOn(step, runner) < maxPerRunner
  }

  #tasksOn(step: StepExecution, runner: AvailableRunner): number {
    const { name } = step
    return (
      (runner.tasksByStep.get(name) ?? 0) + (this.#startedTasks.get(`${runner.id} ${name}`) ?? 0)
    )
  }

  /**
   * The cost of a start on this runner; lower is better. Each summand outweighs those after it, as
   * long as fewer than ten fillers or serving tasks interfere with the task.
   */
  #costOf(
    step: StepExecution,
    failedOn: ReadonlySet<string | undefined>,
    runner: AvailableRunner,
  ): number {
    const { affinityRack, isFiller, targetMs, isLasting } = step.definition
    const otherRack = affinityRack !== undefined && runner.rack !== affinityRack ? 1 : 0
    const failedHere = failedOn.has(runner.id) ? 1 : 0
    let interference = 0
    if (isFiller === true) interference = runner.servingTasks
    else if (targetMs !== undefined) interference = runner.fillerTasks
    // If tasks of one step share a machine, its upkeep or loss may stop more of them than may be
    // unavailable at once.
    const sameStepTasks = isLasting === true ? this.#tasksOn(step, runner) : 0
    // A lasting task would keep a lent machine from leaving the pool again.
    const lastingOnLent = isLasting === true && runner.isLent ? 1 : 0
    const free = freeFraction(runner)
    // Lasting tasks are spread out, so that the loss or upkeep of one machine ends few of them.
    const fit = isLasting === true ? 1 - free : free
    return (
      sameStepTasks * 100_000 +
      lastingOnLent * 10_000 +
      failedHere * 1_000 +
      otherRack * 100 +
      interference * 10 +
      (runner.slowness ?? 0) +
      fit
    )
  }

  #hasRoomForRuns(step: StepExecution, count: number): boolean {
    const { organisation = '' } = step.job.definition
    return this.#input.hasRoomForRuns?.(organisation, this.starts.length + count) !== false
  }

  #isWithinAllowance(step: StepExecution): boolean {
    const { organisation } = step.job.definition
    if (organisation === undefined) return true
    const remaining = this.#input.allowance.get(organisation)
    return remaining === undefined || countFitting(remaining, step.definition.amounts) >= 1
  }

  /** Reserves the resources of a task on a runner. */
  #reserve(task: Task, runner: AvailableRunner): void {
    const { step } = task
    addAmounts(runner.free, reservedAmounts(step), -1)
    runner.unconfirmedRuns += 1
    if (step.definition.isLasting !== true) runner.finiteTasks += 1
    runner.suspicion += suspicionOf(task.crashes)
    if (mustRunAlone(task)) runner.isExclusive = true
    if (step.definition.isFiller === true) runner.fillerTasks += 1
    else if (step.definition.targetMs !== undefined) runner.servingTasks += 1
    const name = `${runner.id} ${step.name}`
    this.#startedTasks.set(name, (this.#startedTasks.get(name) ?? 0) + 1)
    const { organisation } = step.job.definition
    const remaining =
      organisation === undefined ? undefined : this.#input.allowance.get(organisation)
    if (remaining !== undefined) addAmounts(remaining, step.definition.amounts, -1)
    this.#startedJobs.add(step.job)
    const sums = this.#pools.get(runner.pool)
    if (sums !== undefined) addAmounts(sums.free, reservedAmounts(step), -1)
    this.#input.shares?.addStart(runner.pool, organisation ?? '', reservedAmounts(step))
    this.starts.push({ task, runnerId: runner.id })
  }
}

/** How many tasks of a gang a runner takes. */
interface GangRoom {
  readonly runner: AvailableRunner
  count: number
}

/** Whether an end of the runner by an order would count against the budget of a step. */
function isTooRisky({ definition }: StepExecution, { isThreatened }: AvailableRunner): boolean {
  return isThreatened === true && definition.mayMiss !== undefined
}

function sumRooms(rooms: readonly GangRoom[]): number {
  return rooms.reduce((sum, { count }) => sum + count, 0)
}

/**
 * The rooms of the first rack that holds a whole gang that prefers one rack; undefined if none does, so
 * that its tasks may go to any racks.
 */
function chooseRack(step: StepExecution, rooms: readonly GangRoom[]): GangRoom[] | undefined {
  if (step.definition.sameRack !== true) return undefined
  const roomsByRack = new Map<string, GangRoom[]>()
  for (const room of rooms) {
    const rack = roomsByRack.get(room.runner.rack)
    if (rack === undefined) roomsByRack.set(room.runner.rack, [room])
    else rack.push(room)
  }
  return [...roomsByRack.values()].find(rack => sumRooms(rack) >= step.pendingCount)
}

/** Whether a task of a step may go to every runner of its pool that has room. */
function isUnconstrained({ step, crashes }: Task, { advice }: JobQueue): boolean {
  const { needs, maxPerRunner, mayMiss } = step.definition
  const isSuspect = crashes > 0
  return (
    advice === undefined &&
    needs === undefined &&
    maxPerRunner === undefined &&
    mayMiss === undefined &&
    !isSuspect
  )
}

/**
 * Resources that a task of a step reserves on its runner. A filler reserves no processor time,
 * because it uses only what other tasks leave.
 */
export function reservedAmounts({ definition }: StepExecution): Amounts {
  return definition.isFiller === true ? { ...definition.amounts, cpuMillis: 0 } : definition.amounts
}

/** Mean of the free fractions of processor and memory. */
function freeFraction({ free, capacity }: AvailableRunner): number {
  const cpu = capacity.cpuMillis > 0 ? free.cpuMillis / capacity.cpuMillis : 1
  const memory = capacity.memoryMb > 0 ? free.memoryMb / capacity.memoryMb : 1
  return (cpu + memory) / 2
}
