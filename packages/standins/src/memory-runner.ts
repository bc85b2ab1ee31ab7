import type {
  CallResult,
  PollAnswer,
  PollRequest,
  ReportedEnd,
  RunnerOrderAnswer,
  RunEnd,
  RunId,
  RunnerApi,
  StartOrder,
} from '@bulrushbridge/scheduler'

/**
 * Fault of a runner in memory.
 *
 * - `unreachable`: calls do not reach the runner.
 * - `lose-after`: orders are carried out and their responses are lost.
 * - `late`: orders are kept until {@link MemoryRunner.applyDelayed} and get no response.
 * - `late-polls`: the same for polls; orders are carried out.
 * - `unhealthy`: orders are refused and not carried out; polls are answered.
 */
export type RunnerFault =
  'none' | 'unreachable' | 'lose-after' | 'late' | 'late-polls' | 'unhealthy'

/** A runner in memory with fault injection. */
export interface MemoryRunner {
  fault: RunnerFault
  /** Reported start time of the runner's process; differs after each restart. */
  processStartedAt: number
  /** Runs that were started, in order. */
  readonly startedRuns: readonly RunId[]
  /** Checkpoints with which runs were started, in the order of `startedRuns`. */
  readonly startedCheckpoints: readonly string[]
  /** Checkpoints that the runner lists for running tasks, by task; a test sets them. */
  readonly checkpoints: Map<string, string>
  /** Number of the current run of each running task. */
  readonly running: ReadonlyMap<string, number>
  /** Highest number up to which ends of runs were acknowledged. */
  readonly acknowledged: number
  /** Ends the current run of a task, if it has one. */
  end(task: string, how: RunEnd, checkpoint?: string): void
  /** Number of orders that the fault `unhealthy` has refused. */
  readonly refusedOrders: number
  /** Number of calls that were delayed and are not carried out yet. */
  readonly delayedCalls: number
  /** Carries out the calls that the faults `late` and `late-polls` have delayed. */
  applyDelayed(): void
  /** Simulates a crash and a restart under the same id; all state is lost. */
  restart(): void
  api(): RunnerApi
}

/**
 * Creates a runner in memory. Leases are not simulated; a test calls `end` with `lapsed` instead.
 *
 * @example
 * const runner = createMemoryRunner()
 * runner.end('5c0e7a21d94b36f8.0.0.0', 'done')
 */
export function createMemoryRunner(): MemoryRunner {
  return new InMemoryRunner()
}

class InMemoryRunner implements MemoryRunner {
  fault: RunnerFault = 'none'
  processStartedAt = 1
  acknowledged = 0
  refusedOrders = 0
  readonly startedRuns: RunId[] = []
  readonly startedCheckpoints: string[] = []
  readonly checkpoints = new Map<string, string>()
  readonly running = new Map<string, number>()
  /** Ends that are not acknowledged yet. */
  #pendingEnds: ReportedEnd[] = []
  #lastEndNumber = 0
  #highestFence = 0
  /** Highest run of each task that was stopped or has ended; it and earlier runs never start. */
  readonly #highestEndedRuns = new Map<string, number>()
  readonly #delayed: (() => unknown)[] = []
  readonly #waiters = new Set<() => void>()

  api(): RunnerApi {
    return {
      start: order => this.#applyOrder(() => this.#start(order)),
      stop: order => this.#applyOrder(() => this.#stop(order)),
      pace: ({ fence }) =>
        this.#applyOrder(() => (this.#isStaleFence(fence) ? 'fence' : undefined)),
      poll: order => this.#hold(order),
      close: () => Promise.resolve(),
    }
  }

