import { Agent, request } from 'undici'

/** A request that a caller sends to an entry host. */
export interface CallerRequest {
  /** `IP:port` of an entry host. */
  entryAddress: string
  queue: string
  key: string
  method?: 'GET' | 'POST' | 'PUT'
  /** Path and query that the runner receives. */
  path?: string
  /** Submits a job instead of calling a runner. */
  isJob?: boolean
  body?: string
  idempotencyKey?: string
  /** Deadline of the request, in milliseconds; 5 s by default. */
  deadlineMs?: number
  headers?: Record<string, string>
}

/** The response to a request, as its caller received it. */
export interface CallerResponse {
  /** HTTP status; 0 when the connection was refused or closed, or no response arrived in time. */
  status: number
  /** Value of the header `bulrush-outcome`. */
  outcome: string
  /** Value of the header `bulrush-error`; `no-connection` or `cut` when the status is 0. */
  kind: string
  requestId: string
  body: string
  elapsedMs: number
}

/** A caller with its own connection pool. */
export interface Caller {
  /** Sends a request; a failed connection is returned as a response and not thrown. */
  send(req: CallerRequest): Promise<CallerResponse>
  close(): Promise<void>
}

/** Time for which a caller waits beyond the deadline of its request, in milliseconds. */
const deadlineGraceMs = 10_000

/**
 * Creates a caller. A connection that is closed before the response is complete yields status 0 and
 * outcome `unknown`.
 *
 * @example
 * const response = await caller.send({ entryAddress, queue: 'finder', key, path: '/work?ms=5' })
 */
export function createCaller(): Caller {
  const agent = new Agent({ connections: 256, pipelining: 1 })
  return {
    send: async req => {
      const startedAt = performance.now()
      const headers: Record<string, string> = {
        authorization: `Bearer ${req.key}`,
        'bulrush-deadline': String(req.deadlineMs ?? 5_000),
        ...(req.idempotencyKey === undefined ? {} : { 'idempotency-key': req.idempotencyKey }),
        ...req.headers,
      }
      const measureElapsedMs = () => performance.now() - startedAt
      try {
        const action = req.isJob === true ? 'jobs' : `call${req.path ?? '/work'}`
        const url = `http://${req.entryAddress}/queues/${req.queue}/${action}`
        const res = await request(url, {
          method: req.method ?? 'GET',
          headers,
          dispatcher: agent,
          signal: AbortSignal.timeout((req.deadlineMs ?? 5_000) + deadlineGraceMs),
          ...(req.body === undefined ? {} : { body: req.body }),
        })
        const body = await res.body.text()
        const header = (name: string) => String(res.headers[name] ?? '')
        return {
          status: res.statusCode,
          outcome: header('bulrush-outcome'),
          kind: header('bulrush-error'),
          requestId: header('bulrush-request-id'),
          body,
          elapsedMs: measureElapsedMs(),
        }
      } catch (err) {
        // A refused connection means that nothing was sent, so the request did not run.
        const isRefused = (err as NodeJS.ErrnoException).code === 'ECONNREFUSED'
        return {
          status: 0,
          outcome: isRefused ? 'not-run' : 'unknown',
          kind: isRefused ? 'no-connection' : 'cut',
          requestId: '',
          body: '',
          elapsedMs: measureElapsedMs(),
        }
      }
    },
    close: () => agent.destroy(),
  }
}
