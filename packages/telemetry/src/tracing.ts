import {
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  trace,
  type Context,
  type Span,
  type Tracer,
} from '@opentelemetry/api'
import { resourceFromAttributes } from '@opentelemetry/resources'
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-node'

const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/

const spanKinds = { internal: SpanKind.INTERNAL, client: SpanKind.CLIENT } as const

/** Limits of the queue of spans that wait for export; spans beyond it are dropped. Times in ms. */
const batchLimits = {
  maxQueueSize: 2_048,
  maxExportBatchSize: 256,
  scheduledDelayMillis: 1_000,
  exportTimeoutMillis: 5_000,
}

/** Options of {@link createTracing}. */
export interface TracingOptions {
  program: string
  member?: string
  /** Fraction of traces to sample when the caller has not decided, from 0 to 1. */
  sampleRatio?: number
  /** Receives ended sampled spans; without it the trace context is propagated but not exported. */
  exporter?: SpanExporter | undefined
}

/** Starts spans that take part in W3C trace context propagation. */
export interface Tracing {
  /** Starts the span of an incoming request; a malformed `traceparent` starts a new trace. */
  startServerSpan(name: string, traceparent: string | undefined): Span
  /** Starts the span of an outgoing call as a child of `parent`. */
  startClientSpan(name: string, parent: Span): Span
  /**
   * Starts a child span of the `traceparent`, or returns undefined when that trace is not sampled,
   * which avoids the cost of a span. `startedAgoMs` moves the start of the span into the past.
   */
  startSpanIfSampled(
    kind: 'internal' | 'client',
    name: string,
    traceparent: string | undefined,
    startedAgoMs?: number,
  ): Span | undefined
  close(): Promise<void>
}

/**
 * Creates the tracing of a process.
 *
 * @example
 * const span = tracing.startServerSpan('call', req.headers.traceparent)
 * span.end()
 */
export function createTracing(opts: TracingOptions): Tracing {
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({
      'service.name': opts.program,
      ...(opts.member === undefined ? {} : { 'service.instance.id': opts.member }),
    }),
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(opts.sampleRatio ?? 0) }),
    spanProcessors:
      opts.exporter === undefined ? [] : [new BatchSpanProcessor(opts.exporter, batchLimits)],
  })
  const tracer = provider.getTracer('bulrushbridge')
  return {
    startServerSpan: (name, traceparent) =>
      tracer.startSpan(name, { kind: SpanKind.SERVER }, parseTraceparent(traceparent)),
    startClientSpan: (name, parent) => startClientSpan(tracer, name, parent),
    startSpanIfSampled: (kind, name, traceparent, startedAgoMs = 0) =>
      isSampled(traceparent)
        ? tracer.startSpan(
            name,
            { kind: spanKinds[kind], startTime: Date.now() - startedAgoMs },
            parseTraceparent(traceparent),
          )
        : undefined,
    close: () => provider.shutdown(),
  }
}

function startClientSpan(tracer: Tracer, name: string, parent: Span): Span {
  return tracer.startSpan(name, { kind: SpanKind.CLIENT }, trace.setSpan(ROOT_CONTEXT, parent))
}

/** The lowest bit of the trace flags tells whether the trace is sampled. */
function isSampled(traceparent: string | undefined): traceparent is string {
  return traceparent !== undefined && (Number.parseInt(traceparent.slice(-1), 16) & 1) === 1
}

function parseTraceparent(header: string | undefined): Context {
  const match = header === undefined ? null : traceparentPattern.exec(header)
  if (match === null) return ROOT_CONTEXT
  const [, traceId = '', spanId = '', flags = '00'] = match
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId,
    spanId,
    traceFlags: Number.parseInt(flags, 16),
    isRemote: true,
  })
}

/** Formats the `traceparent` header that makes a remote span a child of this one. */
export function formatTraceparent(span: Span): string {
  const { traceId, spanId, traceFlags } = span.spanContext()
  return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`
}

/** Marks a span as failed with an error kind and ends it. */
export function endFailedSpan(span: Span, kind: string): void {
  span.setStatus({ code: SpanStatusCode.ERROR, message: kind })
  span.setAttribute('bulrush.error', kind)
  span.end()
}
