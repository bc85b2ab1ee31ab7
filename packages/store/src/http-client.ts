import type { Clock } from '@bulrushbridge/errors'
import { Agent, request } from 'undici'
import { StoreError } from './store-error.js'

/** Connections to one service; each carries one request at a time. */
const connections = 8

/** Pause before a call is repeated after its connection failed. */
const repeatPauseMs = 25

/** An answer below status 500, with its body as text. */
export interface HttpAnswer {
  status: number
  text: string
}

/** One HTTP call; `deadline` is on the client's clock. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT'
  path: string
  body?: string
  deadline: number
}

/** Calls one base URL with deadlines; every failure is a {@link StoreError}. */
export class HttpClient {
  readonly #url: string
  readonly #clock: Clock
  readonly #agent = new Agent({ connections, pipelining: 1 })

  constructor(url: string, clock: Clock) {
    this.#url = url.replace(/\/$/, '')
    this.#clock = clock
  }

  async call({ method, path, body, deadline }: HttpCall): Promise<HttpAnswer> {
    const leftMs = deadline - this.#clock.now()
    if (leftMs <= 0) throw new StoreError('the deadline passed')
    try {
      const res = await request(this.#url + path, {
        method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(Math.ceil(leftMs)),
        ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
      })
      const text = await res.body.text()
      if (res.statusCode >= 500) throw new StoreError(`the storage answered ${res.statusCode}`)
      return { status: res.statusCode, text }
    } catch (cause) {
      if (cause instanceof StoreError) throw cause
      throw new StoreError('the storage does not answer', { cause })
    }
  }

  /**
   * Makes a call that may safely be made twice. The first attempt gets half of the time, because
   * an open connection can be silent while a new one works.
   */
  async callTwice(call: HttpCall): Promise<HttpAnswer> {
    try {
      return await this.call({ ...call, deadline: (this.#clock.now() + call.deadline) / 2 })
    } catch {
      await this.pause(call.deadline)
      return this.call(call)
    }
  }

  /** Waits a short real time, at most until the deadline. */
  async pause(deadline: number): Promise<void> {
    const ms = Math.max(0, Math.min(repeatPauseMs, deadline - this.#clock.now()))
    await new Promise(resolve => setTimeout(resolve, ms))
  }

  async close(): Promise<void> {
    await this.#agent.destroy()
  }
}

/** Parses an answer's JSON; a malformed one counts as no answer. */
export function parseAnswer(answer: HttpAnswer): unknown {
  try {
    return JSON.parse(answer.text)
  } catch (cause) {
    throw new StoreError('the storage answered malformed JSON', { cause })
  }
}
