import { RequestError } from '@bulrushbridge/errors'
import type { Readable } from 'node:stream'

/** Largest body that is buffered for a retry, in bytes. */
export const maxReplayBytes = 64 * 1024

/** Limits of {@link bufferBody}. */
export interface BodyLimits {
  /** Longest wait for the whole body, in milliseconds. */
  timeoutMs: number
  signal?: AbortSignal | undefined
}

/**
 * Reads a body of up to {@link maxReplayBytes} into a buffer; a larger one is returned as the same
 * stream, with the chunks that were read put back.
 *
 * @throws RequestError `caller-left` (not run) when the body is cut, `sender-too-slow`
 * when it does not arrive in time.
 * @example
 * const body = await bufferBody(req, { timeoutMs: 2_000 })
 */
export async function bufferBody(body: Readable, limits: BodyLimits): Promise<Buffer | Readable> {
  const chunks: Buffer[] = []
  let length = 0
  const deadline = performance.now() + limits.timeoutMs
  for (;;) {
    const chunk = body.read() as Buffer | null
    if (chunk !== null) {
      chunks.push(chunk)
      length += chunk.length
      if (length <= maxReplayBytes) continue
      body.unshift(Buffer.concat(chunks))
      return body
    }
    if (body.readableEnded) return Buffer.concat(chunks)
    if (body.destroyed || limits.signal?.aborted) throw new RequestError('caller-left')
    if (await hasTimedOut(body, deadline, limits.signal)) throw new RequestError('sender-too-slow')
  }
}

/** Waits until the body has more data or ends; true when the deadline passed instead. */
async function hasTimedOut(
  body: Readable,
  deadline: number,
  signal?: AbortSignal,
): Promise<boolean> {
  const events = ['readable', 'end', 'close', 'error']
  return new Promise(resolve => {
    const done = (isTimeout: unknown): void => {
      for (const event of events) body.off(event, done)
      signal?.removeEventListener('abort', done)
      clearTimeout(timer)
      resolve(isTimeout === true)
    }
    const timer = setTimeout(done, Math.max(0, deadline - performance.now()), true)
    for (const event of events) body.on(event, done)
    signal?.addEventListener('abort', done)
  })
}
