import type { IncomingMessage } from 'node:http'
import {
  callerLimits,
  createCachedValue,
  createCallerServer,
  createClientLogLimit,
  createLimitReports,
  internalLimits,
  readDescriptorLimit,
  type CallerServer,
  type ClientLimitSettings,
  type ClientLogLimit,
  type ClientPort,
  type LimitReports,
} from '@bulrushbridge/caller-server'
import { createDispatcher, type Dispatcher } from '@bulrushbridge/dispatcher'
import { normalizeError, type RequestError, systemClock } from '@bulrushbridge/errors'
import {
  createAdmission,
  createJobAcceptor,
  createJobHandler,
  type Admission,
  type JobAcceptor,
} from '@bulrushbridge/job-front'
import {
  configurationKey,
  createAdviceClient,
  createMachineClient,
  createRunnerClient,
  createStoreClient,
  deadlineHeader,
  decodeConfiguration,
  decodeJob,
  decodeKey,
  decodeRunner,
  decodeWave,
  decodeEvacuatedZone,
  encodeStatus,
  encodeWaitingCount,
  isJobId,
  operatorTable,
  readHostSettings,
  readinessPath,
  runnersTable,
  waveStatusRow,
  type HostSettings,
} from '@bulrushbridge/platform'
import {
  announceRelay,
  createRelayedRunners,
  createRelayServer,
  type RelayAnnouncer,
  type RelayServer,
} from '@bulrushbridge/runner-relay'
import { createOperatorView, type OperatorView } from '@bulrushbridge/scheduler'
import {
  followTable,
  wait,
  type FollowableTableService,
  type TableFollower,
} from '@bulrushbridge/store'
import { createMetrics, type Logger, type Metrics } from '@bulrushbridge/telemetry'
import { dispatchCapacity } from './dispatch-capacity.js'
import { followLoad } from './follow-load.js'
import { createInternalServer, type InternalServer } from './internal-server.js'
import { relayRunners } from './relay-runners.js'
import { dispatcherTiming } from './timing.js'

/** Pause between two calls that wait for changes of the operators' table, in milliseconds. */
const operatorPollPauseMs = 30

/**
 * Age of the view, in milliseconds, above which the host reports that it is not ready, so that
 * callers use other hosts. The operators' limits for their changes are 2 s.
 */
const maxViewAgeMs = 2_500

/** Greatest age of the view, in milliseconds, for refusing a request for its queue or key. */
const maxRefusalViewAgeMs = 400

/** Timeout for reading the configuration again before a request is refused, in milliseconds. */
const refreshTimeoutMs = 500

/**
 * Fraction of the time from SIGTERM to SIGKILL in which new requests on open connections are still
 * accepted.
 */
const servingFraction = 0.6

/**
 * Fraction of the time from SIGTERM to SIGKILL after which requests in progress are cut off and the
 * process exits.
 */
const exitFraction = 0.9

/** Interval at which a shutdown checks whether requests are in progress, in milliseconds. */
const drainCheckIntervalMs = 50

/**
 * Age up to which a response to the readiness check is used again, in milliseconds; it is far below
 * the age of the view from which a host is not ready.
 */
const readinessAgeMs = 50

/** Age up to which the text of the metrics is used again, in milliseconds. */
const metricsAgeMs = 250

/** Most characters of a request line in a log line; a target may have 16,000. */
const maxLoggedRequestLength = 200

/** Options of {@link createHostProgram}. */
export interface HostProgramOptions {
  /** Path of the settings file. */
  settingsPath: string
  log: Logger
  /** Returns the number of log lines that have been suppressed so far. */
  suppressedLines: () => number
  /** Lifetime of the lease under which one host is the dispatcher, in milliseconds. */
  dispatcherLeaseMs?: number
  /** Bounds on what clients may make the program hold. */
  clientLimits: ClientLimitSettings
  /** Time for a whole request of a caller to arrive, in milliseconds. */
  requestTimeoutMs: number
}

/** The running program of one entry host. */
export interface HostProgram {
  /** Reads the settings file again and logs whether the settings have changed. */
  reload(): void
  /** Completes the requests in progress and stops the program. */
  close(reason: string): Promise<void>
}

