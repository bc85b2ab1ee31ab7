import type { Clock } from '@bulrushbridge/errors'
import { median } from './latency-window.js'
import type { RoutedRunner } from './routed-runner.js'

/** Failures in a row that eject a runner. */
const ejectFailures = 5
/** A runner is ejected when its median latency is over this many times that of the pool. */
const ejectLatency = 3
/** A trial must be answered within this many times the pool's median, which is stricter. */
const trialLatency = 2
/** Latencies closer than this are not compared, in milliseconds. */
const minLatencyGapMs = 10
/** Pause before the first trial request, in milliseconds; doubled after each failed trial. */
const trialPauseMs = 1_000
/** Longest pause between two trial requests, in milliseconds. */
const maxTrialPauseMs = 30_000
/** A runner that is ejected again this soon keeps its long pause, in milliseconds. */
const relapseMs = 10_000
/** Interval at which medians are compared, in milliseconds. */
const medianCheckMs = 1_000
/** Interval at which runners without progress are looked for, in milliseconds. */
const stallCheckMs = 50
/** Unanswered requests without any progress that show a stalled runner; one may be a long request. */
const minStalled = 2

/** How an attempt went, for ejection; `late` was not answered by its deadline. */
export type AttemptResult = 'ok' | 'failed' | 'late' | 'neutral'

/** Options of {@link Ejections}. */
export interface EjectionsOptions {
  clock: Clock
  /** The runners of the pool. */
  runners: () => Iterable<RoutedRunner>
  onDecision: (
    kind: 'ejected' | 'not-ejected' | 'reinstated',
    routed: RoutedRunner,
    observed: Record<string, number | string>,
  ) => void
}

/** Takes runners that fail, are slow or make no progress out of the choice, and tries them again. */
export class Ejections {
  readonly #opts: EjectionsOptions
  #medianCheckAt = 0
  #stallCheckAt = 0

  constructor(opts: EjectionsOptions) {
    this.#opts = opts
  }

  /** Takes over the result of an ordinary attempt. */
  record(routed: RoutedRunner, result: AttemptResult, latencyMs: number): void {
    if (result === 'neutral') return
    const now = this.#opts.clock.now()
    if (result === 'late') this.#addLate(routed, latencyMs)
    else routed.failures = result === 'ok' ? 0 : routed.failures + 1
    if (result === 'ok') routed.latencies.add(latencyMs)
    if (routed.failures >= ejectFailures) this.#eject(routed, { failures: routed.failures })
    this.checkProgress()
    if (now < this.#medianCheckAt) return
    this.#medianCheckAt = now + medianCheckMs
    this.#checkMedians()
  }

  /**
   * Ejects runners that answer nothing while the others do. Latencies alone show a slow runner only
   * when its first requests have ended, which may be at their deadlines.
   */
  checkProgress(): void {
    const now = this.#opts.clock.now()
    if (now < this.#stallCheckAt) return
    this.#stallCheckAt = now + stallCheckMs
    const pool = this.poolMedian()
    if (pool === undefined) return
    const limitMs = Math.max(pool * ejectLatency, pool + minLatencyGapMs)
    const serving = this.#serving()
    const stalled = serving.filter(
      ({ unanswered, progressAt }) => unanswered > 0 && now - progressAt > limitMs,
    )
    const answering = serving.filter(({ answeredAt }) => now - answeredAt <= limitMs)
    // When few answer, this process was paused, or all of the work is long.
    if (stalled.length >= answering.length) return
    for (const routed of stalled) {
      if (routed.unanswered < minStalled) continue
      const { unanswered, progressAt } = routed
      this.#eject(routed, { unanswered, stalledMs: now - progressAt, poolMedianMs: pool })
    }
  }

  /** Takes over the result of a trial; true when the runner is reinstated. */
  finishTrial(routed: RoutedRunner, result: AttemptResult, latencyMs: number): boolean {
    const now = this.#opts.clock.now()
    routed.hasTrial = false
    if (result !== 'ok' || latencyMs > (this.trialLimitMs() ?? Number.POSITIVE_INFINITY)) {
      // A trial that says nothing, because its caller left, is repeated after the same pause.
      if (result !== 'neutral') routed.failedTrials++
      routed.trialAt = now + pauseMs(routed.failedTrials)
      return false
    }
    routed.isEjected = false
    routed.failures = 0
    routed.latencies.clear()
    routed.reinstatedAt = now
    this.#opts.onDecision('reinstated', routed, { trials: routed.failedTrials + 1 })
    return true
  }

  /** Time in which a trial must be answered, in milliseconds; undefined without measured latencies. */
  trialLimitMs(): number | undefined {
    const pool = this.poolMedian()
    return pool === undefined ? undefined : Math.max(pool * trialLatency, pool + minLatencyGapMs)
  }

  /** Median of the medians of the runners in service. */
  poolMedian(): number | undefined {
    const medians = this.#serving().map(({ latencies }) => latencies.median())
    return median(medians.filter(ms => ms !== undefined))
  }

  #serving(): RoutedRunner[] {
    return [...this.#opts.runners()].filter(each => !each.isEjected)
  }

  /** The time that a late attempt took is only a lower bound, so it ranks above all others. */
  #addLate(routed: RoutedRunner, latencyMs: number): void {
    // An attempt that had less time than the pool takes says nothing about the runner.
    const limitMs = this.poolMedian()
    if (limitMs !== undefined && latencyMs > limitMs) routed.latencies.add(Number.POSITIVE_INFINITY)
  }

  #checkMedians(): void {
    const pool = this.poolMedian()
    if (pool === undefined) return
    for (const routed of this.#serving()) {
      const ms = routed.latencies.median()
      if (ms === undefined || !isSlow(ms, pool)) continue
      const medianMs = Number.isFinite(ms) ? ms : 'past the deadlines'
      this.#eject(routed, { medianMs, poolMedianMs: pool })
    }
  }

  #eject(routed: RoutedRunner, observed: Record<string, number | string>): void {
    if (routed.isEjected || routed.isRemoved) return
    const all = [...this.#opts.runners()]
    const ejected = all.filter(each => each.isEjected).length
    const cap = Math.floor(all.length / 3)
    const seen = { ...observed, ejected, cap }
    routed.failures = 0
    if (ejected >= cap) {
      this.#opts.onDecision('not-ejected', routed, seen)
      return
    }
    const now = this.#opts.clock.now()
    if (now - routed.reinstatedAt > relapseMs) routed.failedTrials = 0
    routed.isEjected = true
    routed.trialAt = now + pauseMs(routed.failedTrials)
    this.#opts.onDecision('ejected', routed, seen)
    for (const onEjected of [...routed.ejectionCallbacks]) onEjected()
  }
}

function pauseMs(failedTrials: number): number {
  return Math.min(maxTrialPauseMs, trialPauseMs * 2 ** failedTrials)
}

function isSlow(ms: number, poolMs: number): boolean {
  return ms > poolMs * ejectLatency && ms - poolMs >= minLatencyGapMs
}
