import { RequestError, toRequestError, type Clock, type ErrorKind } from '@bulrushbridge/errors'
import type { Dispatcher } from 'undici'
import { ResponseBody } from './response-body.js'
import type { Connection } from './connection.js'
import type { ResponseCallbacks, SendHooks, UpstreamRequest } from './upstream-request.js'

/**
 * Longest wait for the response headers after the last progress of the request, in milliseconds.
 */
export const headersTimeoutMs = 10_000
/** Longest wait between two chunks of the response body, in milliseconds. */
export const chunkTimeoutMs = 5_000

/** Callbacks of an exchange to the client that started it. */
export interface ExchangeCallbacks {
  /** Called when the exchange is over; its connection can be used again unless it is closed. */
  onDone: (exchange: Exchange) => void
  /**
   * Called when the exchange failed because the runner sent no headers in time. `isFullTimeout` is
   * true when all of {@link headersTimeoutMs} passed, false when the request reached its deadline
   * first.
   */
  onHeadersLate: (exchange: Exchange, isFullTimeout: boolean) => void
}

/** Turns the raw names and values into an object with lower-case names. */
function parseHeaders(raw: Buffer[]): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {}
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = String(raw[i]).toLowerCase()
    const value = (raw[i + 1] ?? Buffer.alloc(0)).toString('latin1')
    const previous = headers[name]
    headers[name] = previous === undefined ? value : [previous, value].flat()
  }
  return headers
}

/**
 * The error of a request that was rejected before it was written, or undefined for any other cause.
 * The connection of such a request stays usable.
 */
function errorBeforeWrite(cause: Error): RequestError | undefined {
  if (cause instanceof RequestError) {
    const { kind, message, retryAfterMs } = cause
    const opts = retryAfterMs === undefined ? {} : { retryAfterMs }
    return new RequestError(kind, { ...opts, message, cause })
  }
  const code = (cause as NodeJS.ErrnoException).code
  return code === 'UND_ERR_INVALID_ARG' ? new RequestError('bad-header', { cause }) : undefined
}