/**
 * Starts the program of an entry host.
 *
 * @throws SettingsError when the settings are wrong; the server's error when a port is taken.
 * @example
 * const program = await createHostProgram({ settingsPath: '/etc/bulrushbridge/settings.toml', log, suppressedLines })
 */
export async function createHostProgram(opts: HostProgramOptions): Promise<HostProgram> {
  const cfg = readHostSettings(opts.settingsPath)
  const program = new EntryHostProgram(cfg, opts)
  await program.start()
  return program
}

class EntryHostProgram implements HostProgram {
  readonly #cfg: HostSettings
  readonly #opts: HostProgramOptions
  readonly #log: Logger
  readonly #metrics: Metrics = createMetrics()
  readonly #store: FollowableTableService
  readonly #view: OperatorView
  readonly #operatorFollower: TableFollower
  readonly #admission: Admission
  readonly #loadFollower: TableFollower
  readonly #acceptor: JobAcceptor
  readonly #dispatcher: Dispatcher
  readonly #limitReports: LimitReports
  readonly #clientLogLimit: ClientLogLimit
  /** Descriptors that the program may open. */
  readonly #descriptors: number
  #internalServers: InternalServer[] = []
  #relayServer: RelayServer | undefined
  #relayAnnouncer: RelayAnnouncer | undefined
  #callerServer: CallerServer | undefined
  #isShuttingDown = false
  #requestCount = 0

