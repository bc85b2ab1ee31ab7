// Must be loaded before roarr.
import './log-environment.js'
import { write } from 'node:fs'
import { ROARR } from 'roarr'

/** Lines that wait at most while the reader of the output is slow. */
const maxWaiting = 2_000

/** Lines a second beyond which the rest of the second is suppressed. */
const maxLinesPerSecond = 1_000

/** Pause before the rest of a partial write, in milliseconds. */
const retryPauseMs = 5

/** Options of {@link boundLogOutput}. */
export interface BoundedOutputOptions {
  /** File descriptor, 1 for standard output. */
  descriptor: number
  /** Called with the number of lines that were suppressed since the last call, at most once a second. */
  onSuppressed: (lines: number) => void
}

/** The output of all log lines of the process. */
export interface BoundedOutput {
  suppressed(): number
  /** Writes what waits. */
  close(): Promise<void>
}

/**
 * Sends all log lines to a descriptor without ever waiting for its reader. Lines beyond the rate or
 * the buffer are dropped and counted.
 *
 * @example
 * const output = boundLogOutput({ descriptor: 1, onSuppressed: lines => log.warn('lines suppressed', { lines }) })
 */
export function boundLogOutput(opts: BoundedOutputOptions): BoundedOutput {
  let waiting: string[] = []
  let isWriting = false
  let suppressed = 0
  let reported = 0
  let second = 0
  let linesInSecond = 0
  let idle: (() => void)[] = []
  const flush = () => {
    if (isWriting || waiting.length === 0) {
      if (!isWriting) {
        for (const done of idle) done()
        idle = []
      }
      return
    }
    isWriting = true
    const bytes = Buffer.from(waiting.join(''))
    waiting = []
    writeFrom(bytes, 0)
  }
  const writeFrom = (bytes: Buffer, from: number) => {
    write(opts.descriptor, bytes, from, bytes.length - from, null, (err, written) => {
      // A pipe may take a part of the bytes, or none while its reader is slow.
      const isPartial = err === null && from + written < bytes.length
      if (isPartial || err?.code === 'EAGAIN') {
        setTimeout(() => {
          writeFrom(bytes, from + (isPartial ? written : 0))
        }, retryPauseMs)
        return
      }
      isWriting = false
      // A closed reader cannot be told; its lines count as suppressed.
      if (err !== null) suppressed += 1
      flush()
    })
  }
  const isOverRate = () => {
    const now = Math.floor(performance.now() / 1_000)
    if (now !== second) {
      second = now
      linesInSecond = 0
      if (suppressed > reported) {
        const lines = suppressed - reported
        reported = suppressed
        opts.onSuppressed(lines)
      }
    }
    linesInSecond += 1
    return linesInSecond > maxLinesPerSecond
  }
  ROARR.write = line => {
    if (isOverRate() || waiting.length >= maxWaiting) {
      suppressed += 1
      return
    }
    waiting.push(`${line}\n`)
    if (waiting.length === 1) setImmediate(flush)
  }
  return {
    suppressed: () => suppressed,
    close: () =>
      new Promise(resolve => {
        idle.push(resolve)
        flush()
      }),
  }
}
