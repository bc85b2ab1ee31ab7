import type { Clock } from '@bulrushbridge/errors'
import { Agent, request } from 'undici'
import { StoreError } from './store-error.js'

/** Maximum number of connections to one service; each carries one request at a time. */
const maxConnections = 8

/** Pause before a failed call is retried, in milliseconds. */
const retryPauseMs = 25

/** A response with a status below 500. */
export interface StorageResponse {
  status: number
  text: string
}

/** One HTTP request; `deadline` is a time on the clock of the client. */
export interface StorageRequest {
  method: 'GET' | 'POST' | 'PUT'
  path: string
  body?: string
  deadline: number
}

/** HTTP client of a storage service; every failed call rejects with a {@link StoreError}. */
export class StorageHttpClient {
  readonly #url: string
  readonly #clock: Clock
  readonly #agent = new Agent({ connections: maxConnections, pipelining: 1 })

  constructor(url: string, clock: Clock) {
    this.#url = url.replace(/\/$/, '')
    this.#clock = clock
  }

  async call({ method, path, body, deadline }: StorageRequest): Promise<StorageResponse> {
    const leftMs = deadline - this.#clock.now()
    if (leftMs <= 0) throw new StoreError('the deadline passed before the request was sent')
    try {
      const res = await request(this.#url + path, {
        method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(Math.ceil(leftMs)),
        ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
      })
      const text = await res.body.text()
      if (res.statusCode >= 500)
        throw new StoreError(`the storage responded with status ${res.statusCode}`)
      return { status: res.statusCode, text }
    } catch (cause) {
      if (cause instanceof StoreError) throw cause
      throw new StoreError('the storage did not respond', { cause })
    }
  }

  /**
   * Makes an idempotent call and retries it once. The first attempt gets half of the time, because
   * an open connection can be silent while a new one works.
   */
  async callWithRetry(req: StorageRequest): Promise<StorageResponse> {
    try {
      return await this.call({ ...req, deadline: (this.#clock.now() + req.deadline) / 2 })
    } catch {
      await this.pauseBeforeRetry(req.deadline)
      return this.call(req)
    }
  }

  /** Waits before a retry, at most until the deadline, on real timers. */
  async pauseBeforeRetry(deadline: number): Promise<void> {
    const ms = Math.max(0, Math.min(retryPauseMs, deadline - this.#clock.now()))
    await new Promise(resolve => setTimeout(resolve, ms))
  }

  async close(): Promise<void> {
    await this.#agent.destroy()
  }
}

/** Parses the JSON body of a response; malformed JSON throws a {@link StoreError}. */
export function parseJsonResponse(response: StorageResponse): unknown {
  try {
    return JSON.parse(response.text)
  } catch (cause) {
    throw new StoreError('the storage responded with malformed JSON', { cause })
  }
}