  constructor(cfg: HostSettings, opts: HostProgramOptions) {
    this.#cfg = cfg
    this.#opts = opts
    this.#log = opts.log
    const processDescriptors = readDescriptorLimit()
    // The platform counts sockets apart from the files that the limit of the process is for.
    this.#descriptors = cfg.maxDescriptors ?? processDescriptors
    this.#log.info('descriptors', { stated: cfg.maxDescriptors, ofProcess: processDescriptors })
    this.#store = createStoreClient(cfg.storeAddress)
    this.#view = createLoggedView(this.#log)
    this.#operatorFollower = this.#followOperatorTable()
    this.#admission = createAdmission({ log: this.#log, metrics: this.#metrics })
    this.#loadFollower = followLoad({
      store: this.#store,
      admission: this.#admission,
      log: this.#log,
    })
    this.#acceptor = createJobAcceptor(this.#store)
    this.#dispatcher = this.#createDispatcher()
    this.#limitReports = createLimitReports(this.#log, this.#metrics)
    this.#clientLogLimit = createClientLogLimit(opts.clientLimits['max-client-log-lines'])
    this.#addGauges()
  }

  async start(): Promise<void> {
    const { name, zone, processorCores, linkMbps } = this.#cfg
    const [host = '', port = ''] = this.#cfg.callerAddress.split(':')
    this.#callerServer = await createCallerServer({
      host,
      port: Number(port),
      nextRequestId: () => `${name}-${++this.#requestCount}`,
      routes: { '/**': this.#createHandler() },
      onError: (err, req, requestId) => {
        this.#recordFailedRequest(err, req, requestId)
      },
      limits: callerLimits(this.#opts.clientLimits, this.#descriptors),
      requestTimeoutMs: this.#opts.requestTimeoutMs,
      onLimit: (cause, address) => {
        this.#limitReports.report('callers', cause, address)
      },
    })
    await this.#serveReadiness()
    await this.#serveMetrics()
    await this.#serveRelay()
    this.#log.info('host program started', {
      host: name,
      zone,
      processorCores,
      linkMbps,
      startsPerSecond: dispatchCapacity(this.#cfg),
    })
  }

  reload(): void {
    try {
      const cfg = readHostSettings(this.#opts.settingsPath)
      const isSame = JSON.stringify(cfg) === JSON.stringify(this.#cfg)
      this.#log.info('settings file read again', { isSame })
    } catch (err) {
      // The program goes on with the settings that it started with.
      this.#log.error('settings file could not be read again; settings are unchanged', {
        reason: normalizeError(err).message,
      })
    }
  }

  async close(reason: string): Promise<void> {
    this.#isShuttingDown = true
    const startedAt = performance.now()
    this.#log.info('host program is shutting down', {
      reason,
      active: this.#callerServer?.activeRequests(),
    })
    this.#callerServer?.drain()
    await Promise.all([this.#dispatcher.close(), this.#relayAnnouncer?.close()])
    await this.#waitUntil(startedAt + servingFraction * this.#cfg.shutdownTimeoutMs, () => false)
    this.#callerServer?.closeIdle()
    await this.#waitUntil(
      startedAt + exitFraction * this.#cfg.shutdownTimeoutMs,
      () => this.#callerServer?.activeRequests() === 0,
    )
    await this.#callerServer?.close()
    await this.#acceptor.close()
    await this.#operatorFollower.close()
    await this.#loadFollower.close()
    await this.#store.close()
    await this.#relayServer?.close()
    for (const server of this.#internalServers) server.close()
    this.#log.info('host program stopped', { tookMs: Math.round(performance.now() - startedAt) })
  }

  #followOperatorTable(): TableFollower {
    return followTable({
      store: this.#store,
      table: operatorTable,
      parts: [''],
      pauseMs: operatorPollPauseMs,
      onSnapshot: rows => {
        this.#view.applySnapshot(rows)
      },
      onChanges: rows => {
        this.#view.applyChanges(rows)
      },
      onRejected: ({ key }, reason) => {
        this.#log.error('row could not be applied', { table: operatorTable, key, reason })
      },
      onState: (state, detail) => {
        this.#log.warn(`change feed ${state}`, { table: operatorTable, detail })
      },
    })
  }

  #createDispatcher(): Dispatcher {
    const cfg = this.#cfg
    const dispatcherLeaseMs = this.#opts.dispatcherLeaseMs ?? 2_000
    return createDispatcher({
      store: this.#store,
      holder: cfg.name,
      startsPerSecond: dispatchCapacity(cfg),
      timing: dispatcherTiming(cfg, dispatcherLeaseMs),
      view: this.#view,
      runners: { table: runnersTable, decode: decodeRunner },
      connectRunners: () =>
        createRelayedRunners({
          store: this.#store,
          host: cfg.name,
          startsPerSecond: dispatchCapacity(cfg),
          createRunner: createRunnerClient,
          log: this.#log,
        }),
      machines:
        cfg.machineServiceAddress === ''
          ? undefined
          : createMachineClient(cfg.machineServiceAddress),
      machineOrdersPerSecond: cfg.machineOrdersPerSecond,
      machineListsPerSecond: cfg.machineListsPerSecond,
      advice:
        cfg.adviceServiceAddress === '' ? undefined : createAdviceClient(cfg.adviceServiceAddress),
      waveStatusRow,
      log: this.#log,
      metrics: this.#metrics,
    })
  }

  #createHandler() {
    return createJobHandler({
      view: this.#view,
      store: this.#store,
      acceptor: this.#acceptor,
      admission: this.#admission,
      codec: { deadlineHeader, isJobId, decodeKey, decodeJob, encodeStatus, encodeWaitingCount },
      refreshView: () => this.#refreshView(),
      log: this.#log,
      metrics: this.#metrics,
    })
  }

  /**
   * Reads the configuration again when the view is not recent. A request must not be refused
   * because of a queue or key that was added a moment ago.
   */
  async #refreshView(): Promise<void> {
    const confirmedAt = this.#operatorFollower.confirmedAt()
    const now = performance.now()
    if (confirmedAt !== undefined && now - confirmedAt < maxRefusalViewAgeMs) return
    try {
      const deadline = now + refreshTimeoutMs
      const row = await this.#store.read(operatorTable, configurationKey, { deadline })
      if (row !== undefined) this.#view.applyChanges([{ ...row, isDeleted: false }])
    } catch (err) {
      this.#log.warn('configuration could not be read again before a request was refused', {
        reason: normalizeError(err).message,
      })
    }
  }

  async #serveReadiness(): Promise<void> {
    const readReason = createCachedValue(() => this.#notReadyReason(), readinessAgeMs)
    await this.#serve('readiness', this.#cfg.readinessAddress, path => {
      if (path !== readinessPath) return { status: 404, body: '' }
      const reason = readReason(performance.now())
      return { status: reason === undefined ? 200 : 503, body: reason ?? 'ready' }
    })
  }

  async #serveMetrics(): Promise<void> {
    const readText = createCachedValue(() => this.#metrics.render(), metricsAgeMs)
    await this.#serve('metrics', `${this.#cfg.ip}:${this.#cfg.metricsPort}`, path =>
      path === '/metrics'
        ? { status: 200, body: readText(performance.now()) }
        : { status: 404, body: '' },
    )
  }

  /** Serves calls to runners for the dispatcher of another host, and announces that. */
  async #serveRelay(): Promise<void> {
    const { ip, relayPort, name, zone } = this.#cfg
    this.#relayServer = await createRelayServer({
      host: ip,
      port: relayPort,
      createRunner: createRunnerClient,
      log: this.#log,
      onCall: kind => {
        this.#metrics.count('bulrush_relayed_calls_total', { kind })
      },
      limits: internalLimits(this.#opts.clientLimits, this.#descriptors),
      maxRunners: relayRunners(this.#descriptors),
      onLimit: (cause, clientAddress) => {
        this.#limitReports.report('relay', cause, clientAddress)
      },
    })
    const { address, instance } = this.#relayServer
    const relay = { address, instance, zone, startsPerSecond: dispatchCapacity(this.#cfg) }
    this.#relayAnnouncer = announceRelay({ store: this.#store, host: name, relay, log: this.#log })
  }

  async #serve(
    port: ClientPort,
    address: string,
    respond: (path: string) => { status: number; body: string },
  ): Promise<void> {
    const server = await createInternalServer({
      address,
      respond,
      limits: internalLimits(this.#opts.clientLimits, this.#descriptors),
      onLimit: (cause, clientAddress) => {
        this.#limitReports.report(port, cause, clientAddress)
      },
    })
    this.#internalServers.push(server)
  }

  #notReadyReason(): string | undefined {
    if (this.#isShuttingDown) return 'shutting down'
    if (this.#view.configuration() === undefined) return 'no configuration yet'
    const confirmedAt = this.#operatorFollower.confirmedAt() ?? 0
    const isStale = performance.now() - confirmedAt > maxViewAgeMs
    return isStale ? 'the store does not answer' : undefined
  }

  #recordFailedRequest(err: RequestError, req: IncomingMessage, requestId: string): void {
    const { kind, outcome, retryAfterMs } = err
    this.#metrics.count('bulrush_requests_refused_total', { kind })
    if (!this.#clientLogLimit.allows(req.socket.remoteAddress ?? '', performance.now())) {
      this.#metrics.count('bulrush_client_log_lines_suppressed_total')
      return
    }
    const request = `${req.method ?? ''} ${req.url ?? ''}`.slice(0, maxLoggedRequestLength)
    const fields = { request, requestId, kind, outcome, retryAfterMs }
    const reason = err.cause instanceof Error ? err.cause.message : undefined
    this.#log.info('request failed', {
      ...fields,
      reason,
      configuration: this.#view.configuration()?.version,
    })
  }

  #addGauges(): void {
    this.#metrics.gauge('bulrush_dispatcher', 'Whether this host places all work', () => [
      { value: this.#dispatcher.isHolder ? 1 : 0 },
    ])
    this.#metrics.gauge('bulrush_view_age_ms', 'Age of the view of operators', () => [
      { value: performance.now() - (this.#operatorFollower.confirmedAt() ?? 0) },
    ])
    this.#metrics.gauge('bulrush_client_held', 'What callers make this host hold', () =>
      Object.entries(this.#callerServer?.held() ?? {}).map(([kind, value]) => ({
        labels: { kind },
        value,
      })),
    )
    this.#metrics.gauge('bulrush_log_lines_suppressed', 'Log lines suppressed', () => [
      { value: this.#opts.suppressedLines() },
    ])
  }

  async #waitUntil(deadline: number, isDone: () => boolean): Promise<void> {
    while (performance.now() < deadline && !isDone()) {
      await wait(systemClock, drainCheckIntervalMs)
    }
  }
}

function createLoggedView(log: Logger): OperatorView {
  return createOperatorView({
    decoders: {
      configurationKey,
      configuration: decodeConfiguration,
      withdrawnZoneOf: decodeEvacuatedZone,
      wave: decodeWave,
    },
    onApplied: (what, fields) => {
      log.info('operator change adopted', { what, ...fields })
    },
    onUnreadable: key => {
      log.error('row of the operator table is malformed', { key })
    },
  })
}
