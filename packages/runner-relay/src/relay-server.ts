import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { randomUUID } from 'node:crypto'
import { limitConnections, type ClientLimits, type LimitCause } from '@bulrushbridge/caller-server'
import { normalizeError } from '@bulrushbridge/errors'
import { isOfEarlierTerm, type CallResult, type RunnerApi } from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import { createLineWriter, readLines, type LineWriter } from './line-stream.js'
import { createPauseDetector } from './pause-detector.js'
import {
  aliveId,
  instanceHeader,
  relayedCallSchema,
  relayPath,
  type RelayedCall,
} from './relay-messages.js'

/** Interval at which a relay shows on each connection that it is alive, in milliseconds. */
const aliveIntervalMs = 200

/**
 * Delay of that interval from which the process counts as paused, in milliseconds. The dispatcher
 * gives a silent relay up after about as long, and then calls the runners itself.
 */
const pauseToleranceMs = 400

/**
 * Calls in progress from which a connection is not read. A dispatcher has one poll, and a few orders,
 * at each of some hundred runners.
 */
const maxCallsInProgress = 4_000

/** Most characters of lines that have not ended, on all connections together. */
const maxPartialLength = 12_000_000

/** Time for which results wait so that several share a packet, in milliseconds. */
const resultDelayMs = 8

/** Options of {@link createRelayServer}. */
export interface RelayServerOptions {
  host: string
  port: number
  createRunner: (opts: { address: string; runnerId: string }) => RunnerApi
  log: Logger
  /** Called for each call that is made to a runner. */
  onCall?: (kind: RelayedCall['kind']) => void
  /** Bounds on what clients may make the server hold; without them it has none. */
  limits?: ClientLimits
  /** Called for each connection that is closed and each request that is rejected by a limit. */
  onLimit?: (cause: LimitCause, address: string) => void
}

/**
 * Makes the calls of a dispatcher to the runners near this host. It decides nothing and repeats
 * nothing: each call is made once, as soon as it arrives, and its result is returned as it is.
 */
export interface RelayServer {
  /** `ip:port` of the server. */
  readonly address: string
  /** Identifies this process to dispatchers. */
  readonly instance: string
  /** Ends all connections; calls in progress are aborted. */
  close(): Promise<void>
}

/**
 * Starts a relay.
 *
 * @throws The server's error when the port is taken.
 * @example
 * const relay = await createRelayServer({ host: '10.1.0.23', port: 7001, createRunner, log })
 */
export async function createRelayServer(opts: RelayServerOptions): Promise<RelayServer> {
  const instance = randomUUID()
  const connections = new Set<RelayServerConnection>()
  const fences = new FenceRecord()
  let partialLength = 0
  /** Adds to the length of lines that have not ended; returns whether it is still under its bound. */
  const notePartial = (change: number): boolean => {
    partialLength += change
    return partialLength <= maxPartialLength
  }
  const pauseDetector = createPauseDetector({
    intervalMs: aliveIntervalMs,
    toleranceMs: pauseToleranceMs,
  })
  /** Closes the connections if there was a pause: calls that arrived meanwhile are outdated. */
  const closeAfterPause = (pausedMs: number): boolean => {
    if (pausedMs === 0 || connections.size === 0) return false
    opts.log.warn('relay was paused, its connections are closed', { pausedMs })
    for (const connection of connections) connection.close()
    return true
  }
  const server = createServer({ requireHostHeader: opts.limits === undefined }, (req, res) => {
    const admission = limiter?.admit(req, res) ?? 'admitted'
    if (admission === 'ignored') return
    if (admission !== 'admitted' || req.method !== 'POST' || req.url !== relayPath) {
      req.resume()
      res.writeHead(admission === 'admitted' ? 404 : 503, { connection: 'close' }).end()
      limiter?.closeAfterResponse(req)
      limiter?.answered(req, res)
      return
    }
    res.writeHead(200, { [instanceHeader]: instance, 'content-type': 'application/x-ndjson' })
    res.flushHeaders()
    const connection = new RelayServerConnection(req, res, opts, {
      fences,
      closeAfterPause: () => closeAfterPause(pauseDetector.peek()),
      notePartial,
    })
    connections.add(connection)
    res.on('close', () => {
      connections.delete(connection)
      connection.close()
      limiter?.answered(req, res)
    })
  })
  // The body of a request goes on for as long as the dispatcher's term.
  server.requestTimeout = 0
  const limiter =
    opts.limits === undefined
      ? undefined
      : limitConnections(server, {
          limits: opts.limits,
          onLimit: (cause, address) => opts.onLimit?.(cause, address),
        })
  const aliveTimer = setInterval(() => {
    if (closeAfterPause(pauseDetector.check())) return
    for (const connection of connections) connection.showAlive()
  }, aliveIntervalMs)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(opts.port, opts.host, resolve)
  })
  const bound = server.address()
  const port = typeof bound === 'object' && bound !== null ? bound.port : opts.port
  return {
    address: `${opts.host}:${port}`,
    instance,
    close: async () => {
      clearInterval(aliveTimer)
      limiter?.close()
      for (const connection of connections) connection.close()
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    },
  }
}

