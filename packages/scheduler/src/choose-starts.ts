import { addAmounts, timesFitting, type Amounts } from './amounts.js'
import type { Queue } from './configuration.js'
import type { StepState, Task } from './job-state.js'
import { compareUrgency, urgencyOf } from './urgency.js'
import type { RunTimes } from './run-times.js'

/** A runner as the choice sees it. */
export interface OpenRunner {
  id: string
  pool: string
  rack: string
  labels: readonly string[]
  capacity: Amounts
  /** What is free now; reduced by the choice. */
  free: Amounts
  /** Tasks on the runner by step, `<job>.<occurrence>.<step>`. */
  tasksByStep: ReadonlyMap<string, number>
  /** Serving and filling tasks on the runner; they disturb each other. */
  serving: number
  fillers: number
  /** The machine has come from another pool and is to go back. */
  isLent: boolean
}

/** What the choice is made from. */
export interface ChoiceState {
  steps: readonly StepState[]
  queues: ReadonlyMap<string, Queue>
  runners: readonly OpenRunner[]
  times: RunTimes
  /** What each organisation may still start; organisations without a limit are absent. */
  allowance: ReadonlyMap<string, Amounts>
  wallNow: number
  /** Tickets of advised queues: by step, the runners that may run it. */
  advised?: (step: StepState) => ReadonlySet<string> | undefined
  limit: number
}

/** A task and the runner on which it is to start. */
export interface Start {
  task: Task
  runnerId: string
}

/** Name of a step within all jobs. */
export function stepName(state: StepState): string {
  return `${state.job.job.id}.${state.occurrence}.${state.number}`
}

/**
 * Chooses which tasks start now and where: the most urgent step first, each task on the runner that
 * is left with least room, so that large tasks find room and idle machines can be switched off.
 * Room and allowances are never exceeded, because runners start whatever they are told to.
 *
 * @example
 * for (const { task, runnerId } of chooseStarts(state)) record(task, runnerId)
 */
export function chooseStarts(state: ChoiceState): Start[] {
  const ranked = state.steps.flatMap(step => {
    const queue = state.queues.get(step.job.job.queue)
    if (queue === undefined) return []
    return [{ step, queue, urgency: urgencyOf(step, queue, state.times, state.wallNow) }]
  })
  ranked.sort((a, b) => compareUrgency(a.urgency, b.urgency))
  const choice = new Choice(state)
  for (const { step, queue } of ranked) {
    if (choice.starts.length >= state.limit) break
    choice.startStep(step, queue)
  }
  return choice.starts
}

class Choice {
  readonly starts: Start[] = []
  readonly #state: ChoiceState
  readonly #runnersByPool = new Map<string, OpenRunner[]>()
  /** Tasks of a step that this choice has put on a runner. */
  readonly #added = new Map<string, number>()

  constructor(state: ChoiceState) {
    this.#state = state
    for (const runner of state.runners) {
      const known = this.#runnersByPool.get(runner.pool)
      if (known === undefined) this.#runnersByPool.set(runner.pool, [runner])
      else known.push(runner)
    }
  }

  startStep(state: StepState, queue: Queue): void {
    const pending = state.tasks.filter(task => !task.isDone && task.run === undefined)
    if (state.step.isGang === true) {
      // A gang starts whole, and only when no member of its last run can still be there.
      if (pending.length === state.tasks.length) this.#startGang(state, queue, pending)
      return
    }
    for (const task of pending) {
      if (this.starts.length >= this.#state.limit) return
      const runner = this.#bestRunner(state, queue, task)
      if (runner === undefined) return
      this.#take(task, runner)
    }
  }

  #startGang(state: StepState, queue: Queue, tasks: readonly Task[]): void {
    const racks = state.step.sameRack === true ? this.#racks(queue.pool) : []
    for (const rack of [...racks, undefined]) {
      if (this.#tryGang(state, queue, tasks, rack)) return
    }
  }

  #tryGang(state: StepState, queue: Queue, tasks: readonly Task[], rack?: string): boolean {
    const before = this.starts.length
    for (const task of tasks) {
      const runner = this.#bestRunner(state, queue, task, rack)
      if (runner === undefined) {
        for (const start of this.starts.splice(before)) this.#giveBack(start)
        return false
      }
      this.#take(task, runner)
    }
    return true
  }

