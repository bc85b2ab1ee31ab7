import { createServer, type Server } from 'node:http'
import { createCallerServer, listen, type CallerServer } from '@bulrushbridge/caller-server'
import { createDispatcher, type Dispatcher } from '@bulrushbridge/dispatcher'
import { normalizeError, type RequestError, systemClock } from '@bulrushbridge/errors'
import { createJobAcceptor, createJobHandler, type JobAcceptor } from '@bulrushbridge/job-front'
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
import { createOperatorView, type OperatorView } from '@bulrushbridge/scheduler'
import {
  followTable,
  wait,
  type FollowedTableService,
  type TableFollower,
} from '@bulrushbridge/store'
import { createMetrics, type Logger, type Metrics } from '@bulrushbridge/telemetry'
import { dispatcherTiming } from './timing.js'

/** Pause between two calls for the operators' changes, in milliseconds. */
const ordersPauseMs = 30

/** A host whose view is older than this sends callers elsewhere; operators' bounds are 2 s. */
const maxViewAgeMs = 2_500

/** A refusal for an unknown queue or key needs a view that is not older than this, in milliseconds. */
const confirmedViewMs = 400

/** Time for reading the configuration again before a refusal, in milliseconds. */
const confirmTimeoutMs = 500

/** Of the time to SIGKILL, the part in which requests are still taken, for callers on open connections. */
const servingShare = 0.6

/** Of the time to SIGKILL, the part by which the process has ended. */
const endShare = 0.9

/** Interval at which the end of the requests in progress is checked, in milliseconds. */
const idleCheckMs = 50

/** Options of {@link createHostProgram}. */
export interface HostProgramOptions {
  /** Path of the settings file. */
  path: string
  log: Logger
  /** Log lines that were suppressed so far. */
  suppressed: () => number
  /** Lifetime of the dispatcher's lease, in milliseconds. */
  dutyLeaseMs?: number
}

/** The running program of one entry host. */
export interface HostProgram {
  /** Reads the settings again. */
  reload(): void
  /** Serves the requests in progress and ends. */
  close(reason: string): Promise<void>
}

/**
 * Starts the program of an entry host.
 *
 * @throws SettingsError when the settings are wrong or a port is taken.
 * @example
 * const program = await createHostProgram({ path: '/etc/bulrushbridge/settings.toml', log, suppressed })
 */
export async function createHostProgram(opts: HostProgramOptions): Promise<HostProgram> {
  const cfg = readHostSettings(opts.path)
  const program = new RunningHost(cfg, opts)
  await program.open()
  return program
}

class RunningHost implements HostProgram {
  readonly #cfg: HostSettings
  readonly #opts: HostProgramOptions
  readonly #log: Logger
  readonly #metrics: Metrics = createMetrics()
  readonly #store: FollowedTableService
  readonly #view: OperatorView
  readonly #orders: TableFollower
  readonly #acceptor: JobAcceptor
  readonly #dispatcher: Dispatcher
  #servers: Server[] = []
  #callers: CallerServer | undefined
  #isShuttingDown = false
  #requests = 0

  constructor(cfg: HostSettings, opts: HostProgramOptions) {
    this.#cfg = cfg
    this.#opts = opts
    this.#log = opts.log
    this.#store = createStoreClient(cfg.storeAddress)
    this.#view = createView(this.#log)
    this.#orders = this.#followOrders()
    this.#acceptor = createJobAcceptor(this.#store)
    this.#dispatcher = this.#createDispatcher()
    this.#addGauges()
  }

