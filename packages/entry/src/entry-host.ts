import { randomBytes } from 'node:crypto'
import { createConfigView, type ConfigView } from '@bulrushbridge/config-view'
import type { Configuration, Member } from '@bulrushbridge/contract'
import { normalizeError, systemClock } from '@bulrushbridge/errors'
import { createIdempotencyRecords } from '@bulrushbridge/idempotency'
import { createJobs } from '@bulrushbridge/jobs'
import { createOperatorApi } from '@bulrushbridge/operator-api'
import { createPeerLinks, createPeerServer } from '@bulrushbridge/peer-link'
import { createKeyring } from '@bulrushbridge/team-keys'
import { createTeamPermits } from '@bulrushbridge/team-limit'
import {
  createLogger,
  createMetrics,
  createTraceExporter,
  createTracing,
} from '@bulrushbridge/telemetry'
import type { Report } from '@bulrushbridge/wire'
import { createCallHandler } from './call-handler.js'
import { createCallerServer } from './caller-server.js'
import { createHeartbeat } from './heartbeat.js'
import { createHostListReader } from './host-list.js'
import { createJobsHandler } from './jobs-handler.js'
import { logRequestError } from './log-request-error.js'
import { createMembershipTask } from './membership-task.js'
import { createOperatorServer } from './operator-server.js'
import { createPeerCalls } from './peer-calls.js'
import { createPeerHandlers } from './peer-handlers.js'
import { createPeerLoad, type LocalLoad } from './peer-load.js'
import { registerGauges } from './gauges.js'
import { createRequestIds } from './request-id.js'
import { createServices } from './services.js'
import { createSettlementCheck } from './settlement-check.js'
import { loadPeerTls } from './load-peer-tls.js'
import { notReadyReason } from './readiness.js'
import { createStorage } from './storage.js'
import type { EntrySettings } from './settings.js'
import { drainEntryHost } from './shutdown.js'

/** A running entry host. */
export interface EntryHost {
  readonly view: ConfigView
  readonly addresses: { callers: string; operators: string; peers: string }
  /** Resolves when the others have removed this incarnation; close it and create a new one. */
  readonly removed: Promise<void>
  /** Shuts down gracefully: no request is cut. */
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
  const incarnation = randomBytes(6).toString('hex')
  const log = createLogger({
    program: 'bulrush-entry',
    member: cfg.member,
    level: cfg['log-level'],
  })
  const metrics = createMetrics()
  const tracing = createTracing({
    program: 'bulrush-entry',
    member: cfg.member,
    ratio: cfg['trace-ratio'],
    exporter:
      cfg['trace-url'] === ''
        ? undefined
        : createTraceExporter({
            url: cfg['trace-url'],
            onDrop: (spans, err) => {
              log.warn('spans were dropped', { spans, error: err.message })
            },
          }),
  })
  const storage = createStorage(cfg, clock)
  const { table, objects, committer, decisions } = storage
  const peerTls = loadPeerTls(cfg, log)
  const links = createPeerLinks({ secret: cfg['peer-secret'], tls: peerTls })
  const peerLoad = createPeerLoad({ clock })

  const calls = createPeerCalls({
    links,
    clock,
    member: { id: cfg.member, incarnation },
    seeds: cfg.peers,
    addressOf: id => view.committed().members[id],
    readLocal: () => readLocal(),
    learn: report => {
      learn(report)
    },
  })
  const peers = await createPeerServer({
    host: cfg.host,
    port: cfg['peer-port'],
    secret: cfg['peer-secret'],
    tls: peerTls,
    handlers: createPeerHandlers({
      view: () => view,
      permits: () => permits,
      readLocal: () => readLocal(),
      learn: report => {
        learn(report)
      },
    }),
  })
  const member: Member = {
    id: cfg.member,
    zone: cfg.zone,
    peerAddress: peers.address,
    incarnation,
  }
  const view = createConfigView({
    member,
    table,
    objects,
    peers: calls.config,
    clock,
    onError: err => {
      log.debug('view: a background call failed', { error: normalizeError(err).message })
    },
  })
  const permits = createTeamPermits({
    member: cfg.member,
    incarnation,
    table,
    peers: calls.permits,
    isSettled: createSettlementCheck({ view }),
    clock,
    rng: Math.random,
    onFree: () => {
      services.pump()
    },
  })
  const services = createServices({
    member,
    clock,
    rng: Math.random,
    permits,
    tracing,
    onDecision: (service, decision) => {
      log.info(`runner ${decision.kind}`, { service, runner: decision.runner })
      decisions.record({
        subject: { kind: 'runner', id: decision.runner },
        rule: `runner-${decision.kind}`,
        observed: { service, ...decision.observed },
        action: decision.kind,
      })
    },
  })
  const readLocal = (): LocalLoad => ({
    demand: services.demand(),
    runners: services.load(),
    spare: [...permits.spare()].map(([team, count]) => ({ team, count })),
  })
  const learn = (report: Report) => {
    peerLoad.learn(report)
    services.learn(report, peerLoad.byRunner())
    permits.observePeer(
      report.member,
      new Map(report.spare.map(({ team, count }) => [team, count])),
    )
  }

