import type { RequestError } from '@bulrushbridge/errors'
import type { Readable } from 'node:stream'

/** A request to a runner. */
export interface UpstreamRequest {
  /**
   * Request id, which starts with the member id and incarnation; the runner returns it in its
   * response.
   */
  id: string
  method: string
  path: string
  /** Names and values in turn; the client adds the `bulrush-*` headers. */
  headers: string[]
  /** A buffer is sent in one write, a stream with back-pressure. */
  body?: Readable | Buffer | undefined
  /**
   * Time on the client's clock, in milliseconds, by which the response headers must have arrived.
   */
  deadline: number
  team: string
  traceparent?: string | undefined
  /** Aborted when the caller closes its connection. */
  signal?: AbortSignal | undefined
}

/** Callbacks during a send. */
export interface SendHooks {
  /**
   * Called before the first byte can be sent; for a streamed body no later than one tick before it.
   * A {@link RequestError} thrown here fails the request with the outcome `not-run`.
   */
  beforeWrite?: (() => void) | undefined
  /**
   * Receives a function that aborts the request as if the caller had left. A second abort signal
   * for each request would cost more than all other bookkeeping of the client.
   */
  onStart?: ((abortRequest: () => void) => void) | undefined
}

/** The response of a runner. */
export interface UpstreamResponse {
  status: number
  headers: Record<string, string | string[]>
  /** Emits an error when the response is cut; it ends only when the response is complete. */
  body: Readable
  /** Resolves when the whole response has arrived; rejects with a {@link RequestError}. */
  ended: Promise<void>
}

/** The functions that settle the promise of one send. */
export interface ResponseCallbacks {
  resolve: (response: UpstreamResponse) => void
  reject: (err: RequestError) => void
}
