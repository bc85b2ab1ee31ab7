import type { Attributes, HrTime } from '@opentelemetry/api'
import { ExportResultCode } from '@opentelemetry/core'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-node'
import { request } from 'undici'

/** Longest time for one batch to reach the collector, in milliseconds. */
const exportMs = 3_000

/** Options of {@link createTraceExporter}. */
export interface TraceExporterOptions {
  /** URL that takes OTLP JSON by POST, or `stderr` for one JSON line for each batch. */
  url: string
  /** Told of each batch that was dropped. */
  onDrop?: (spans: number, err: Error) => void
}

/**
 * Creates an exporter of spans as OTLP JSON. A batch that the collector does not take in time is
 * dropped and not repeated, so that a slow collector costs neither memory nor time.
 *
 * @example
 * const exporter = createTraceExporter({ url: 'http://127.0.0.1:4318/v1/traces' })
 */
export function createTraceExporter(opts: TraceExporterOptions): SpanExporter {
  const send = opts.url === 'stderr' ? writeLine : (body: string) => post(opts.url, body)
  return {
    export: (spans, done) => {
      send(JSON.stringify(encodeSpans(spans))).then(
        () => {
          done({ code: ExportResultCode.SUCCESS })
        },
        (err: unknown) => {
          opts.onDrop?.(spans.length, err as Error)
          done({ code: ExportResultCode.FAILED })
        },
      )
    },
    shutdown: () => Promise.resolve(),
  }
}

function writeLine(body: string): Promise<void> {
  process.stderr.write(`${body}\n`)
  return Promise.resolve()
}

async function post(url: string, body: string): Promise<void> {
  const res = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body,
    signal: AbortSignal.timeout(exportMs),
  })
  await res.body.dump()
  if (res.statusCode >= 300) throw new Error(`the collector answered with ${res.statusCode}`)
}

function encodeSpans(spans: ReadableSpan[]) {
  const resource = { attributes: encodeAttributes(spans[0]?.resource.attributes ?? {}) }
  const scope = { name: 'bulrushbridge' }
  return { resourceSpans: [{ resource, scopeSpans: [{ scope, spans: spans.map(encodeSpan) }] }] }
}

function encodeSpan(span: ReadableSpan) {
  const { traceId, spanId } = span.spanContext()
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId ?? '',
    name: span.name,
    // OTLP counts kinds from 1, because 0 means unspecified.
    kind: span.kind + 1,
    startTimeUnixNano: encodeTime(span.startTime),
    endTimeUnixNano: encodeTime(span.endTime),
    attributes: encodeAttributes(span.attributes),
    status: { code: span.status.code, message: span.status.message ?? '' },
  }
}

function encodeTime([seconds, nanoseconds]: HrTime): string {
  return `${seconds}${String(nanoseconds).padStart(9, '0')}`
}

function encodeAttributes(attributes: Attributes) {
  return Object.entries(attributes).map(([key, value]) => ({
    key,
    value:
      typeof value === 'boolean'
        ? { boolValue: value }
        : typeof value === 'number'
          ? { doubleValue: value }
          : { stringValue: String(value) },
  }))
}