  let keyring = createKeyring({ keys: view.current() })
  const applyConfiguration = (next: Configuration) => {
    keyring = createKeyring({ keys: next })
    services.configure(next)
    services.refuseKeys(keyring)
    permits.configure({
      version: next.version,
      limits: new Map(Object.values(next.teams).map(({ name, limit }) => [name, limit])),
      members: Object.values(next.members),
    })
    links.retain(new Set(Object.keys(next.members)))
  }
  const stopListening = view.onChange(applyConfiguration)
  applyConfiguration(view.current())
  permits.start()
  const ticker = setInterval(() => {
    permits.setConfirmed(view.confirmedUntil())
    for (const { team, waiting } of services.waiting()) permits.setWaiting(team, waiting)
  }, tickMs)
  const hostList = createHostListReader({
    url: cfg['hosts-url'],
    clock,
    onHosts: hosts => {
      services.setHosts(hosts)
    },
  })

  const records = createIdempotencyRecords({ table, committer, member: cfg.member, clock })
  let shuttingDown = false
  let refusing = false
  const callers = await createCallerServer({
    host: cfg.host,
    port: cfg['caller-port'],
    nextRequestId: createRequestIds(member),
    call: createCallHandler({
      clock,
      view,
      records,
      metrics,
      tracing,
      limits: {
        defaultDeadlineMs: cfg['default-deadline'],
        maxDeadlineMs: cfg['max-deadline'],
        maxBodyBytes: cfg['max-body'],
      },
      keyring: () => keyring,
      service: name => services.get(name),
      isRefusing: () => refusing,
    }),
    jobs: createJobsHandler({
      clock,
      view,
      jobs: createJobs({ table, committer, member: cfg.member }),
      defaultDeadlineMs: cfg['default-deadline'],
      maxDeadlineMs: cfg['max-deadline'],
      keyring: () => keyring,
      isRefusing: () => refusing,
    }),
    onError: (err, req, requestId) => {
      logRequestError(log, err, req.url, requestId)
      decisions.record({
        subject: { kind: 'request', id: requestId },
        rule: err.kind,
        observed: { outcome: err.outcome },
        action: 'refused or failed',
      })
    },
  })
  const membership = createMembershipTask({ view, log, clock })
  const operators = await createOperatorServer({
    host: cfg.host,
    port: cfg['operator-port'],
    metrics,
    api: createOperatorApi({
      view,
      table,
      objects,
      clock,
      decisions: { explain: (kind, id) => decisions.read({ kind, id, limit: maxDecisions }) },
      ...(cfg['bootstrap-digest'] === '' ? {} : { bootstrapDigest: cfg['bootstrap-digest'] }),
    }),
    notReady: () =>
      notReadyReason({ view, permits, membership, isShuttingDown: () => shuttingDown }),
  })
  const heartbeat = createHeartbeat({
    table,
    member: cfg.member,
    incarnation,
    operators: operators.address,
    log,
  })
  registerGauges(metrics, { view, permits, services, callers, peers })
  log.info('entry host started', {
    zone: cfg.zone,
    callers: callers.address,
    operators: operators.address,
    peers: peers.address,
  })

  let closed: Promise<void> | undefined
  const close = async (opts: { balancerWaitMs?: number }) => {
    shuttingDown = true
    await drainEntryHost({
      clock,
      log,
      balancerWaitMs: opts.balancerWaitMs ?? cfg['balancer-wait'],
      limitMs: cfg['shutdown-limit'],
      refuseNew: () => {
        refusing = true
      },
      callers,
      services,
      records,
      permits,
      membership,
    })
    clearInterval(ticker)
    await heartbeat.close()
    hostList.close()
    stopListening()
    view.close()
    await Promise.all([callers.close(), operators.close(), peers.close()])
    links.close()
    peerTls?.close()
    await Promise.all([storage.close(), tracing.close()])
    log.info('entry host stopped')
  }

  return {
    view,
    removed: membership.removed,
    addresses: {
      callers: callers.address,
      operators: operators.address,
      peers: peers.address,
    },
    close: (opts = {}) => (closed ??= close(opts)),
  }
}

/** Most decision records in one answer to an operator. */
const maxDecisions = 100

/** Interval at which waiting requests and the confirmation reach the permits, in milliseconds. */
const tickMs = 50
