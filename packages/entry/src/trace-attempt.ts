import { endFailedSpan, formatTraceparent, type Tracing } from '@bulrushbridge/telemetry'
import type { AttemptTrace } from '@bulrushbridge/upstream-routing'

/**
 * Starts the trace span of one attempt at a runner; returns undefined when the trace is not
 * sampled.
 *
 * @example
 * const trace = traceAttempt(tracing, 'r1', req.traceparent)
 * trace?.end()
 */
export function traceAttempt(
  tracing: Tracing,
  runner: string,
  traceparent: string | undefined,
): AttemptTrace | undefined {
  const span = tracing.startSpanIfSampled('client', 'upstream', traceparent)
  if (span === undefined) return undefined
  span.setAttribute('bulrush.runner', runner)
  return {
    traceparent: formatTraceparent(span),
    end: errorKind => {
      if (errorKind === undefined) span.end()
      else endFailedSpan(span, errorKind)
    },
  }
}