  #racks(pool: string): string[] {
    return [...new Set((this.#runnersByPool.get(pool) ?? []).map(({ rack }) => rack))]
  }

  #bestRunner(state: StepState, queue: Queue, task: Task, rack?: string): OpenRunner | undefined {
    const amounts = reservedAmounts(state)
    if (!this.#isAllowed(state)) return undefined
    const advised = queue.advice === undefined ? undefined : this.#state.advised?.(state)
    if (queue.advice !== undefined && advised === undefined) return undefined
    let best: { runner: OpenRunner; rank: number } | undefined
    for (const runner of this.#runnersByPool.get(queue.pool) ?? []) {
      if (rack !== undefined && runner.rack !== rack) continue
      if (advised?.has(runner.id) === false || !this.#mayRun(state, runner, amounts)) continue
      const rank = this.#rankOf(state, task, runner)
      if (best === undefined || rank < best.rank) best = { runner, rank }
    }
    return best?.runner
  }

  #mayRun(state: StepState, runner: OpenRunner, amounts: Amounts): boolean {
    const { needs, maxPerRunner } = state.step
    if (needs !== undefined && !runner.labels.includes(needs)) return false
    if (timesFitting(runner.free, amounts) < 1) return false
    return maxPerRunner === undefined || this.#tasksOn(state, runner) < maxPerRunner
  }

  #tasksOn(state: StepState, runner: OpenRunner): number {
    const name = stepName(state)
    return (runner.tasksByStep.get(name) ?? 0) + (this.#added.get(`${runner.id} ${name}`) ?? 0)
  }

  /** Lower is better; each term outweighs those after it. */
  #rankOf(state: StepState, task: Task, runner: OpenRunner): number {
    const { affinityRack, isFiller, targetMs, isLasting } = state.step
    const isElsewhere = affinityRack !== undefined && runner.rack !== affinityRack ? 1 : 0
    const isAvoided = task.failedOn === runner.id ? 1 : 0
    let disturbance = 0
    if (isFiller === true) disturbance = runner.serving
    else if (targetMs !== undefined) disturbance = runner.fillers
    // One upkeep or loss would take away more tasks of a step than may be away.
    const together = isLasting === true ? this.#tasksOn(state, runner) : 0
    // A lasting task would keep a lent machine from going back.
    const isPinned = isLasting === true && runner.isLent ? 1 : 0
    const left = leftFraction(runner)
    // Lasting tasks spread, so that one machine's loss or upkeep ends few of them.
    const fit = isLasting === true ? 1 - left : left
    return (
      together * 100_000 +
      isPinned * 10_000 +
      isAvoided * 1_000 +
      isElsewhere * 100 +
      disturbance * 10 +
      fit
    )
  }

  #isAllowed(state: StepState): boolean {
    const { organisation } = state.job.job
    if (organisation === undefined) return true
    const left = this.#state.allowance.get(organisation)
    return left === undefined || timesFitting(left, state.step.amounts) >= 1
  }

  #take(task: Task, runner: OpenRunner): void {
    this.#change(task, runner, 1)
    this.starts.push({ task, runnerId: runner.id })
  }

  #giveBack({ task, runnerId }: Start): void {
    const runner = this.#state.runners.find(({ id }) => id === runnerId)
    if (runner !== undefined) this.#change(task, runner, -1)
  }

  #change(task: Task, runner: OpenRunner, times: 1 | -1): void {
    const { step: state } = task
    addAmounts(runner.free, reservedAmounts(state), -times)
    if (state.step.isFiller === true) runner.fillers += times
    else if (state.step.targetMs !== undefined) runner.serving += times
    const name = `${runner.id} ${stepName(state)}`
    this.#added.set(name, (this.#added.get(name) ?? 0) + times)
    const { organisation } = state.job.job
    const left = organisation === undefined ? undefined : this.#state.allowance.get(organisation)
    if (left !== undefined) addAmounts(left, state.step.amounts, -times)
  }
}

/** What a task reserves on a runner: a filler only uses processor time that others leave. */
export function reservedAmounts({ step }: StepState): Amounts {
  return step.isFiller === true ? { ...step.amounts, cpuMillis: 0 } : step.amounts
}

function leftFraction({ free, capacity }: OpenRunner): number {
  const cpu = capacity.cpuMillis > 0 ? free.cpuMillis / capacity.cpuMillis : 1
  const memory = capacity.memoryMb > 0 ? free.memoryMb / capacity.memoryMb : 1
  return (cpu + memory) / 2
}
