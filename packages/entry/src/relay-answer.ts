import type { ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { RequestError } from '@bulrushbridge/errors'
import { maxStoredBodyBytes, type Answer } from '@bulrushbridge/idempotency'
import type { UpstreamResponse } from '@bulrushbridge/upstream-link'
import { isPassedToCaller } from './call-request.js'

/**
 * Time within which a caller must read some of its answer, in milliseconds. A caller that has
 * stopped reading would otherwise hold a runner's slot and a permit forever. An upstream without
 * progress is given up after 5 s, so after this time it is the caller that has stopped.
 */
const callerProgressTimeoutMs = 10_000

/**
 * Forwards an upstream's answer to the caller. When the answer is cut off, the caller's connection
 * is destroyed, so that the caller does not take the part that it got for the whole answer.
 */
export async function relayAnswer(
  res: ServerResponse,
  answer: UpstreamResponse,
  requestId: string,
): Promise<void> {
  if (res.destroyed) {
    answer.body.destroy()
    throw new RequestError('caller-left', { outcome: 'unknown' })
  }
  writeHead(res, answer, requestId)
  await pipeToCaller(answer.body, res)
}

/** Pipes a body to the caller, with a time limit on each wait for the caller to read. */
function pipeToCaller(body: Readable, res: ServerResponse): Promise<void> {
  return new Promise<void>((resolve, reject) => {
    let timer: NodeJS.Timeout | undefined
    const clearTimer = () => {
      clearTimeout(timer)
    }
    const fail = (cause?: unknown) => {
      clearTimer()
      res.destroy()
      body.destroy()
      reject(
        cause instanceof RequestError
          ? cause
          : new RequestError('caller-left', { outcome: 'unknown', cause }),
      )
    }
    // The timer runs only while the caller lags behind, so small answers need no timer.
    const startTimer = () => {
      clearTimeout(timer)
      timer = setTimeout(fail, callerProgressTimeoutMs)
    }
    body.on('data', (chunk: Buffer) => {
      if (res.write(chunk)) return
      body.pause()
      startTimer()
    })
    res.on('drain', () => {
      clearTimer()
      body.resume()
    })
    body.once('end', () => {
      res.end()
      if (res.writableLength > 0) startTimer()
    })
    body.once('error', fail)
    res.once('error', fail)
    res.once('finish', () => {
      clearTimer()
      resolve()
    })
    res.once('close', () => {
      if (!res.writableFinished) fail()
    })
  })
}

/** Sends the stored answer of an earlier attempt. */
export function replayAnswer(res: ServerResponse, answer: Answer, requestId: string): void {
  writeHead(res, answer, requestId)
  res.end(answer.body)
}

function writeHead(
  res: ServerResponse,
  answer: Pick<UpstreamResponse, 'status' | 'headers'>,
  requestId: string,
): void {
  res.statusCode = answer.status
  for (const [name, value] of Object.entries(answer.headers)) {
    if (isPassedToCaller(name)) res.setHeader(name, value)
  }
  res.setHeader('bulrush-request-id', requestId)
  res.setHeader('bulrush-outcome', 'finished')
}

/**
 * Calls `onComplete` once the answer has arrived in full. A body that is too large to store is
 * passed only in part, and this part is larger than the limit.
 */
export function captureAnswer(
  answer: UpstreamResponse,
  onComplete: (answer: Answer) => void,
): void {
  const chunks: Buffer[] = []
  let bytes = 0
  answer.body.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    // The first chunk over the limit is kept, so that the record tells that the answer is too
    // large.
    if (bytes - chunk.length <= maxStoredBodyBytes) chunks.push(chunk)
  })
  answer.body.once('end', () => {
    const headers = Object.fromEntries(
      Object.entries(answer.headers).filter(([name]) => isPassedToCaller(name)),
    )
    onComplete({ status: answer.status, headers, body: Buffer.concat(chunks) })
  })
}
