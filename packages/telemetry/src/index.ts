export {
  createLogger,
  type LogFields,
  type Logger,
  type LoggerOptions,
  type LogLevel,
} from './logger.js'
export { createMetrics, type Labels, type Metrics } from './metrics.js'
export {
  createTracing,
  endFailedSpan,
  formatTraceparent,
  type Tracing,
  type TracingOptions,
} from './tracing.js'
export { createTraceExporter, type TraceExporterOptions } from './trace-exporter.js'
export {
  createBoundedOutput,
  type BoundedOutput,
  type BoundedOutputOptions,
} from './bounded-output.js'
