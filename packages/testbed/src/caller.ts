import { Agent, request } from 'undici'

/** A request of a caller. */
export interface CallerRequest {
  /** `IP:port` of an entry host. */
  entry: string
  queue: string
  key: string
  method?: 'GET' | 'POST' | 'PUT'
  /** Path and query for the runner. */
  path?: string
  /** Submits a job instead of calling a runner. */
  isJob?: boolean
  body?: string
  idempotencyKey?: string
  deadlineMs?: number
  headers?: Record<string, string>
}

/** What a caller saw. */
export interface CallerAnswer {
  /** 0 when the connection was refused or cut, or no answer came. */
  status: number
  outcome: string
  kind: string
  requestId: string
  body: string
  ms: number
}

/** A caller with connections of its own. */
export interface Caller {
  send(req: CallerRequest): Promise<CallerAnswer>
  close(): Promise<void>
}

/** Longest time that a caller waits beyond its deadline, in milliseconds. */
const graceMs = 10_000

/**
 * Creates a caller. A cut connection is an answer with status 0 and outcome `unknown`.
 *
 * @example
 * const answer = await caller.send({ entry, queue: 'finder', key, path: '/work?ms=5' })
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
      const elapsed = () => performance.now() - startedAt
      try {
        const action = req.isJob === true ? 'jobs' : `call${req.path ?? '/work'}`
        const url = `http://${req.entry}/queues/${req.queue}/${action}`
        const res = await request(url, {
          method: req.method ?? 'GET',
          headers,
          dispatcher: agent,
          signal: AbortSignal.timeout((req.deadlineMs ?? 5_000) + graceMs),
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
          ms: elapsed(),
        }
      } catch (err) {
        // Nothing was sent when no connection could be opened; a balancer would try another host.
        const isRefused = (err as NodeJS.ErrnoException).code === 'ECONNREFUSED'
        return {
          status: 0,
          outcome: isRefused ? 'not-run' : 'unknown',
          kind: isRefused ? 'no-connection' : 'cut',
          requestId: '',
          body: '',
          ms: elapsed(),
        }
      }
    },
    close: () => agent.destroy(),
  }
}
