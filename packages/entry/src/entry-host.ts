import type { ConfigView } from '@bulrushbridge/config-view'
import {
  bufferedBodyBytes,
  callerLimits,
  createBodyUsage,
  createCallerServer,
  createClientLogLimit,
  createLimitReports,
  internalLimits,
  readDescriptorLimit,
  type BodyBounds,
  type CallerServer,
  type LimitReports,
} from '@bulrushbridge/caller-server'
import { systemClock, type Clock } from '@bulrushbridge/errors'
import { createIdempotencyRecords, type IdempotencyRecords } from '@bulrushbridge/idempotency'
import { createJobService } from '@bulrushbridge/jobs'
import { createOperatorApi } from '@bulrushbridge/operator-api'
import type { Metrics } from '@bulrushbridge/telemetry'
import { createCallHandler } from './call-handler.js'
import { createEntryCore, type EntryCore } from './entry-core.js'
import { createEntryTelemetry, type EntryTelemetry } from './entry-telemetry.js'
import { registerGauges } from './gauges.js'
import { createHeartbeat } from './heartbeat.js'
import { createHostListReader } from './host-list.js'
import { createJobsHandler } from './jobs-handler.js'
import { logRequestError } from './log-request-error.js'
import { createMembershipTask } from './membership-task.js'
import { createOperatorServer, type OperatorServer } from './operator-server.js'
import { notReadyReason } from './readiness.js'
import { createRequestIds } from './request-id.js'
import type { EntrySettings } from './settings.js'
import { drainEntryHost } from './shutdown.js'
import { createStorage, type Storage } from './storage.js'

/** A running entry host. */
export interface EntryHost {
  readonly view: ConfigView
  readonly addresses: { callers: string; operators: string; peers: string }
  /**
   * Resolves when others have removed this incarnation; then close it and create a new entry host.
   */
  readonly removed: Promise<void>
  /**
   * Shuts down gracefully: waits until all requests have ended, up to the limit in the settings.
   */
  close(opts?: { balancerWaitMs?: number }): Promise<void>
}

/**
 * Starts an entry host.
 *
 * @example
 * const entry = await createEntryHost(cfg)
 * await entry.close()
 */
export async function createEntryHost(cfg: EntrySettings): Promise<EntryHost> {
  const clock = systemClock
  const telemetry = createEntryTelemetry(cfg)
  const { log, metrics, tracing } = telemetry
  const limitReports = createLimitReports(log, metrics)
  const descriptors = readDescriptorLimit()
  const storage = createStorage(cfg, clock)
  const { table, committer } = storage
  const core = await createEntryCore({
    cfg,
    clock,
    storage,
    limitReports,
    descriptors,
    ...telemetry,
  })
  const { view, permits, services } = core
  const hostList = createHostListReader({
    url: cfg['hosts-url'],
    clock,
    onHosts: hosts => {
      services.setHosts(hosts)
    },
  })
  const records = createIdempotencyRecords({ table, committer, member: cfg.member, clock })
  let isShuttingDown = false
  let isRefusing = false
  const callerServer = await startCallerServer({
    ...{ cfg, clock, storage, core, records, limitReports, descriptors, ...telemetry },
    isRefusing: () => isRefusing,
  })
  const membership = createMembershipTask({ view, log, clock })
  const operatorServer = await startOperatorServer({
    ...{ cfg, clock, storage, view, metrics, limitReports, descriptors },
    notReady: () =>
      notReadyReason({ view, permits, membership, isShuttingDown: () => isShuttingDown }),
  })
  const heartbeat = createHeartbeat({
    table,
    member: cfg.member,
    incarnation: core.member.incarnation,
    operators: operatorServer.address,
    log,
  })
  registerGauges(metrics, { view, permits, services, callerServer, peerServer: core.peerServer })
  const addresses = {
    callers: callerServer.address,
    operators: operatorServer.address,
    peers: core.peerServer.address,
  }
  log.info('entry host started', { zone: cfg.zone, ...addresses })

  const close = async (opts: { balancerWaitMs?: number }) => {
    isShuttingDown = true
    await drainEntryHost({
      clock,
      log,
      balancerWaitMs: opts.balancerWaitMs ?? cfg['balancer-wait'],
      maxRequestWaitMs: cfg['shutdown-limit'],
      refuseNew: () => {
        isRefusing = true
      },
      ...{ callerServer, services, records, permits, membership },
    })
    await heartbeat.close()
    hostList.close()
    await Promise.all([callerServer.close(), operatorServer.close(), core.close()])
    await Promise.all([storage.close(), tracing.close()])
    log.info('entry host stopped')
  }
  let closed: Promise<void> | undefined
  return {
    view,
    removed: membership.removed,
    addresses,
    close: (opts = {}) => (closed ??= close(opts)),
  }
}