/** One request on one connection, from its first byte to the last byte of its response. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** True as soon as a byte of the request may have been written to the socket. */
  #mayHaveWritten = false
  #bytesWrittenBefore = 0
  #state: 'waiting' | 'headers' | 'body' | 'done' = 'waiting'
  #lastProgressAt: number
  #isPaused = false
  #isComplete = false
  #runnerRefusal: RequestError | undefined
  #abort: ((err?: Error) => void) | undefined
  #body: ResponseBody | undefined
  #hasFraming = false
  #resolveEnded: () => void = () => undefined
  #rejectEnded: (err: RequestError) => void = () => undefined
  #onCallerAbort: (() => void) | undefined

  constructor(
    readonly req: UpstreamRequest,
    readonly conn: Connection,
    private readonly hooks: SendHooks,
    private readonly clock: Clock,
    private readonly responseCallbacks: ResponseCallbacks,
    private readonly callbacks: ExchangeCallbacks,
  ) {
    this.#lastProgressAt = clock.now()
    if (!req.signal) return
    this.#onCallerAbort = () => {
      this.fail('caller-left')
    }
    req.signal.addEventListener('abort', this.#onCallerAbort, { once: true })
  }

  /** `not-run` when no byte of the request was written to the socket, otherwise `unknown`. */
  get outcome(): 'not-run' | 'unknown' {
    if (!this.#mayHaveWritten) return 'not-run'
    return this.conn.bytesWritten === this.#bytesWrittenBefore ? 'not-run' : 'unknown'
  }

  /** Ends the exchange with an error and closes its connection. */
  fail(kind: ErrorKind, cause?: unknown): void {
    if (this.#state === 'done') return
    const err = new RequestError(kind, { outcome: this.outcome, cause })
    this.#finish(err)
    // Reset first, because an abort closes the socket in a way that still sends queued bytes.
    this.conn.destroy()
    this.#abort?.(err)
  }

  /** Fails the exchange when its headers are late or when it has made no progress for too long. */
  checkProgress(now: number): void {
    if (this.#state === 'waiting' && now >= this.req.deadline) this.fail('deadline-passed')
    else if (this.#state === 'headers') this.#checkHeadersProgress(now)
    else if (
      this.#state === 'body' &&
      !this.#isPaused &&
      now - this.#lastProgressAt >= chunkTimeoutMs
    ) {
      this.fail(
        'answer-cut',
        new Error(`the runner sent no chunk of the response body for ${chunkTimeoutMs} ms`),
      )
    }
  }

  #checkHeadersProgress(now: number): void {
    const isFullTimeout = now - this.#lastProgressAt >= headersTimeoutMs
    if (!isFullTimeout && now < this.req.deadline) return
    this.fail(isFullTimeout ? 'upstream-timeout' : 'deadline-passed')
    this.callbacks.onHeadersLate(this, isFullTimeout)
  }

  onConnect(abort: (err?: Error) => void): void {
    if (this.#state === 'done') throw new RequestError('caller-left')
    try {
      this.hooks.beforeWrite?.()
    } catch (err) {
      throw toRequestError(err, 'not-run')
    }
    this.#abort = abort
    this.#bytesWrittenBefore = this.conn.bytesWritten
    this.#mayHaveWritten = true
    this.#state = 'headers'
    this.#lastProgressAt = this.clock.now()
  }

  onBodySent(): void {
    this.#lastProgressAt = this.clock.now()
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (this.#state !== 'headers' || status < 200) return true
    const headers = parseHeaders(raw)
    if (headers['bulrush-request-id'] !== this.req.id) {
      this.fail('answer-mismatched')
      return false
    }
    if (status === 503 && headers['bulrush-outcome'] === 'not-run') {
      this.#runnerRefusal = new RequestError('no-upstream', {
        message: 'The runner refused the request.',
      })
      return true
    }
    this.#startBody(status, headers, resume)
    return true
  }

  #startBody(status: number, headers: Record<string, string | string[]>, resume: () => void): void {
    this.#state = 'body'
    this.#lastProgressAt = this.clock.now()
    // Without a length or chunks, a body that was cut by the end of the connection would look
    // complete.
    this.#hasFraming =
      this.req.method === 'HEAD' ||
      status === 204 ||
      status === 304 ||
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined
    this.#body = new ResponseBody(
      () => {
        if (!this.#isPaused) return
        this.#isPaused = false
        this.#lastProgressAt = this.clock.now()
        resume()
      },
      () => {
        if (!this.#isComplete) this.fail('caller-left')
      },
    )
    const ended = new Promise<void>((resolve, reject) => {
      this.#resolveEnded = resolve
      this.#rejectEnded = reject
    })
    ended.catch(() => undefined)
    this.responseCallbacks.resolve({ status, headers, body: this.#body, ended })
  }

  onData(chunk: Buffer): boolean {
    this.#lastProgressAt = this.clock.now()
    if (!this.#body) return true
    this.#isPaused = !this.#body.push(chunk)
    return !this.#isPaused
  }

  onComplete(): void {
    if (this.#state === 'done') return
    if (this.#runnerRefusal) {
      this.#finish(this.#runnerRefusal)
      return
    }
    if (!this.#body || !this.#hasFraming) {
      this.fail('answer-cut')
      return
    }
    this.#isComplete = true
    this.#body.push(null)
    this.#finish()
  }

  onError(cause: Error): void {
    if (this.#state === 'done') return
    const rejection = this.#mayHaveWritten ? undefined : errorBeforeWrite(cause)
    if (rejection) {
      this.#finish(rejection)
      return
    }
    const err = new RequestError(this.#body ? 'answer-cut' : 'upstream-failed', {
      outcome: this.outcome,
      cause,
    })
    this.#finish(err)
    this.conn.destroy()
  }

  #finish(err?: RequestError): void {
    this.#state = 'done'
    if (this.#onCallerAbort) this.req.signal?.removeEventListener('abort', this.#onCallerAbort)
    if (!err) this.#resolveEnded()
    else if (this.#body) {
      this.#rejectEnded(err)
      if (!this.#body.destroyed) this.#body.destroy(err)
    } else this.responseCallbacks.reject(err)
    this.callbacks.onDone(this)
  }
}
