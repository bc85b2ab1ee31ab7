// Must be imported before roarr.
import './log-environment.js'
import { write } from 'node:fs'
import { ROARR } from 'roarr'

/** Maximum number of lines that are buffered while the reader of the output is slow. */
const maxPendingLines = 2_000

/** Maximum number of lines per second; further lines of that second are dropped. */
const maxLinesPerSecond = 1_000

/** Maximum number of lines with the same message per second, so that rare messages get through. */
const maxLinesPerMessage = 400

/** Delay before the rest of a partial write is written, in milliseconds. */
const retryPauseMs = 5

/** Options of {@link createBoundedOutput}. */
export interface BoundedOutputOptions {
  /** File descriptor to write to; 1 is standard output. */
  descriptor: number
  /** Called at most once a second with the number of lines dropped since the last call. */
  onSuppressed: (lines: number) => void
}

/** Output for all log lines of the process. */
export interface BoundedOutput {
  /** Number of lines dropped so far. */
  suppressedLines(): number
  /** Resolves when the buffered lines are written. */
  close(): Promise<void>
}

/**
 * Writes all log lines of the process to a file descriptor and never blocks on its reader. Lines
 * that exceed a rate limit or the buffer are dropped and counted.
 *
 * @example
 * const output = createBoundedOutput({ descriptor: 1, onSuppressed: lines => log.warn('lines suppressed', { lines }) })
 */
export function createBoundedOutput(opts: BoundedOutputOptions): BoundedOutput {
  let pendingLines: string[] = []
  let isWriting = false
  let suppressedCount = 0
  let reportedCount = 0
  let currentSecond = 0
  let linesThisSecond = 0
  const linesByMessage = new Map<string, number>()
  let flushWaiters: (() => void)[] = []
  const flush = () => {
    if (isWriting || pendingLines.length === 0) {
      if (!isWriting) {
        for (const done of flushWaiters) done()
        flushWaiters = []
      }
      return
    }
    isWriting = true
    const bytes = Buffer.from(pendingLines.join(''))
    pendingLines = []
    writeFrom(bytes, 0)
  }
  const writeFrom = (bytes: Buffer, from: number) => {
    write(opts.descriptor, bytes, from, bytes.length - from, null, (err, written) => {
      // A pipe may accept only some of the bytes, or none while its reader is slow.
      const isPartial = err === null && from + written < bytes.length
      if (isPartial || err?.code === 'EAGAIN') {
        setTimeout(() => {
          writeFrom(bytes, from + (isPartial ? written : 0))
        }, retryPauseMs)
        return
      }
      isWriting = false
      // A failed write, for instance to a closed pipe, is not retried but counted as suppressed.
      if (err !== null) suppressedCount += 1
      flush()
    })
  }
  const isOverRateLimit = (line: string) => {
    const now = Math.floor(performance.now() / 1_000)
    if (now !== currentSecond) {
      currentSecond = now
      linesThisSecond = 0
      linesByMessage.clear()
      if (suppressedCount > reportedCount) {
        const lines = suppressedCount - reportedCount
        reportedCount = suppressedCount
        opts.onSuppressed(lines)
      }
    }
    const message = messageOf(line)
    const sameLines = (linesByMessage.get(message) ?? 0) + 1
    if (sameLines > maxLinesPerMessage) return true
    linesByMessage.set(message, sameLines)
    linesThisSecond += 1
    return linesThisSecond > maxLinesPerSecond
  }
  ROARR.write = line => {
    if (isOverRateLimit(line) || pendingLines.length >= maxPendingLines) {
      suppressedCount += 1
      return
    }
    pendingLines.push(`${line}\n`)
    if (pendingLines.length === 1) setImmediate(flush)
  }
  return {
    suppressedLines: () => suppressedCount,
    close: () =>
      new Promise(resolve => {
        flushWaiters.push(resolve)
        flush()
      }),
  }
}

/** The message of a log line; lines that differ only in their fields have the same one. */
function messageOf(line: string): string {
  return /"message":"([^"]*)"/.exec(line)?.[1] ?? ''
}