  async open(): Promise<void> {
    const { name, zone } = this.#cfg
    const [host = '', port = ''] = this.#cfg.callersAddress.split(':')
    this.#callers = await createCallerServer({
      host,
      port: Number(port),
      nextRequestId: () => `${name}-${++this.#requests}`,
      routes: { '/**': this.#createHandler() },
      onError: (err, req, requestId) => {
        this.#logRefusal(err, `${req.method ?? ''} ${req.url ?? ''}`, requestId)
      },
    })
    await this.#serveReadiness()
    await this.#serveMetrics()
    this.#log.info('started', { host: name, zone })
  }

  reload(): void {
    try {
      const cfg = readHostSettings(this.#opts.path)
      const isSame = JSON.stringify(cfg) === JSON.stringify(this.#cfg)
      this.#log.info('settings read again', { isSame })
    } catch (err) {
      // The settings in force stay in force.
      this.#log.error('settings not taken over', { reason: normalizeError(err).message })
    }
  }

  async close(reason: string): Promise<void> {
    this.#isShuttingDown = true
    const startedAt = performance.now()
    this.#log.info('stopping', { reason, active: this.#callers?.active() })
    this.#callers?.drain()
    await this.#dispatcher.close()
    await this.#waitUntil(startedAt + servingShare * this.#cfg.shutdownMs, () => false)
    this.#callers?.closeIdle()
    await this.#waitUntil(
      startedAt + endShare * this.#cfg.shutdownMs,
      () => this.#callers?.active() === 0,
    )
    await this.#callers?.close()
    await this.#acceptor.close()
    await this.#orders.close()
    await this.#store.close()
    for (const server of this.#servers) server.close()
    this.#log.info('stopped', { tookMs: Math.round(performance.now() - startedAt) })
  }

  #followOrders(): TableFollower {
    return followTable({
      store: this.#store,
      table: operatorTable,
      parts: [''],
      pauseMs: ordersPauseMs,
      onSnapshot: rows => {
        this.#view.applySnapshot(rows)
      },
      onChanges: rows => {
        this.#view.applyChanges(rows)
      },
      onState: (state, detail) => {
        this.#log.warn(`feed ${state}`, { table: operatorTable, detail })
      },
    })
  }

  #createDispatcher(): Dispatcher {
    const cfg = this.#cfg
    const dutyLeaseMs = this.#opts.dutyLeaseMs ?? 2_000
    return createDispatcher({
      store: this.#store,
      holder: cfg.name,
      timing: dispatcherTiming(cfg, dutyLeaseMs),
      view: this.#view,
      runners: { table: runnersTable, decode: decodeRunner },
      createRunner: createRunnerClient,
      machines: cfg.machinesAddress === '' ? undefined : createMachineClient(cfg.machinesAddress),
      advice: cfg.adviceAddress === '' ? undefined : createAdviceClient(cfg.adviceAddress),
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
      codec: { deadlineHeader, isJobId, decodeKey, decodeJob, encodeStatus, encodeWaitingCount },
      refreshView: () => this.#confirmView(),
      log: this.#log,
      metrics: this.#metrics,
    })
  }

  /** A queue or key may have been added a moment ago; a refusal is given on a fresh view. */
  async #confirmView(): Promise<void> {
    const confirmedAt = this.#orders.confirmedAt()
    const now = performance.now()
    if (confirmedAt !== undefined && now - confirmedAt < confirmedViewMs) return
    try {
      const deadline = now + confirmTimeoutMs
      const row = await this.#store.read(operatorTable, configurationKey, { deadline })
      if (row !== undefined) this.#view.applyChanges([{ ...row, isDeleted: false }])
    } catch (err) {
      this.#log.warn('view not confirmed', { reason: normalizeError(err).message })
    }
  }

  async #serveReadiness(): Promise<void> {
    await this.#serve(this.#cfg.readinessAddress, path => {
      if (path !== readinessPath) return { status: 404, body: '' }
      const reason = this.#notReadyReason()
      return { status: reason === undefined ? 200 : 503, body: reason ?? 'ready' }
    })
  }

  async #serveMetrics(): Promise<void> {
    await this.#serve(`${this.#cfg.ip}:${this.#cfg.metricsPort}`, path =>
      path === '/metrics'
        ? { status: 200, body: this.#metrics.render() }
        : { status: 404, body: '' },
    )
  }

  async #serve(
    address: string,
    answer: (path: string) => { status: number; body: string },
  ): Promise<void> {
    const [host = '', port = ''] = address.split(':')
    const server = createServer((req, res) => {
      const { status, body } = answer(req.url ?? '')
      res.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' }).end(body)
    })
    await listen(server, host, Number(port))
    this.#servers.push(server)
  }

  #notReadyReason(): string | undefined {
    if (this.#isShuttingDown) return 'shutting down'
    if (this.#view.configuration() === undefined) return 'no configuration yet'
    const confirmedAt = this.#orders.confirmedAt() ?? 0
    const isStale = performance.now() - confirmedAt > maxViewAgeMs
    return isStale ? 'the store does not answer' : undefined
  }

  #logRefusal(err: RequestError, request: string, requestId: string): void {
    const { kind, outcome, retryAfterMs } = err
    const fields = { request, requestId, kind, outcome, retryAfterMs }
    const reason = err.cause instanceof Error ? err.cause.message : undefined
    this.#log.info('request not served', {
      ...fields,
      reason,
      configuration: this.#view.configuration()?.version,
    })
    this.#metrics.count('bulrush_requests_refused_total', { kind })
  }

  #addGauges(): void {
    this.#metrics.gauge('bulrush_dispatcher', 'Whether this host places all work', () => [
      { value: this.#dispatcher.isHolder ? 1 : 0 },
    ])
    this.#metrics.gauge('bulrush_view_age_ms', 'Age of the view of operators', () => [
      { value: performance.now() - (this.#orders.confirmedAt() ?? 0) },
    ])
    this.#metrics.gauge('bulrush_log_lines_suppressed', 'Log lines suppressed', () => [
      { value: this.#opts.suppressed() },
    ])
  }

  async #waitUntil(deadline: number, isDone: () => boolean): Promise<void> {
    while (performance.now() < deadline && !isDone()) {
      await wait(systemClock, idleCheckMs)
    }
  }
}

function createView(log: Logger): OperatorView {
  return createOperatorView({
    decoders: {
      configurationKey,
      configuration: decodeConfiguration,
      zoneOut: decodeEvacuatedZone,
      wave: decodeWave,
    },
    onAdopted: (what, fields) => {
      log.info('operators changed', { what, ...fields })
    },
    onUnreadable: key => {
      log.error('row of operators unreadable', { key })
    },
  })
}