/** What {@link startCallerServer} needs. */
interface CallerServerParts extends EntryTelemetry {
  cfg: EntrySettings
  clock: Clock
  storage: Storage
  core: EntryCore
  records: IdempotencyRecords
  limitReports: LimitReports
  /** Descriptors that the program may open. */
  descriptors: number
  /**
   * Whether a shutdown has ended its wait for the balancer; new requests are refused from then on.
   */
  isRefusing: () => boolean
}

/** Starts the server for callers; each failed request is logged and gets a decision record. */
function startCallerServer(parts: CallerServerParts): Promise<CallerServer> {
  const { cfg, clock, storage, core, records, limitReports, log, metrics, tracing, isRefusing } =
    parts
  const logLimit = createClientLogLimit(cfg['max-client-log-lines'])
  const { view, services, keyring } = core
  const { table, committer, decisions } = storage
  const [defaultDeadlineMs, maxDeadlineMs] = [cfg['default-deadline'], cfg['max-deadline']]
  const limits = { defaultDeadlineMs, maxDeadlineMs, maxBodyBytes: cfg['max-body'] }
  const gatewayOf = (name: string) => services.get(name)
  const sharedOptions = { clock, view, keyring, isRefusing }
  const bodies = createBodyUsage({
    ...bodyBounds(cfg['max-buffered-body-bytes']),
    onExceeded: (bound, address) => {
      limitReports.report('callers', `bodies-of-${bound}`, address)
    },
  })
  const jobs = createJobService({ table, committer, member: cfg.member })
  const handleCall = createCallHandler({
    ...sharedOptions,
    records,
    metrics,
    tracing,
    limits,
    bodies,
    gatewayOf,
  })
  const handleJobs = createJobsHandler({
    ...sharedOptions,
    jobs,
    bodies,
    defaultDeadlineMs,
    maxDeadlineMs,
  })
  return createCallerServer({
    host: cfg.host,
    port: cfg['caller-port'],
    nextRequestId: createRequestIds(core.member),
    routes: {
      '/queues/:queue/call/**': handleCall,
      '/queues/:queue/call': handleCall,
      '/queues/:queue/jobs/**': handleJobs,
      '/queues/:queue/jobs': handleJobs,
    },
    limits: callerLimits(cfg, parts.descriptors),
    onLimit: (cause, address) => {
      limitReports.report('callers', cause, address)
    },
    onError: (err, req, requestId) => {
      if (logLimit.allows(req.socket.remoteAddress ?? '', performance.now()))
        logRequestError(log, err, req.url, requestId)
      else metrics.count('bulrush_client_log_lines_suppressed_total')
      decisions.record({
        subject: { kind: 'request', id: requestId },
        rule: err.kind,
        observed: { outcome: err.outcome },
        action: 'refused or failed',
      })
    },
  })
}

/** Fraction of the buffered bytes of bodies for one client address; the rest is left to others. */
const addressBodyFraction = 15 / 16

/** Most buffered bytes of bodies of one connection, enough for 16 bodies that are not streamed. */
const maxConnectionBodyBytes = 16 * bufferedBodyBytes

function bodyBounds(maxBytes: number): BodyBounds {
  return {
    maxBytes,
    maxAddressBytes: Math.floor(maxBytes * addressBodyFraction),
    maxConnectionBytes: maxConnectionBodyBytes,
  }
}

/** What {@link startOperatorServer} needs. */
interface OperatorServerParts {
  cfg: EntrySettings
  clock: Clock
  storage: Storage
  view: ConfigView
  metrics: Metrics
  limitReports: LimitReports
  /** Descriptors that the program may open. */
  descriptors: number
  notReady: () => string | undefined
}

/** Starts the server for operators and for the balancer's health checks. */
function startOperatorServer(parts: OperatorServerParts): Promise<OperatorServer> {
  const { cfg, clock, storage, view, metrics, limitReports, notReady } = parts
  const { table, objects, decisions } = storage
  const bootstrapDigest = cfg['bootstrap-digest']
  const api = createOperatorApi({
    ...{ view, table, objects, clock },
    decisions: { explain: (kind, id) => decisions.read({ kind, id, limit: maxDecisionRecords }) },
    ...(bootstrapDigest === '' ? {} : { bootstrapDigest }),
  })
  return createOperatorServer({
    host: cfg.host,
    port: cfg['operator-port'],
    metrics,
    api,
    notReady,
    limits: internalLimits(cfg, parts.descriptors),
    onLimit: (cause, address) => {
      limitReports.report('operators', cause, address)
    },
  })
}

/** Most decision records in one answer to an operator. */
const maxDecisionRecords = 100
