import { build, type Histogram } from 'hdr-histogram-js'
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { startRoleProcess } from './child.js'

/** Pause of a closed loop after a request without success, in milliseconds. */
const pauseAfterFailureMs = 20

/** Upper limit of connections to one target, which all streams share. */
const maxConnectionsPerTarget = 256

/** Requests of one kind. Either `concurrency` (closed loop) or `perSecond` (open loop) is set. */
export interface Stream {
  /** Addresses of the targets as `IP:port`; requests go to them in turn. */
  targets: string[]
  path: string
  headers?: Record<string, string>
  method?: 'GET' | 'POST'
  body?: string
  /** Number of requests in progress at any time. */
  concurrency?: number
  /** Requests sent per second, whether or not earlier ones have ended. */
  perSecond?: number
  /** Value of the header `bulrush-deadline`; a later response counts as late. */
  deadlineMs: number
}

/** Counts and latencies (in milliseconds) of one stream in the measured time after the warm-up. */
export interface StreamResult {
  /** Responses with status 200 within the deadline; the latencies are those of these requests. */
  ok: number
  /** Responses with another status than 200. */
  refused: number
  /** Responses with status 200 that arrived after the deadline. */
  late: number
  /** Requests without a complete response. */
  failed: number
  /** Length of the measured time. */
  seconds: number
  median: number
  p99: number
  p999: number
}

/** Options of {@link runLoad}. */
export interface LoadOptions {
  streams: Stream[]
  /** Time before the measured time in which requests are sent but not counted. */
  warmUpMs: number
  measuredMs: number
}

/**
 * Generates load in this process. Latency in an open loop counts from the time at which a request
 * was planned, so that it includes a delay in sending. `on.measure` is called when the warm-up
 * ends, `on.end` when the measured time ends.
 */
export async function generateLoad(
  opts: LoadOptions,
  on: { measure: () => void; end: () => void },
) {
  const agent = new Agent({ connections: maxConnectionsPerTarget, pipelining: 1 })
  const measuredFrom = performance.now() + opts.warmUpMs
  const measuredUntil = measuredFrom + opts.measuredMs
  setTimeout(on.measure, opts.warmUpMs)
  const measured = new Promise<void>(resolve => {
    setTimeout(() => {
      on.end()
      resolve()
    }, opts.warmUpMs + opts.measuredMs)
  })
  const results = await Promise.all(
    opts.streams.map(stream => runStream(stream, agent, measuredFrom, measuredUntil)),
  )
  await measured
  await agent.destroy()
  return results
}

/** Sends the requests of one stream and counts those that end in the measured time. */
async function runStream(
  stream: Stream,
  agent: Agent,
  measuredFrom: number,
  measuredUntil: number,
): Promise<StreamResult> {
  const latencies: Histogram = build({ numberOfSignificantValueDigits: 3 })
  const counts = { ok: 0, refused: 0, late: 0, failed: 0 }
  let sentCount = 0
  const send = async (plannedAt: number): Promise<boolean> => {
    const target = stream.targets[sentCount++ % stream.targets.length] ?? ''
    const outcome = await sendRequest(stream, target, agent, plannedAt)
    const now = performance.now()
    if (now < measuredFrom || now >= measuredUntil) return outcome === 'ok'
    counts[outcome] += 1
    if (outcome === 'ok') latencies.recordValue(Math.max(1, Math.round((now - plannedAt) * 1_000)))
    return outcome === 'ok'
  }
  const runClosedLoop = async (): Promise<void> => {
    while (performance.now() < measuredUntil) {
      if (!(await send(performance.now()))) await sleep(pauseAfterFailureMs)
    }
  }
  if (stream.perSecond === undefined) {
    await Promise.all(Array.from({ length: stream.concurrency ?? 1 }, runClosedLoop))
  } else await runOpenLoop(stream.perSecond, measuredUntil, send)
  const percentileMs = (percentile: number) => latencies.getValueAtPercentile(percentile) / 1_000
  const seconds = (measuredUntil - measuredFrom) / 1_000
  return {
    ...counts,
    seconds,
    median: percentileMs(50),
    p99: percentileMs(99),
    p999: percentileMs(99.9),
  }
}

/**
 * Sends requests at a fixed rate. It checks the time on every turn of the event loop instead of
 * sleeping, because timers have a resolution of 1 ms and would add their error to every latency.
 */
async function runOpenLoop(
  perSecond: number,
  measuredUntil: number,
  send: (plannedAt: number) => Promise<boolean>,
): Promise<void> {
  const pending = new Set<Promise<unknown>>()
  let nextPlannedAt = performance.now()
  while (nextPlannedAt < measuredUntil) {
    while (nextPlannedAt <= performance.now() && nextPlannedAt < measuredUntil) {
      const sent: Promise<unknown> = send(nextPlannedAt).finally(() => pending.delete(sent))
      pending.add(sent)
      nextPlannedAt += 1_000 / perSecond
    }
    await new Promise(resolve => setImmediate(resolve))
  }
  await Promise.all(pending)
}

async function sendRequest(
  stream: Stream,
  target: string,
  agent: Agent,
  plannedAt: number,
): Promise<'ok' | 'refused' | 'late' | 'failed'> {
  try {
    const res = await request(`http://${target}${stream.path}`, {
      dispatcher: agent,
      method: stream.method ?? 'GET',
      headers: { ...stream.headers, 'bulrush-deadline': String(stream.deadlineMs) },
      ...(stream.body === undefined ? {} : { body: stream.body }),
    })
    await res.body.dump()
    if (res.statusCode !== 200) return 'refused'
    return performance.now() - plannedAt > stream.deadlineMs ? 'late' : 'ok'
  } catch {
    return 'failed'
  }
}

/**
 * Generates load in a child process, so that its CPU time does not count as that of the caller.
 * `on.measure` is called when the warm-up ends, `on.end` when the measured time ends.
 *
 * @example
 * const [result] = await runLoad({ streams, warmUpMs: 1_000, measuredMs: 3_000 })
 */
export async function runLoad(
  opts: LoadOptions,
  on: { measure?: () => void; end?: () => void } = {},
): Promise<StreamResult[]> {
  const child = startRoleProcess('load', opts)
  try {
    await child.readNextLine()
    on.measure?.()
    await child.readNextLine()
    on.end?.()
    return (await child.readNextLine()) as StreamResult[]
  } finally {
    await child.killAndWait()
  }
}
