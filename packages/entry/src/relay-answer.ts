import type { ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { RequestError } from '@bulrushbridge/errors'
import { maxStoredBodyBytes, type Answer } from '@bulrushbridge/idempotency'
import type { UpstreamAnswer } from '@bulrushbridge/upstream-link'
import { isPassedToCaller } from './call-request.js'

/**
 * Time in which a caller must take some of its answer, in milliseconds. A caller that has gone silent
 * would otherwise hold a runner's slot and a permit for good. An upstream that makes no progress is
 * given up after 5 s, so the silence is the caller's.
 */
const callerProgressMs = 10_000

/**
 * Passes an upstream's answer on. When it is cut, the caller's connection is destroyed, so that the
 * caller cannot take a part for the whole.
 */
export async function relayAnswer(
  res: ServerResponse,
  answer: UpstreamAnswer,
  requestId: string,
): Promise<void> {
  if (res.destroyed) {
    answer.body.destroy()
    throw new RequestError('caller-left', { outcome: 'unknown' })
  }
  writeHead(res, answer, requestId)
  await pass(answer.body, res)
}

/** Pipes with a limit on each wait for the caller. */
function pass(body: Readable, res: ServerResponse): Promise<void> {
  return new Promise<void>((resolve, reject) => {
    let timer: NodeJS.Timeout | undefined
    const settle = () => {
      clearTimeout(timer)
    }
    const fail = (cause?: unknown) => {
      settle()
      res.destroy()
      body.destroy()
      reject(
        cause instanceof RequestError
          ? cause
          : new RequestError('caller-left', { outcome: 'unknown', cause }),
      )
    }
    // A timer runs only while the caller lags behind, so that small answers need none.
    const awaitCaller = () => {
      clearTimeout(timer)
      timer = setTimeout(fail, callerProgressMs)
    }
    body.on('data', (chunk: Buffer) => {
      if (res.write(chunk)) return
      body.pause()
      awaitCaller()
    })
    res.on('drain', () => {
      settle()
      body.resume()
    })
    body.once('end', () => {
      res.end()
      if (res.writableLength > 0) awaitCaller()
    })
    body.once('error', fail)
    res.once('error', fail)
    res.once('finish', () => {
      settle()
      resolve()
    })
    res.once('close', () => {
      if (!res.writableFinished) fail()
    })
  })
}

/** Answers with a stored answer of an earlier attempt. */
export function replayAnswer(res: ServerResponse, answer: Answer, requestId: string): void {
  writeHead(res, answer, requestId)
  res.end(answer.body)
}

function writeHead(
  res: ServerResponse,
  answer: Pick<UpstreamAnswer, 'status' | 'headers'>,
  requestId: string,
): void {
  res.statusCode = answer.status
  for (const [name, value] of Object.entries(answer.headers)) {
    if (isPassedToCaller(name)) res.setHeader(name, value)
  }
  res.setHeader('bulrush-request-id', requestId)
  res.setHeader('bulrush-outcome', 'finished')
}

/** Calls `keep` with the whole answer once it is complete, or with its size when it is too large. */
export function captureBody(answer: UpstreamAnswer, keep: (answer: Answer) => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  answer.body.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    // One byte over the limit is enough for the record to say that the answer was too large.
    if (bytes - chunk.length <= maxStoredBodyBytes) chunks.push(chunk)
  })
  answer.body.once('end', () => {
    const headers = Object.fromEntries(
      Object.entries(answer.headers).filter(([name]) => isPassedToCaller(name)),
    )
    keep({ status: answer.status, headers, body: Buffer.concat(chunks) })
  })
}
