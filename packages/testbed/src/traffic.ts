import { createHash } from 'node:crypto'
import type { CallerResponse, CallerRequest } from './caller.js'

/** A request that a caller sent, and its response. */
export interface RecordedCall {
  team: string
  /** Identifies the request within the test run; all copies of a request have the same token. */
  token: string
  idempotencyKey: string | undefined
  /** Time of sending, on the clock of `performance.now()`. */
  sentAt: number
  /** Hexadecimal SHA-256 of the request body. */
  bodyDigest: string
  /** Bytes that the runner was asked to add to the response. */
  fillerBytes: number
  kind: WorkKind
  /** Whether the request carried a key that does not belong to the queue's team. */
  isWrongKey: boolean
  response: CallerResponse
}

/**
 * Kinds of work that callers send: the HTTP method, whether requests carry an idempotency key, and
 * the number of copies that are sent at the same moment.
 */
export const workKinds = {
  /** GET: idempotent, without a body. */
  requests: { method: 'GET', hasIdempotencyKey: false, copies: 1 },
  /** PUT: idempotent, with a body. */
  uploads: { method: 'PUT', hasIdempotencyKey: false, copies: 1 },
  /** POST without an idempotency key: sent once and never repeated. */
  merges: { method: 'POST', hasIdempotencyKey: false, copies: 1 },
  /** POST with an idempotency key, sent once. */
  orders: { method: 'POST', hasIdempotencyKey: true, copies: 1 },
  /** POST with an idempotency key, sent three times at the same moment. */
  'repeated orders': { method: 'POST', hasIdempotencyKey: true, copies: 3 },
  /** Non-idempotent job, submitted to two entry hosts at the same moment. */
  jobs: { method: 'POST', hasIdempotencyKey: true, copies: 2 },
} as const

/** A key of {@link workKinds}. */
export type WorkKind = keyof typeof workKinds

/** Options of {@link sendTraffic}. */
export interface TrafficOptions {
  team: string
  /** Prefix of the tokens of the requests; unique within the test run. */
  name: string
  kind: WorkKind
  /** Number of requests, without copies. */
  count: number
  /** Time over which the requests are sent, in milliseconds. */
  durationMs: number
  /** Work time of each request, in milliseconds. */
  workMs: number
  /** Bytes that the runner adds to each response. */
  fillerBytes: number
  deadlineMs: number
  /** Whether `key` returns keys that do not belong to the queue's team. */
  isWrongKey: boolean
  /** Returns a random number from 0 to 1. */
  rng: () => number
  /** Returns the addresses of the entry hosts of one request, one for each copy. */
  chooseEntries(copies: number): Promise<string[]>
  /** Returns the key that a request presents. */
  key(): string
  send(req: CallerRequest): Promise<CallerResponse>
}

/**
 * Sends requests at a constant rate that does not depend on the responses, and records every
 * response.
 *
 * @example
 * const calls = await sendTraffic({ team: 'lamps', kind: 'requests', count: 100, ... })
 */
export async function sendTraffic(opts: TrafficOptions): Promise<RecordedCall[]> {
  const startedAt = performance.now()
  const calls: Promise<RecordedCall>[] = []
  for (let n = 0; n < opts.count; n++) {
    // A random offset within each interval keeps requests from coinciding with periodic tasks.
    const sendTime = startedAt + ((n + opts.rng()) * opts.durationMs) / opts.count
    const waitMs = sendTime - performance.now()
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
    calls.push(...sendCopies(opts, `${opts.name}-${n}`))
  }
  return Promise.all(calls)
}

function sendCopies(opts: TrafficOptions, token: string): Promise<RecordedCall>[] {
  const { method, hasIdempotencyKey, copies } = workKinds[opts.kind]
  const isJob = opts.kind === 'jobs'
  const text = isJob ? createJobBody(opts.workMs, token) : `body of ${token}`
  const body = method === 'GET' ? undefined : text
  const idempotencyKey = hasIdempotencyKey ? token : undefined
  const entryAddresses = opts.chooseEntries(copies)
  return Array.from({ length: copies }, async (_, n) => {
    const entryAddress = (await entryAddresses)[n] ?? ''
    const sentAt = performance.now()
    const response = await opts.send({
      entryAddress,
      queue: isJob ? `${opts.team}-jobs` : opts.team,
      key: opts.key(),
      method,
      isJob,
      path: `/work?ms=${opts.workMs}&bytes=${opts.fillerBytes}&token=${token}`,
      deadlineMs: opts.deadlineMs,
      ...(body === undefined ? {} : { body }),
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    })
    const bodyDigest = createHash('sha256')
      .update(body ?? '')
      .digest('hex')
    const { team, kind, fillerBytes, isWrongKey } = opts
    return {
      team,
      token,
      idempotencyKey,
      sentAt,
      bodyDigest,
      fillerBytes,
      kind,
      isWrongKey,
      response,
    }
  })
}

function createJobBody(runMs: number, token: string): string {
  return JSON.stringify({
    request: { cpus: 1, memoryMb: 64, accelerators: 0, runMs },
    idempotent: false,
    kind: 'merge',
    payload: { runMs, token },
  })
}
