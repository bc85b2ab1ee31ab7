// Must be imported before roarr.
import './log-environment.js'
import { hideSecrets } from '@bulrushbridge/errors'
import { Roarr, type Logger as RoarrLogger } from 'roarr'

/** Fields of a log line; must never contain a key or a credential. */
export type LogFields = Record<string, string | number | boolean | null | undefined>

/** Writes log lines as JSON. */
export interface Logger {
  debug(message: string, fields?: LogFields): void
  info(message: string, fields?: LogFields): void
  warn(message: string, fields?: LogFields): void
  error(message: string, fields?: LogFields): void
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  program: string
  member?: string
  /** Lines below this level are dropped. */
  level?: LogLevel
}

/** Most characters of a field of a log line; some fields come from clients. */
const maxFieldLength = 2_000

const levelValues = { debug: 20, info: 30, warn: 40, error: 50, silent: 100 } as const

/** Names of the log levels; `silent` turns logging off. */
export type LogLevel = keyof typeof levelValues

/**
 * Creates a logger that writes JSON lines to standard error, because standard output is reserved
 * for the output of commands.
 *
 * @example
 * const log = createLogger({ program: 'bulrush-entry', member: 'e1' })
 * log.warn('runner ejected', { runner: 'finder-3' })
 */
export function createLogger(opts: LoggerOptions): Logger {
  const minimumLevel = levelValues[opts.level ?? 'info']
  const roarr = Roarr.child({
    program: opts.program,
    ...(opts.member === undefined ? {} : { member: opts.member }),
  })
  const createMethod = (level: 'debug' | 'info' | 'warn' | 'error') =>
    createLogMethod(roarr, level, minimumLevel)
  return {
    debug: createMethod('debug'),
    info: createMethod('info'),
    warn: createMethod('warn'),
    error: createMethod('error'),
  }
}

function createLogMethod(
  roarr: RoarrLogger,
  level: 'debug' | 'info' | 'warn' | 'error',
  minimumLevel: number,
) {
  if (levelValues[level] < minimumLevel) return () => undefined
  return (message: string, fields: LogFields = {}) => {
    const redactedFields: LogFields = {}
    for (const [name, value] of Object.entries(fields)) {
      redactedFields[name] =
        typeof value === 'string' ? hideSecrets(value).slice(0, maxFieldLength) : value
    }
    roarr[level](redactedFields, hideSecrets(message))
  }
}
