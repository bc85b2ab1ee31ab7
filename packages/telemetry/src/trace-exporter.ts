import type { Attributes, HrTime } from '@opentelemetry/api'
import { ExportResultCode } from '@opentelemetry/core'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-node'
import { request } from 'undici'

/** Time limit for sending one batch to the collector, in milliseconds. */
const exportTimeoutMs = 3_000

/** Options of {@link createTraceExporter}. */
export interface TraceExporterOptions {
  /** URL that accepts OTLP JSON by POST, or `stderr` to write each batch there as one JSON line. */
  url: string
  /** Called for each dropped batch with its number of spans. */
  onDrop?: (spans: number, err: Error) => void
}

/**
 * Creates an exporter that sends spans as OTLP JSON. A batch that the collector does not accept in
 * time is dropped and not retried, so that a slow collector takes up neither memory nor time.
 *
 * @example
 * const exporter = createTraceExporter({ url: 'http://127.0.0.1:4318/v1/traces' })
 */
export function createTraceExporter(opts: TraceExporterOptions): SpanExporter {
  const send =
    opts.url === 'stderr' ? writeToStderr : (body: string) => postToCollector(opts.url, body)
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

function writeToStderr(body: string): Promise<void> {
  process.stderr.write(`${body}\n`)
  return Promise.resolve()
}

async function postToCollector(url: string, body: string): Promise<void> {
  const res = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body,
    signal: AbortSignal.timeout(exportTimeoutMs),
  })
  await res.body.dump()
  if (res.statusCode >= 300)
    throw new Error(`the trace collector responded with status ${res.statusCode}`)
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
    // OTLP numbers span kinds from 1, because 0 means unspecified.
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
