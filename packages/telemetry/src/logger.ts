// Must be loaded before roarr.
import './log-environment.js'
import { hideSecrets } from '@bulrushbridge/errors'
import { Roarr, type Logger as RoarrLogger } from 'roarr'

/** Fields of a log line; must never hold a key or credential. */
export type LogFields = Record<string, string | number | boolean | null | undefined>

/** Writes JSON lines. */
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

const levels = { debug: 20, info: 30, warn: 40, error: 50, silent: 100 } as const

/** Names of the log levels; `silent` writes nothing. */
export type LogLevel = keyof typeof levels

/**
 * Creates a logger that writes JSON lines to standard error, so that standard output stays free
 * for the output of commands.
 *
 * @example
 * const log = createLogger({ program: 'bulrush-entry', member: 'e1' })
 * log.warn('runner ejected', { runner: 'finder-3' })
 */
export function createLogger(opts: LoggerOptions): Logger {
  const minimum = levels[opts.level ?? 'info']
  const roarr = Roarr.child({
    program: opts.program,
    ...(opts.member === undefined ? {} : { member: opts.member }),
  })
  const at = (level: 'debug' | 'info' | 'warn' | 'error') => logAt(roarr, level, minimum)
  return { debug: at('debug'), info: at('info'), warn: at('warn'), error: at('error') }
}

function logAt(roarr: RoarrLogger, level: 'debug' | 'info' | 'warn' | 'error', minimum: number) {
  if (levels[level] < minimum) return () => undefined
  return (message: string, fields: LogFields = {}) => {
    const safe: LogFields = {}
    for (const [name, value] of Object.entries(fields)) {
      safe[name] = typeof value === 'string' ? hideSecrets(value) : value
    }
    roarr[level](safe, hideSecrets(message))
  }
}
