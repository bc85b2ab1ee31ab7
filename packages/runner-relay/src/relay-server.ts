import { createServer } from 'node:http'
import { randomUUID } from 'node:crypto'
import {
  limitConnections,
  listen,
  type ClientLimits,
  type LimitCause,
} from '@bulrushbridge/caller-server'
import type { RunnerApi } from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import { FenceRecord } from './fence-record.js'
import { createPauseDetector } from './pause-detector.js'
import { instanceHeader, relayPath, type RelayedCall } from './relay-messages.js'
import { RelayServerConnection, type RelayServerParts } from './relay-server-connection.js'
import { createRelayUsage, defaultRelayBounds, type RelayLimitCause } from './relay-usage.js'

/** Interval at which a relay shows on each connection that it is alive, in milliseconds. */
const aliveIntervalMs = 200

/**
 * Delay of that interval from which the process counts as paused, in milliseconds. The dispatcher
 * gives a silent relay up after about as long, and then calls the runners itself.
 */
const pauseToleranceMs = 400

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
  /** Most runners to which the relay has connections; 1,024 by default. */
  maxRunners?: number
  /** Called for each connection that is closed, and each request or call that is rejected, by a limit. */
  onLimit?: (cause: LimitCause | RelayLimitCause, address: string) => void
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
  const onLimit = (cause: LimitCause | RelayLimitCause, address: string) =>
    opts.onLimit?.(cause, address)
  const { maxRunners = defaultRelayBounds.maxRunners } = opts
  const parts: RelayServerParts = {
    createRunner: opts.createRunner,
    log: opts.log,
    fences: new FenceRecord(),
    usage: createRelayUsage({ ...defaultRelayBounds, maxRunners }),
    closeAfterPause: () => closeAfterPause(pauseDetector.peek()),
    onCall: kind => opts.onCall?.(kind),
    onLimit,
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
    const connection = new RelayServerConnection(req, res, parts)
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
      : limitConnections(server, { limits: opts.limits, onLimit })
  const aliveTimer = setInterval(() => {
    if (closeAfterPause(pauseDetector.check())) return
    for (const connection of connections) connection.showAlive()
  }, aliveIntervalMs)
  const port = await listen(server, opts.host, opts.port)
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
