import { build, type Histogram } from 'hdr-histogram-js'
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { startChild } from './child.js'

/** Pause of a closed loop after a refusal, in milliseconds. */
const refusedPauseMs = 20

/** Connections of one stream to one address. */
const maxConnections = 256

/** Requests of one kind. One of `concurrency` (closed loop) and `perSecond` (open loop) is set. */
export interface Stream {
  /** `IP:port` of the targets, taken in turn. */
  targets: string[]
  path: string
  headers?: Record<string, string>
  method?: 'GET' | 'POST'
  body?: string
  concurrency?: number
  perSecond?: number
  deadlineMs: number
}

/** What one stream saw after the warm-up; latencies in milliseconds. */
export interface StreamResult {
  ok: number
  refused: number
  /** Answers with status 200 that arrived after the deadline. */
  late: number
  failed: number
  seconds: number
  median: number
  p99: number
  p999: number
}

/** Options of {@link runLoad}. */
export interface LoadOptions {
  streams: Stream[]
  warmUpMs: number
  measuredMs: number
}

/** Generates load in this process. Open-loop latency counts from the planned time of a request. */
export async function generateLoad(
  opts: LoadOptions,
  on: { measure: () => void; end: () => void },
) {
  const agent = new Agent({ connections: maxConnections, pipelining: 1 })
  const beginAt = performance.now() + opts.warmUpMs
  const endAt = beginAt + opts.measuredMs
  setTimeout(on.measure, opts.warmUpMs)
  const measured = new Promise<void>(resolve => {
    setTimeout(() => {
      on.end()
      resolve()
    }, opts.warmUpMs + opts.measuredMs)
  })
  const results = await Promise.all(
    opts.streams.map(stream => runStream(stream, agent, beginAt, endAt)),
  )
  await measured
  await agent.destroy()
  return results
}

async function runStream(
  stream: Stream,
  agent: Agent,
  beginAt: number,
  endAt: number,
): Promise<StreamResult> {
  const latencies: Histogram = build({ numberOfSignificantValueDigits: 3 })
  const seen = { ok: 0, refused: 0, late: 0, failed: 0 }
  let turn = 0
  const send = async (plannedAt: number): Promise<boolean> => {
    const target = stream.targets[turn++ % stream.targets.length] ?? ''
    const kind = await sendOne(stream, target, agent, plannedAt)
    const now = performance.now()
    if (now < beginAt || now >= endAt) return kind === 'ok'
    seen[kind] += 1
    if (kind === 'ok') latencies.recordValue(Math.max(1, Math.round((now - plannedAt) * 1_000)))
    return kind === 'ok'
  }
  const closedLoop = async (): Promise<void> => {
    while (performance.now() < endAt) {
      if (!(await send(performance.now()))) await sleep(refusedPauseMs)
    }
  }
  if (stream.perSecond === undefined) {
    await Promise.all(Array.from({ length: stream.concurrency ?? 1 }, closedLoop))
  } else await openLoop(stream.perSecond, endAt, send)
  const at = (percentile: number) => latencies.getValueAtPercentile(percentile) / 1_000
  const seconds = (endAt - beginAt) / 1_000
  return { ...seen, seconds, median: at(50), p99: at(99), p999: at(99.9) }
}

/** Spins instead of sleeping: timers of 1 ms would add their error to every latency. */
async function openLoop(
  perSecond: number,
  endAt: number,
  send: (plannedAt: number) => Promise<boolean>,
): Promise<void> {
  const pending = new Set<Promise<unknown>>()
  let nextAt = performance.now()
  while (nextAt < endAt) {
    while (nextAt <= performance.now() && nextAt < endAt) {
      const sent: Promise<unknown> = send(nextAt).finally(() => pending.delete(sent))
      pending.add(sent)
      nextAt += 1_000 / perSecond
    }
    await new Promise(resolve => setImmediate(resolve))
  }
  await Promise.all(pending)
}

async function sendOne(
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
 * Generates load in a process of its own. `onMeasure` is called when the warm-up ends, `onEnd`
 * when the measured time ends.
 *
 * @example
 * const [result] = await runLoad({ streams, warmUpMs: 1_000, measuredMs: 3_000 })
 */
export async function runLoad(
  opts: LoadOptions,
  on: { measure?: () => void; end?: () => void } = {},
): Promise<StreamResult[]> {
  const child = startChild('load', opts)
  try {
    await child.next()
    on.measure?.()
    await child.next()
    on.end?.()
    return (await child.next()) as StreamResult[]
  } finally {
    await child.end()
  }
}
