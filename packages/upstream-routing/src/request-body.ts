import { RequestError } from '@bulrushbridge/errors'
import type { Readable } from 'node:stream'

/** Largest body that is kept for a retry, in bytes. */
export const replayBytes = 64 * 1024

/** Limits of {@link bufferBody}. */
export interface BodyLimits {
  /** Longest wait for the whole body, in milliseconds. */
  limitMs: number
  signal?: AbortSignal | undefined
}

/**
 * Reads a body of up to {@link replayBytes} into a buffer; a larger one is returned as the same
 * stream with nothing lost.
 *
 * @throws RequestError `caller-left` (not run) when the body breaks off, `sender-too-slow`
 * when it does not arrive in time.
 * @example
 * const body = await bufferBody(req, { limitMs: 2_000 })
 */
export async function bufferBody(body: Readable, limits: BodyLimits): Promise<Buffer | Readable> {
  const chunks: Buffer[] = []
  let length = 0
  const lateAt = performance.now() + limits.limitMs
  for (;;) {
    const chunk = body.read() as Buffer | null
    if (chunk !== null) {
      chunks.push(chunk)
      length += chunk.length
      if (length <= replayBytes) continue
      body.unshift(Buffer.concat(chunks))
      return body
    }
    if (body.readableEnded) return Buffer.concat(chunks)
    if (body.destroyed || limits.signal?.aborted) throw new RequestError('caller-left')
    if (await isLate(body, lateAt, limits.signal)) throw new RequestError('sender-too-slow')
  }
}

/** Waits for a change of the body; true when the time is over. */
async function isLate(body: Readable, lateAt: number, signal?: AbortSignal): Promise<boolean> {
  const events = ['readable', 'end', 'close', 'error']
  return new Promise(resolve => {
    const done = (late: unknown): void => {
      for (const event of events) body.off(event, done)
      signal?.removeEventListener('abort', done)
      clearTimeout(timer)
      resolve(late === true)
    }
    const timer = setTimeout(done, Math.max(0, lateAt - performance.now()), true)
    for (const event of events) body.on(event, done)
    signal?.addEventListener('abort', done)
  })
}
