import type { RequestError } from '@bulrushbridge/errors'
import type { Readable } from 'node:stream'

/** A request to a runner. */
export interface UpstreamRequest {
  /** Request id; it starts with member id and incarnation and is echoed by the runner. */
  id: string
  method: string
  path: string
  /** Names and values in turn; the link adds its own `bulrush-*` headers. */
  headers: string[]
  /** A buffer is sent in one write; a stream is sent under back-pressure. */
  body?: Readable | Buffer | undefined
  /** Milliseconds on the link's clock by which the answer's headers must have arrived. */
  deadline: number
  team: string
  traceparent?: string | undefined
  /** Aborted when the caller leaves. */
  signal?: AbortSignal | undefined
}

/** Called during a send. */
export interface SendHooks {
  /**
   * Called before the first byte can leave; for a streamed body no later than one tick before it.
   * A {@link RequestError} thrown here ends the request as not run.
   */
  beforeWrite?: (() => void) | undefined
  /**
   * Receives a function that gives the request up as if the caller had left. An additional abort
   * signal for each request would cost more than the link's other bookkeeping.
   */
  onStart?: ((giveUp: () => void) => void) | undefined
}

/** The answer of a runner. */
export interface UpstreamAnswer {
  status: number
  headers: Record<string, string | string[]>
  /** Emits an error when the answer is cut; it ends only when the answer is complete. */
  body: Readable
  /** Resolves when the answer has arrived completely, rejects with a {@link RequestError}. */
  ended: Promise<void>
}

/** Callback pair of one send. */
export interface AnswerSink {
  resolve: (answer: UpstreamAnswer) => void
  reject: (err: RequestError) => void
}
