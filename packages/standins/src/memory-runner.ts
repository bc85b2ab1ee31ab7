import type {
  CallResult,
  HoldAnswer,
  HoldOrder,
  ListedEnd,
  OrderAnswer,
  RunEnd,
  RunId,
  RunnerApi,
  StartOrder,
} from '@bulrushbridge/scheduler'

/** What happens to the next orders. */
export type RunnerFault = 'none' | 'unreachable' | 'lose-after' | 'late'

/** A runner in memory, with a switch for each fault. */
export interface MemoryRunner {
  fault: RunnerFault
  /** Start of this life. */
  bornAt: number
  /** Starts that were carried out, in order. */
  readonly started: readonly RunId[]
  readonly running: ReadonlyMap<string, number>
  /** Ends up to this number were acknowledged. */
  readonly acknowledged: number
  /** Ends a run. */
  end(task: string, how: RunEnd, checkpoint?: string): void
  /** Carries out the orders that `late` has kept. */
  runLate(): void
  /** Crashes and starts again under the same id; it remembers nothing. */
  restart(): void
  api(): RunnerApi
}

/**
 * Creates a runner in memory. Leases are not simulated: a test ends runs as `lapsed` itself.
 *
 * @example
 * const runner = createMemoryRunner()
 * runner.end('5c0e7a21d94b36f8.0.0.0', 'done')
 */
export function createMemoryRunner(): MemoryRunner {
  return new Memory()
}

class Memory implements MemoryRunner {
  fault: RunnerFault = 'none'
  bornAt = 1
  acknowledged = 0
  readonly started: RunId[] = []
  readonly running = new Map<string, number>()
  #ends: ListedEnd[] = []
  #lastEnd = 0
  #fence = 0
  /** Highest run of each task that was stopped or has ended. */
  readonly #over = new Map<string, number>()
  readonly #late: (() => void)[] = []
  readonly #waiting = new Set<() => void>()

  api(): RunnerApi {
    return {
      start: order => this.#order(() => this.#start(order)),
      stop: order => this.#order(() => this.#stop(order)),
      pace: ({ fence }) => this.#order(() => (this.#isFenced(fence) ? 'fence' : undefined)),
      hold: order => this.#hold(order),
      close: () => Promise.resolve(),
    }
  }

  end(task: string, how: RunEnd, checkpoint = ''): void {
    const run = this.running.get(task)
    if (run === undefined) return
    this.running.delete(task)
    this.#over.set(task, run)
    this.#lastEnd += 1
    this.#ends.push({ number: this.#lastEnd, task, run, how, checkpoint })
    for (const wake of this.#waiting) wake()
  }

  runLate(): void {
    for (const run of this.#late.splice(0)) run()
  }

  restart(): void {
    this.bornAt += 1
    this.running.clear()
    this.#over.clear()
    this.#ends = []
    this.#lastEnd = 0
    this.#fence = 0
    this.acknowledged = 0
    for (const wake of this.#waiting) wake()
  }

  #order(apply: () => OrderAnswer['refusal']): Promise<CallResult<OrderAnswer>> {
    const clockMs = Math.round(performance.now())
    if (this.fault === 'unreachable') {
      return Promise.resolve({ outcome: 'unknown', reason: 'no answer in time' })
    }
    if (this.fault === 'late') {
      this.#late.push(apply)
      return Promise.resolve({ outcome: 'unknown', reason: 'no answer in time' })
    }
    const refusal = apply()
    if (this.fault === 'lose-after') {
      return Promise.resolve({ outcome: 'unknown', reason: 'no answer in time' })
    }
    return Promise.resolve({ outcome: 'done', value: { refusal, clockMs } })
  }

  #start({ task, run, fence }: StartOrder): OrderAnswer['refusal'] {
    if (this.#isFenced(fence)) return 'fence'
    if (this.running.get(task) === run) return undefined
    if (run <= (this.#over.get(task) ?? 0)) return 'old'
    this.running.set(task, run)
    this.started.push({ task, run })
    return undefined
  }

  #stop({ task, run, fence }: RunId & { fence: number }): OrderAnswer['refusal'] {
    if (this.#isFenced(fence)) return 'fence'
    if (this.running.get(task) === run) this.end(task, 'stopped')
    this.#over.set(task, Math.max(run, this.#over.get(task) ?? 0))
    return undefined
  }

  async #hold(order: HoldOrder): Promise<CallResult<HoldAnswer>> {
    if (this.fault === 'unreachable') return { outcome: 'unknown', reason: 'no answer in time' }
    const { bornAt } = this
    if (this.#isFenced(order.fence)) return { outcome: 'done', value: { isFenced: true } }
    this.acknowledged = Math.max(this.acknowledged, order.acknowledged)
    this.#ends = this.#ends.filter(({ number }) => number > order.acknowledged)
    if (this.#ends.length === 0 && order.waitMs > 0) await this.#waitForEnd(order.waitMs)
    if (bornAt !== this.bornAt) return { outcome: 'unknown', reason: 'connection reset' }
    const running = [...this.running].map(([task, run]) => ({
      task,
      run,
      checkpoint: '',
      percent: 100,
      usage: undefined,
    }))
    const clockMs = Math.round(performance.now())
    const report = { clockMs, bornAt: this.bornAt, running, ended: [...this.#ends] }
    return { outcome: 'done', value: { isFenced: false, report } }
  }

  #isFenced(fence: number): boolean {
    if (fence < this.#fence) return true
    this.#fence = fence
    return false
  }

  #waitForEnd(ms: number): Promise<void> {
    return new Promise(resolve => {
      const end = () => {
        clearTimeout(timer)
        this.#waiting.delete(end)
        resolve()
      }
      const timer = setTimeout(end, ms)
      this.#waiting.add(end)
    })
  }
}
