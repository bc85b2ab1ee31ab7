import type { IncomingMessage } from 'node:http'
import { PassThrough, pipeline, Readable, Transform } from 'node:stream'
import { RequestError, type Clock } from '@bulrushbridge/errors'

/**
 * Bytes of a body that are read before the request is admitted. A sender that is slow with a small
 * body holds no slot, and the body can be sent again by a retry.
 */
export const bufferedBodyBytes = 65_536

/** Time in which the next chunk of a body must arrive, in milliseconds. */
const bodyProgressMs = 10_000

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  clock: Clock
  maxBytes: number
  /** Undefined when the length is not known in advance. */
  contentLength: number | undefined
}

/**
 * Reads the start of a request body: a Buffer when all of it fits, else a stream of the whole body.
 *
 * @throws RequestError `sender-too-slow`, `body-too-large`, `caller-left`
 */
export function readBody(
  req: IncomingMessage,
  opts: ReadBodyOptions,
): Promise<Buffer | Readable | undefined> | undefined {
  if (opts.contentLength === 0) {
    req.resume()
    return undefined
  }
  return readStart(req, opts)
}

function readStart(req: IncomingMessage, opts: ReadBodyOptions): Promise<Buffer | Readable> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let bytes = 0
    req.setTimeout(bodyProgressMs, () => {
      fail(new RequestError('sender-too-slow'))
    })
    const stop = () => {
      req.off('data', onData)
      req.off('end', onEnd)
      req.off('close', onClose)
      req.pause()
    }
    const fail = (err: RequestError) => {
      stop()
      reject(err)
    }
    const onData = (chunk: Buffer) => {
      chunks.push(chunk)
      bytes += chunk.length
      if (bytes > opts.maxBytes) fail(new RequestError('body-too-large'))
      else if (bytes > bufferedBodyBytes) {
        stop()
        resolve(restOfBody(req, chunks, bytes, opts.maxBytes))
      }
    }
    const onEnd = () => {
      stop()
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

/** Streams the buffered start and the rest; a body that grows too large or stops ends in an error. */
function restOfBody(
  req: IncomingMessage,
  chunks: Buffer[],
  startBytes: number,
  maxBytes: number,
): Readable {
  let bytes = startBytes
  const counted = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      bytes += chunk.length
      if (bytes > maxBytes) done(new RequestError('body-too-large', { outcome: 'unknown' }))
      else done(null, chunk)
    },
  })
  const whole = new PassThrough()
  for (const chunk of chunks) whole.write(chunk)
  req.setTimeout(bodyProgressMs, () => {
    whole.destroy(new RequestError('sender-too-slow', { outcome: 'unknown' }))
  })
  pipeline(req, counted, whole, err => {
    if (err) whole.destroy(err)
  })
  return whole
}
