import type { IncomingMessage } from 'node:http'
import { PassThrough, pipeline, Readable, Transform } from 'node:stream'
import { RequestError, type Clock } from '@bulrushbridge/errors'
import type { BodyShare } from './body-usage.js'

/**
 * Number of bytes of a body that are buffered before the request is admitted. A small body that
 * arrives slowly therefore takes up no slot, and a retry can send it again.
 */
export const bufferedBodyBytes = 65_536

/** Time limit for the next chunk of a body to arrive, in milliseconds. */
const chunkTimeoutMs = 10_000

/** Errors of requests whose body cannot be buffered, by the bound. */
const fullKinds = {
  connection: 'client-limit-reached',
  address: 'client-limit-reached',
  process: 'host-limit-reached',
} as const

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  clock: Clock
  maxBytes: number
  /** Value of the `content-length` header; undefined when the length is not known in advance. */
  contentLength: number | undefined
  /** Counts the bytes that are buffered, unless they have been counted before. */
  share?: BodyShare
}

/**
 * Reads a request body: returns a Buffer when it has at most {@link bufferedBodyBytes} bytes,
 * otherwise a stream of the whole body, and undefined when there is no body.
 *
 * @throws RequestError `sender-too-slow`, `body-too-large`, `caller-left`; `client-limit-reached` and
 * `host-limit-reached` when too many bytes are buffered for all requests together
 */
export function readBody(
  req: IncomingMessage,
  opts: ReadBodyOptions,
): Promise<Buffer | Readable | undefined> | undefined {
  if (opts.contentLength === 0) {
    req.resume()
    return undefined
  }
  return readBuffered(req, opts)
}

function readBuffered(req: IncomingMessage, opts: ReadBodyOptions): Promise<Buffer | Readable> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let bytes = 0
    req.setTimeout(chunkTimeoutMs, () => {
      fail(new RequestError('sender-too-slow'))
    })
    const stopReading = () => {
      req.off('data', onData)
      req.off('end', onEnd)
      req.off('close', onClose)
      req.pause()
    }
    const fail = (err: RequestError) => {
      stopReading()
      reject(err)
    }
    const onData = (chunk: Buffer) => {
      chunks.push(chunk)
      bytes += chunk.length
      const exceeded = opts.share?.tryAdd(chunk.length)
      if (exceeded !== undefined) fail(new RequestError(fullKinds[exceeded]))
      else if (bytes > opts.maxBytes) fail(new RequestError('body-too-large'))
      else if (bytes > bufferedBodyBytes) {
        stopReading()
        resolve(streamWholeBody(req, chunks, bytes, opts.maxBytes))
      }
    }
    const onEnd = () => {
      stopReading()
      req.setTimeout(0)
      resolve(chunks.length === 1 ? (chunks[0] ?? Buffer.alloc(0)) : Buffer.concat(chunks))
    }
    const onClose = () => {
      fail(new RequestError('caller-left'))
    }
    req.on('data', onData)
    req.on('end', onEnd)
    req.on('close', onClose)
  })
}

/**
 * Streams the buffered chunks and then the rest of the body. The stream fails when the body becomes
 * too large or its next chunk does not arrive in time.
 */
function streamWholeBody(
  req: IncomingMessage,
  chunks: Buffer[],
  bufferedBytes: number,
  maxBytes: number,
): Readable {
  let bytes = bufferedBytes
  const limited = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      bytes += chunk.length
      if (bytes > maxBytes) done(new RequestError('body-too-large', { outcome: 'unknown' }))
      else done(null, chunk)
    },
  })
  const body = new PassThrough()
  for (const chunk of chunks) body.write(chunk)
  req.setTimeout(chunkTimeoutMs, () => {
    body.destroy(new RequestError('sender-too-slow', { outcome: 'unknown' }))
  })
  pipeline(req, limited, body, err => {
    if (err) body.destroy(err)
  })
  return body
}
