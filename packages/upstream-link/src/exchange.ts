import { RequestError, toRequestError, type Clock, type ErrorKind } from '@bulrushbridge/errors'
import type { Dispatcher } from 'undici'
import { AnswerBody } from './answer-body.js'
import type { Connection } from './connection.js'
import type { AnswerSink, SendHooks, UpstreamRequest } from './upstream-request.js'

/** Longest wait for the answer's headers after the last progress of the request. */
export const headersMs = 10_000
/** Longest wait between two chunks of the answer's body. */
export const chunkMs = 5_000

/** What an exchange tells its links. */
export interface ExchangeEvents {
  /** The exchange is over; the connection is usable unless it is closed. */
  onDone: (exchange: Exchange) => void
  /** The runner sent no headers in time; `full` when all of {@link headersMs} passed. */
  onLate: (exchange: Exchange, full: boolean) => void
}

/** Names and values of raw headers as an object with lower-case names. */
function parseHeaders(raw: Buffer[]): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {}
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = String(raw[i]).toLowerCase()
    const value = (raw[i + 1] ?? Buffer.alloc(0)).toString('latin1')
    const known = headers[name]
    headers[name] = known === undefined ? value : [known, value].flat()
  }
  return headers
}

/** The error of a request that was rejected before it was written; its connection stays usable. */
function refusalOf(cause: Error): RequestError | undefined {
  if (cause instanceof RequestError) {
    const { kind, message, retryAfterMs } = cause
    const opts = retryAfterMs === undefined ? {} : { retryAfterMs }
    return new RequestError(kind, { ...opts, message, cause })
  }
  const code = (cause as NodeJS.ErrnoException).code
  return code === 'UND_ERR_INVALID_ARG' ? new RequestError('bad-header', { cause }) : undefined
}

/** One request on one connection, from its first byte to the last of its answer. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** True from the moment a byte may have left. */
  #mayHaveLeft = false
  #bytesBefore = 0
  #state: 'waiting' | 'headers' | 'body' | 'done' = 'waiting'
  #progressAt: number
  #paused = false
  #complete = false
  #failure: RequestError | undefined
  #abort: ((err?: Error) => void) | undefined
  #body: AnswerBody | undefined
  #framed = false
  #resolveEnded: () => void = () => undefined
  #rejectEnded: (err: RequestError) => void = () => undefined
  #onSignal: (() => void) | undefined

  constructor(
    readonly req: UpstreamRequest,
    readonly conn: Connection,
    private readonly hooks: SendHooks,
    private readonly clock: Clock,
    private readonly sink: AnswerSink,
    private readonly events: ExchangeEvents,
  ) {
    this.#progressAt = clock.now()
    if (!req.signal) return
    this.#onSignal = () => {
      this.fail('caller-left')
    }
    req.signal.addEventListener('abort', this.#onSignal, { once: true })
  }

  /** What the record of written bytes says about the request. */
  get outcome(): 'not-run' | 'unknown' {
    if (!this.#mayHaveLeft) return 'not-run'
    return this.conn.bytesWritten === this.#bytesBefore ? 'not-run' : 'unknown'
  }

  /** Ends the exchange and its connection with an error. */
  fail(kind: ErrorKind, cause?: unknown): void {
    if (this.#state === 'done') return
    const err = new RequestError(kind, { outcome: this.outcome, cause })
    this.#finish(err)
    // The reset comes first: an abort closes the socket in a way that still sends queued bytes.
    this.conn.destroy()
    this.#abort?.(err)
  }

  /** Checks the progress deadlines. */
  sweep(now: number): void {
    if (this.#state === 'waiting' && now >= this.req.deadline) this.fail('deadline-passed')
    else if (this.#state === 'headers') this.#sweepHeaders(now)
    else if (this.#state === 'body' && !this.#paused && now - this.#progressAt >= chunkMs) {
      this.fail('answer-cut', new Error(`no chunk for ${chunkMs} ms`))
    }
  }

  #sweepHeaders(now: number): void {
    const full = now - this.#progressAt >= headersMs
    if (!full && now < this.req.deadline) return
    this.fail(full ? 'upstream-timeout' : 'deadline-passed')
    this.events.onLate(this, full)
  }

  onConnect(abort: (err?: Error) => void): void {
    if (this.#state === 'done') throw new RequestError('caller-left')
    try {
      this.hooks.beforeWrite?.()
    } catch (err) {
      throw toRequestError(err, 'not-run')
    }
    this.#abort = abort
    this.#bytesBefore = this.conn.bytesWritten
    this.#mayHaveLeft = true
    this.#state = 'headers'
    this.#progressAt = this.clock.now()
  }

  onBodySent(): void {
    this.#progressAt = this.clock.now()
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (this.#state !== 'headers' || status < 200) return true
    const headers = parseHeaders(raw)
    if (headers['bulrush-request-id'] !== this.req.id) {
      this.fail('answer-mismatched')
      return false
    }
    if (status === 503 && headers['bulrush-outcome'] === 'not-run') {
      this.#failure = new RequestError('no-upstream', {
        message: 'The runner refused the request.',
      })
      return true
    }
    this.#accept(status, headers, resume)
    return true
  }

  #accept(status: number, headers: Record<string, string | string[]>, resume: () => void): void {
    this.#state = 'body'
    this.#progressAt = this.clock.now()
    // Without framing, the end of the connection could not be told from a cut.
    this.#framed =
      this.req.method === 'HEAD' ||
      status === 204 ||
      status === 304 ||
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined
    this.#body = new AnswerBody(
      () => {
        if (!this.#paused) return
        this.#paused = false
        this.#progressAt = this.clock.now()
        resume()
      },
      () => {
        if (!this.#complete) this.fail('caller-left')
      },
    )
    const ended = new Promise<void>((resolve, reject) => {
      this.#resolveEnded = resolve
      this.#rejectEnded = reject
    })
    ended.catch(() => undefined)
    this.sink.resolve({ status, headers, body: this.#body, ended })
  }

  onData(chunk: Buffer): boolean {
    this.#progressAt = this.clock.now()
    if (!this.#body) return true
    this.#paused = !this.#body.push(chunk)
    return !this.#paused
  }

  onComplete(): void {
    if (this.#state === 'done') return
    if (this.#failure) {
      this.#finish(this.#failure)
      return
    }
    if (!this.#body || !this.#framed) {
      this.fail('answer-cut')
      return
    }
    this.#complete = true
    this.#body.push(null)
    this.#finish()
  }

  onError(cause: Error): void {
    if (this.#state === 'done') return
    const refusal = this.#mayHaveLeft ? undefined : refusalOf(cause)
    if (refusal) {
      this.#finish(refusal)
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
    if (this.#onSignal) this.req.signal?.removeEventListener('abort', this.#onSignal)
    if (!err) this.#resolveEnded()
    else if (this.#body) {
      this.#rejectEnded(err)
      if (!this.#body.destroyed) this.#body.destroy(err)
    } else this.sink.reject(err)
    this.events.onDone(this)
  }
}