  end(task: string, how: RunEnd, checkpoint = ''): void {
    const run = this.running.get(task)
    if (run === undefined) return
    this.running.delete(task)
    this.#highestEndedRuns.set(task, run)
    this.#lastEndNumber += 1
    this.#pendingEnds.push({ number: this.#lastEndNumber, task, run, how, checkpoint })
    for (const finishWait of this.#waiters) finishWait()
  }

  get delayedCalls(): number {
    return this.#delayed.length
  }

  applyDelayed(): void {
    for (const apply of this.#delayed.splice(0)) apply()
  }

  restart(): void {
    this.processStartedAt += 1
    this.running.clear()
    this.#highestEndedRuns.clear()
    this.#pendingEnds = []
    this.#lastEndNumber = 0
    this.#highestFence = 0
    this.acknowledged = 0
    for (const finishWait of this.#waiters) finishWait()
  }

  #applyOrder(apply: () => RunnerOrderAnswer['refusal']): Promise<CallResult<RunnerOrderAnswer>> {
    const clockMs = Math.round(performance.now())
    if (this.fault === 'unreachable') {
      return Promise.resolve({ outcome: 'unknown', reason: 'no answer in time' })
    }
    if (this.fault === 'late') {
      this.#delayed.push(apply)
      return Promise.resolve({ outcome: 'unknown', reason: 'no answer in time' })
    }
    if (this.fault === 'unhealthy') {
      this.refusedOrders += 1
      return Promise.resolve({ outcome: 'done', value: { refusal: 'unhealthy', clockMs } })
    }
    const refusal = apply()
    if (this.fault === 'lose-after') {
      return Promise.resolve({ outcome: 'unknown', reason: 'no answer in time' })
    }
    return Promise.resolve({ outcome: 'done', value: { refusal, clockMs } })
  }

  #start({ task, run, fence, checkpoint }: StartOrder): RunnerOrderAnswer['refusal'] {
    if (this.#isStaleFence(fence)) return 'fence'
    if (this.running.get(task) === run) return undefined
    if (run <= (this.#highestEndedRuns.get(task) ?? 0)) return 'old'
    this.running.set(task, run)
    this.startedRuns.push({ task, run })
    this.startedCheckpoints.push(checkpoint)
    return undefined
  }

  #stop({ task, run, fence }: RunId & { fence: number }): RunnerOrderAnswer['refusal'] {
    if (this.#isStaleFence(fence)) return 'fence'
    if (this.running.get(task) === run) this.end(task, 'stopped')
    this.#highestEndedRuns.set(task, Math.max(run, this.#highestEndedRuns.get(task) ?? 0))
    return undefined
  }

  async #hold(order: PollRequest): Promise<CallResult<PollAnswer>> {
    if (this.fault === 'unreachable') return { outcome: 'unknown', reason: 'no answer in time' }
    if (this.fault === 'late-polls') {
      this.#delayed.push(() => this.#acknowledge(order))
      return { outcome: 'unknown', reason: 'no answer in time' }
    }
    const { processStartedAt } = this
    if (!this.#acknowledge(order)) return { outcome: 'done', value: { isFenced: true } }
    if (this.#pendingEnds.length === 0 && order.waitMs > 0) await this.#waitForEnd(order.waitMs)
    if (processStartedAt !== this.processStartedAt)
      return { outcome: 'unknown', reason: 'connection reset' }
    const running = [...this.running].map(([task, run]) => ({
      task,
      run,
      checkpoint: this.checkpoints.get(task) ?? '',
      percent: 100,
      usage: undefined,
    }))
    const clockMs = Math.round(performance.now())
    const report = {
      clockMs,
      startedAt: this.processStartedAt,
      running,
      ended: [...this.#pendingEnds],
      hasMoreEnds: false,
    }
    return { outcome: 'done', value: { isFenced: false, report } }
  }

  /** Forgets the ends that a poll acknowledges; returns false, and does nothing, if it is fenced. */
  #acknowledge({ fence, acknowledged }: PollRequest): boolean {
    if (this.#isStaleFence(fence)) return false
    this.acknowledged = Math.max(this.acknowledged, acknowledged)
    this.#pendingEnds = this.#pendingEnds.filter(({ number }) => number > acknowledged)
    return true
  }

  /** Whether a higher fencing token was seen; otherwise records this one as the highest. */
  #isStaleFence(fence: number): boolean {
    if (fence < this.#highestFence) return true
    this.#highestFence = fence
    return false
  }

  #waitForEnd(ms: number): Promise<void> {
    return new Promise(resolve => {
      const finishWait = () => {
        clearTimeout(timer)
        this.#waiters.delete(finishWait)
        resolve()
      }
      const timer = setTimeout(finishWait, ms)
      this.#waiters.add(finishWait)
    })
  }
}
