import type { LogFields, Logger } from '@bulrushbridge/telemetry'

/** Creates a logger that keeps its lines. */
export function createRecordingLog(): {
  log: Logger
  lines: { message: string; fields: LogFields }[]
} {
  const lines: { message: string; fields: LogFields }[] = []
  const record = (message: string, fields: LogFields = {}) => {
    lines.push({ message, fields })
  }
  return { log: { debug: record, info: record, warn: record, error: record }, lines }
}
