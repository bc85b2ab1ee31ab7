import type { Clock } from '@bulrushbridge/errors'
import { median } from './latency-window.js'
import type { RoutedRunner } from './routed-runner.js'

/** Consecutive failures after which a runner is ejected. */
const ejectAfterFailures = 5
/**
 * A runner is ejected when its median latency is more than this many times the median of the pool.
 */
const ejectLatencyFactor = 3
/** A trial fails when its latency is more than this many times the median of the pool. */
const trialLatencyFactor = 2
/** A latency that exceeds the median of the pool by less than this is not slow, in milliseconds. */
const minLatencyGapMs = 10
/**
 * Pause between an ejection and the first trial, in milliseconds; doubled after each failed trial.
 */
const firstTrialPauseMs = 1_000
/** Longest pause between two trials, in milliseconds. */
const maxTrialPauseMs = 30_000
/**
 * A runner ejected again this soon after its reinstatement keeps its longer pause, in milliseconds.
 */
const repeatedEjectionMs = 10_000
/** Interval at which the medians of the runners are compared, in milliseconds. */
const medianCheckIntervalMs = 1_000
/** Interval at which stalled runners are searched for, in milliseconds. */
const stallCheckIntervalMs = 50
/**
 * Unanswered requests from which a runner counts as stalled; a single one may be a long request.
 */
const minStalledRequests = 2

/**
 * Result of an attempt as the ejection counts it: `late` got no complete response by its deadline or
 * was aborted for a failover; `neutral` says nothing about the runner.
 */
export type AttemptResult = 'ok' | 'failed' | 'late' | 'neutral'

/** Options of {@link OutlierDetector}. */
export interface OutlierDetectorOptions {
  clock: Clock
  /** The runners of the pool. */
  runners: () => Iterable<RoutedRunner>
  onDecision: (
    kind: 'ejected' | 'not-ejected' | 'reinstated',
    routed: RoutedRunner,
    observed: Record<string, number | string>,
  ) => void
}

/**
 * Ejects runners that fail, are slow or make no progress, so that they get no ordinary requests,
 * and reinstates them after a successful trial request.
 */
export class OutlierDetector {
  readonly #opts: OutlierDetectorOptions
  #nextMedianCheckAt = 0
  #nextStallCheckAt = 0

  constructor(opts: OutlierDetectorOptions) {
    this.#opts = opts
  }