/**
 * The fencing tokens that a relay has seen. Calls of earlier dispatchers, and calls from before a
 * restart of their runner, are refused without reaching the runner, which may have forgotten them.
 */
class FenceRecord {
  #highest = 0
  /** Highest token by runner, of the term of `#highest`. */
  readonly #highestByRunner = new Map<string, number>()

  accepts(runnerId: string, fence: number): boolean {
    if (isOfEarlierTerm(fence, this.#highest)) return false
    if (isOfEarlierTerm(this.#highest, fence)) this.#highestByRunner.clear()
    this.#highest = Math.max(this.#highest, fence)
    const highest = this.#highestByRunner.get(runnerId) ?? 0
    this.#highestByRunner.set(runnerId, Math.max(highest, fence))
    return fence >= highest
  }
}

/** What the connections of one relay share. */
interface SharedParts {
  fences: FenceRecord
  closeAfterPause: () => boolean
  notePartial: (change: number) => boolean
}

class RelayServerConnection {
  readonly #req: IncomingMessage
  readonly #res: ServerResponse
  readonly #opts: RelayServerOptions
  readonly #fences: FenceRecord
  readonly #results: LineWriter
  readonly #runners = new Map<string, RunnerApi>()
  #callsInProgress = 0
  #isClosed = false

  constructor(
    req: IncomingMessage,
    res: ServerResponse,
    opts: RelayServerOptions,
    { fences, closeAfterPause, notePartial }: SharedParts,
  ) {
    this.#req = req
    this.#res = res
    this.#opts = opts
    this.#fences = fences
    this.#results = createLineWriter(res, resultDelayMs)
    const reject = () => {
      opts.log.warn('malformed call to the relay, its connection is closed')
      this.close()
    }
    req.on('error', () => {
      this.close()
    })
    req.on('end', () => {
      this.close()
    })
    readLines(
      req,
      line => {
        if (this.#isClosed || closeAfterPause()) return
        const call = parseCall(line)
        if (call === undefined) reject()
        else void this.#carryOut(call)
      },
      reject,
      change => {
        if (!notePartial(change) && change > 0) reject()
      },
    )
  }

  showAlive(): void {
    this.#results.write(`{"id":${aliveId}}`)
  }

  close(): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#req.destroy()
    this.#res.destroy()
    for (const runner of this.#runners.values()) void runner.close()
  }

  async #carryOut(call: RelayedCall): Promise<void> {
    const { fence } = call.order
    this.#callsInProgress += 1
    if (this.#callsInProgress >= maxCallsInProgress) this.#req.pause()
    let result: CallResult<unknown>
    if (!this.#fences.accepts(call.runnerId, fence))
      result = { outcome: 'done', value: fencedAnswers[call.kind] }
    else {
      this.#opts.onCall?.(call.kind)
      try {
        result = await callRunner(this.#runnerOf(call), call)
      } catch (err) {
        result = { outcome: 'unknown', reason: normalizeError(err).message }
      }
    }
    this.#callsInProgress -= 1
    if (this.#callsInProgress < maxCallsInProgress && !this.#isClosed) this.#req.resume()
    if (result.outcome !== 'done') this.#logFailure(call, result.reason)
    if (!this.#isClosed) this.#results.write(JSON.stringify({ id: call.id, result }))
  }

  #logFailure({ kind, runnerId, order }: RelayedCall, reason: string): void {
    const task = 'task' in order ? order.task : undefined
    const fields = { call: kind, runner: runnerId, task, fence: order.fence, reason }
    this.#opts.log.info('relayed call to a runner failed', fields)
  }

  #runnerOf({ address, runnerId }: RelayedCall): RunnerApi {
    const key = `${address} ${runnerId}`
    let runner = this.#runners.get(key)
    if (runner === undefined) {
      runner = this.#opts.createRunner({ address, runnerId })
      this.#runners.set(key, runner)
    }
    return runner
  }
}

/** Answers to calls whose fencing token is lower than one seen before. */
const fencedAnswers: Record<RelayedCall['kind'], unknown> = {
  start: { refusal: 'fence' },
  stop: { refusal: 'fence' },
  pace: { refusal: 'fence' },
  poll: { isFenced: true },
}

function callRunner(runner: RunnerApi, call: RelayedCall): Promise<CallResult<unknown>> {
  switch (call.kind) {
    case 'start':
      return runner.start({ ...call.order, ticket: call.order.ticket })
    case 'stop':
      return runner.stop(call.order)
    case 'pace':
      return runner.pace(call.order)
    case 'poll':
      return runner.poll({ ...call.order, leaseDeadline: call.order.leaseDeadline })
  }
}

function parseCall(line: string): RelayedCall | undefined {
  try {
    const parsed = relayedCallSchema.safeParse(JSON.parse(line))
    return parsed.success ? parsed.data : undefined
  } catch {
    // Not JSON; the caller logs it and closes the connection.
    return undefined
  }
}
