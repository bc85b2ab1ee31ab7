import { createHash } from 'node:crypto'
import type { CallerAnswer, CallerRequest } from './caller.js'

/** What a caller sent and what it saw; times on `performance.now()`. */
export interface RecordedCall {
  team: string
  /** Names the request within the test run; repeats of an order share it. */
  token: string
  idempotencyKey: string | undefined
  sentAt: number
  bodyDigest: string
  fillerBytes: number
  kind: WorkKind
  /** Whether the key was not one of the queue's team. */
  isWrongKey: boolean
  answer: CallerAnswer
}

/** Kinds of work that callers send. */
export const workKinds = {
  /** GET: idempotent, without a body. */
  requests: { method: 'GET', keyed: false, copies: 1 },
  /** PUT: idempotent, with a body. */
  uploads: { method: 'PUT', keyed: false, copies: 1 },
  /** POST without an idempotency key: sent once and never repeated. */
  merges: { method: 'POST', keyed: false, copies: 1 },
  /** POST with an idempotency key, sent once. */
  orders: { method: 'POST', keyed: true, copies: 1 },
  /** POST with an idempotency key, sent three times at the same moment. */
  'repeated orders': { method: 'POST', keyed: true, copies: 3 },
  /** Non-idempotent job, submitted to two entry hosts at the same moment. */
  jobs: { method: 'POST', keyed: true, copies: 2 },
} as const

/** A name in {@link workKinds}. */
export type WorkKind = keyof typeof workKinds

/** Options of {@link sendTraffic}. */
export interface TrafficOptions {
  team: string
  /** Starts the names of the requests; unique within the test run. */
  name: string
  kind: WorkKind
  count: number
  overMs: number
  workMs: number
  /** Bytes added to each answer. */
  fillerBytes: number
  deadlineMs: number
  isWrongKey: boolean
  rng: () => number
  /** Entry hosts of one request, one for each copy. */
  chooseEntries(copies: number): Promise<string[]>
  key(): string
  send(req: CallerRequest): Promise<CallerAnswer>
}

/**
 * Sends requests at a steady rate, whatever the answers, and records every answer.
 *
 * @example
 * const calls = await sendTraffic({ team: 'lamps', kind: 'requests', count: 100, ... })
 */
export async function sendTraffic(opts: TrafficOptions): Promise<RecordedCall[]> {
  const startedAt = performance.now()
  const calls: Promise<RecordedCall>[] = []
  for (let n = 0; n < opts.count; n++) {
    // A seeded part of the gap keeps callers from falling into step with periodic tasks.
    const at = startedAt + ((n + opts.rng()) * opts.overMs) / opts.count
    const waitMs = at - performance.now()
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
    calls.push(...sendOne(opts, `${opts.name}-${n}`))
  }
  return Promise.all(calls)
}

function sendOne(opts: TrafficOptions, token: string): Promise<RecordedCall>[] {
  const { method, keyed, copies } = workKinds[opts.kind]
  const isJob = opts.kind === 'jobs'
  const text = isJob ? jobText(opts.workMs, token) : `body of ${token}`
  const body = method === 'GET' ? undefined : text
  const idempotencyKey = keyed ? token : undefined
  const chosen = opts.chooseEntries(copies)
  return Array.from({ length: copies }, async (_, n) => {
    const entry = (await chosen)[n] ?? ''
    const sentAt = performance.now()
    const answer = await opts.send({
      entry,
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
      answer,
    }
  })
}

function jobText(runMs: number, token: string): string {
  return JSON.stringify({
    request: { cpus: 1, memoryMb: 64, accelerators: 0, runMs },
    idempotent: false,
    kind: 'merge',
    payload: { runMs, token },
  })
}
