import {
  createLogger,
  createMetrics,
  createTraceExporter,
  createTracing,
  type Logger,
  type Metrics,
  type Tracing,
} from '@bulrushbridge/telemetry'
import type { EntrySettings } from './settings.js'

const program = 'bulrush-entry'

/** Logs, metrics and traces of an entry host. */
export interface EntryTelemetry {
  log: Logger
  metrics: Metrics
  tracing: Tracing
}

/**
 * Creates logs, metrics and traces according to the settings.
 *
 * @example
 * const { log, metrics, tracing } = createEntryTelemetry(cfg)
 */
export function createEntryTelemetry(cfg: EntrySettings): EntryTelemetry {
  const { member } = cfg
  const log = createLogger({ program, member, level: cfg['log-level'] })
  const url = cfg['trace-url']
  const onDrop = (spans: number, err: Error) => {
    log.warn('trace spans were dropped', { spans, error: err.message })
  }
  const exporter = url === '' ? undefined : createTraceExporter({ url, onDrop })
  const tracing = createTracing({ program, member, sampleRatio: cfg['trace-ratio'], exporter })
  return { log, metrics: createMetrics(), tracing }
}
