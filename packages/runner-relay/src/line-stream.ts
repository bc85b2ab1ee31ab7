import type { Readable, Writable } from 'node:stream'

/** Longest line that a peer may send, in characters; a list of 500 ended runs takes 100,000. */
const maxLineLength = 4_000_000

/** Most bytes that may wait for a peer that does not read. */
const maxBufferedBytes = 16_000_000

/**
 * Calls `onLine` for each line of a stream of UTF-8 text, and `onError` when a line is too long.
 * `onPartial` gets the change of the length of the line that has not ended.
 *
 * @example
 * readLines(req, line => handle(JSON.parse(line)), () => req.destroy())
 */
export function readLines(
  input: Readable,
  onLine: (line: string) => void,
  onError: () => void,
  onPartial: (change: number) => void = () => undefined,
): void {
  let rest = ''
  input.on('close', () => {
    onPartial(-rest.length)
    rest = ''
  })
  input.setEncoding('utf8')
  input.on('data', (chunk: string) => {
    const earlierLength = rest.length
    const lines = chunk.split('\n')
    // Only the chunk is searched: the start of a long line would be copied for each of its chunks.
    lines[0] = rest + (lines[0] ?? '')
    rest = lines.pop() ?? ''
    onPartial(rest.length - earlierLength)
    for (const line of lines) if (line !== '') onLine(line)
    if (rest.length > maxLineLength) onError()
  })
}

/** Writes lines to a stream in batches. */
export interface LineWriter {
  write(line: string): void
}

/**
 * Creates a writer whose lines wait up to `delayMs` so that several share a packet; with 0, lines of
 * one pass of the event loop share one. Destroys the stream if its peer does not read. `onBuffered` gets
 * the number of bytes that wait for the peer, after each write.
 *
 * @example
 * const results = createLineWriter(res, 8)
 * results.write('{"id":1}')
 */
export function createLineWriter(
  output: Writable,
  delayMs: number,
  onBuffered: (bytes: number) => void = () => undefined,
): LineWriter {
  let waiting = ''
  const flush = () => {
    const text = waiting
    waiting = ''
    if (output.destroyed) return
    output.write(text)
    if (output.writableLength > maxBufferedBytes) output.destroy()
    onBuffered(output.writableLength)
  }
  return {
    write: line => {
      if (waiting === '') {
        if (delayMs === 0) setImmediate(flush)
        else setTimeout(flush, delayMs)
      }
      waiting += `${line}\n`
    },
  }
}