  /** Records the result of an attempt that is not a trial. */
  recordResult(routed: RoutedRunner, result: AttemptResult, latencyMs: number): void {
    if (result === 'neutral') return
    const now = this.#opts.clock.now()
    if (result === 'late') this.#recordLate(routed, latencyMs)
    else routed.consecutiveFailures = result === 'ok' ? 0 : routed.consecutiveFailures + 1
    if (result === 'ok') routed.latencies.add(latencyMs)
    if (routed.consecutiveFailures >= ejectAfterFailures)
      this.#eject(routed, { failures: routed.consecutiveFailures })
    this.ejectStalled()
    if (now < this.#nextMedianCheckAt) return
    this.#nextMedianCheckAt = now + medianCheckIntervalMs
    this.#ejectSlow()
  }

  /**
   * Ejects runners that send no response while the others do. Latencies alone show a slow runner
   * only after its first requests have ended, which may be as late as their deadlines.
   */
  ejectStalled(): void {
    const now = this.#opts.clock.now()
    if (now < this.#nextStallCheckAt) return
    this.#nextStallCheckAt = now + stallCheckIntervalMs
    const poolMedianMs = this.poolMedianMs()
    if (poolMedianMs === undefined) return
    const limitMs = Math.max(poolMedianMs * ejectLatencyFactor, poolMedianMs + minLatencyGapMs)
    const candidates = this.#notEjected()
    const stalled = candidates.filter(
      ({ unanswered, lastProgressAt }) => unanswered > 0 && now - lastProgressAt > limitMs,
    )
    const responsive = candidates.filter(({ lastResponseAt }) => now - lastResponseAt <= limitMs)
    // When no more runners respond than stall, this process was paused or all requests are long.
    if (stalled.length >= responsive.length) return
    for (const routed of stalled) {
      if (routed.unanswered < minStalledRequests) continue
      const { unanswered, lastProgressAt } = routed
      this.#eject(routed, { unanswered, stalledMs: now - lastProgressAt, poolMedianMs })
    }
  }

  /** Records the result of a trial; returns true when the runner is reinstated. */
  finishTrial(routed: RoutedRunner, result: AttemptResult, latencyMs: number): boolean {
    const now = this.#opts.clock.now()
    routed.hasTrialInFlight = false
    if (result !== 'ok' || latencyMs > (this.trialLimitMs() ?? Number.POSITIVE_INFINITY)) {
      // A neutral trial, for example one whose caller left, is repeated after the same pause.
      if (result !== 'neutral') routed.failedTrials++
      routed.nextTrialAt = now + trialPauseMs(routed.failedTrials)
      return false
    }
    routed.isEjected = false
    routed.consecutiveFailures = 0
    routed.latencies.clear()
    routed.reinstatedAt = now
    this.#opts.onDecision('reinstated', routed, { trials: routed.failedTrials + 1 })
    return true
  }

  /**
   * Time in which a trial must get its response, in milliseconds; undefined before latencies are
   * known.
   */
  trialLimitMs(): number | undefined {
    const poolMedianMs = this.poolMedianMs()
    return poolMedianMs === undefined
      ? undefined
      : Math.max(poolMedianMs * trialLatencyFactor, poolMedianMs + minLatencyGapMs)
  }

  /** Median of the median latencies of the runners that are not ejected, in milliseconds. */
  poolMedianMs(): number | undefined {
    const medians = this.#notEjected().map(({ latencies }) => latencies.median())
    return median(medians.filter(ms => ms !== undefined))
  }

  #notEjected(): RoutedRunner[] {
    return [...this.#opts.runners()].filter(routed => !routed.isEjected)
  }

  /**
   * Records an infinite latency for a late attempt, because the time that it took is only a lower
   * bound.
   */
  #recordLate(routed: RoutedRunner, latencyMs: number): void {
    // An attempt that had less time than the median of the pool says nothing about the runner.
    const limitMs = this.poolMedianMs()
    if (limitMs !== undefined && latencyMs > limitMs) routed.latencies.add(Number.POSITIVE_INFINITY)
  }

  #ejectSlow(): void {
    const poolMedianMs = this.poolMedianMs()
    if (poolMedianMs === undefined) return
    for (const routed of this.#notEjected()) {
      const latencyMs = routed.latencies.median()
      if (latencyMs === undefined || !isSlow(latencyMs, poolMedianMs)) continue
      const medianMs = Number.isFinite(latencyMs) ? latencyMs : 'past the deadlines'
      this.#eject(routed, { medianMs, poolMedianMs })
    }
  }

  #eject(routed: RoutedRunner, observed: Record<string, number | string>): void {
    if (routed.isEjected || routed.isRemoved) return
    const runners = [...this.#opts.runners()]
    const ejected = runners.filter(other => other.isEjected).length
    const cap = Math.floor(runners.length / 3)
    const details = { ...observed, ejected, cap }
    routed.consecutiveFailures = 0
    if (ejected >= cap) {
      this.#opts.onDecision('not-ejected', routed, details)
      return
    }
    const now = this.#opts.clock.now()
    if (now - routed.reinstatedAt > repeatedEjectionMs) routed.failedTrials = 0
    routed.isEjected = true
    routed.nextTrialAt = now + trialPauseMs(routed.failedTrials)
    this.#opts.onDecision('ejected', routed, details)
    for (const onEjected of [...routed.ejectionCallbacks]) onEjected()
  }
}

function trialPauseMs(failedTrials: number): number {
  return Math.min(maxTrialPauseMs, firstTrialPauseMs * 2 ** failedTrials)
}

function isSlow(latencyMs: number, poolMedianMs: number): boolean {
  return (
    latencyMs > poolMedianMs * ejectLatencyFactor && latencyMs - poolMedianMs >= minLatencyGapMs
  )
}
