import { randomBytes } from 'node:crypto'
import { createConfigView, type ConfigView } from '@bulrushbridge/config-view'
import { internalLimits, type LimitReports } from '@bulrushbridge/caller-server'
import type { EnvironmentConfiguration, Member } from '@bulrushbridge/contract'
import { normalizeError, type Clock } from '@bulrushbridge/errors'
import { createPeerLinks, createPeerServer } from '@bulrushbridge/peer-link'
import { createKeyring, type Keyring } from '@bulrushbridge/team-keys'
import { createTeamPermits, type TeamPermits } from '@bulrushbridge/team-limit'
import type { RoutingDecision } from '@bulrushbridge/upstream-routing'
import type { Report } from '@bulrushbridge/wire'
import type { EntryTelemetry } from './entry-telemetry.js'
import { loadPeerTls } from './load-peer-tls.js'
import { createPeerCalls } from './peer-calls.js'
import { createPeerHandlers } from './peer-handlers.js'
import { createPeerLoad, type LocalLoad } from './peer-load.js'
import { createServices, type Services } from './services.js'
import type { EntrySettings } from './settings.js'
import { createSettlementCheck } from './settlement-check.js'
import type { Storage } from './storage.js'

/**
 * Interval at which the permits get the numbers of waiting requests and the time until which the
 * view is confirmed, in milliseconds.
 */
const permitUpdateMs = 50

/** Options of {@link createEntryCore}. */
export interface EntryCoreOptions extends EntryTelemetry {
  cfg: EntrySettings
  clock: Clock
  storage: Storage
  limitReports: LimitReports
  /** Descriptors that the program may open. */
  descriptors: number
}

/** The core of an entry host: configuration view, permits, services and peer server. */
export interface EntryCore {
  readonly member: Member
  readonly view: ConfigView
  readonly permits: TeamPermits
  readonly services: Services
  readonly peerServer: Awaited<ReturnType<typeof createPeerServer>>
  /** Returns the keys in force. */
  keyring: () => Keyring
  /** Stops following the configuration and closes the links to peers. */
  close(): Promise<void>
}

/**
 * Starts the core of an entry host. It serves peers and follows the configuration, but accepts no
 * requests of callers.
 *
 * @example
 * const telemetry = createEntryTelemetry(cfg)
 * const core = await createEntryCore({ cfg, clock, storage, limitReports, descriptors, ...telemetry })
 * await core.close()
 */
export async function createEntryCore(opts: EntryCoreOptions): Promise<EntryCore> {
  const { cfg, clock, storage, log, tracing } = opts
  const incarnation = randomBytes(6).toString('hex')
  const tls = loadPeerTls(cfg, log)
  const secret = cfg['peer-secret']
  const links = createPeerLinks({ secret, tls })
  const peerLoad = createPeerLoad({ clock })
  // These callbacks use parts that are created further down: reports to peers contain the load of
  // permits and services, which need the view, which needs the peers.
  const readLoad = (): LocalLoad => ({
    demand: services.demand(),
    runners: services.load(),
    spare: [...permits.spare()].map(([team, count]) => ({ team, count })),
  })
  const applyReport = (report: Report) => {
    peerLoad.applyReport(report)
    services.applyReport(report, peerLoad.requestsByRunner())
    const spare = new Map(report.spare.map(({ team, count }) => [team, count]))
    permits.recordPeerSpare(report.member, spare)
  }
  const calls = createPeerCalls({
    links,
    clock,
    member: { id: cfg.member, incarnation },
    seeds: cfg.peers,
    addressOf: id => view.committed().members[id],
    readLoad,
    onReport: applyReport,
  })
  const peerServer = await createPeerServer({
    host: cfg.host,
    port: cfg['peer-port'],
    secret,
    tls,
    maxConnections: internalLimits(cfg, opts.descriptors).maxConnections,
    onLimit: (cause, address) => {
      opts.limitReports.report('peers', cause, address)
    },
    handlers: createPeerHandlers({
      view: () => view,
      permits: () => permits,
      readLoad,
      onReport: applyReport,
    }),
  })
  const member = { id: cfg.member, zone: cfg.zone, peerAddress: peerServer.address, incarnation }
  const view = createConfigView({
    member,
    table: storage.table,
    objects: storage.objects,
    peers: calls.config,
    clock,
    onError: err => {
      log.debug('configuration view: a background call failed', {
        error: normalizeError(err).message,
      })
    },
  })
  const permits = createTeamPermits({
    member: cfg.member,
    incarnation,
    table: storage.table,
    peers: calls.permits,
    isSettled: createSettlementCheck({ view }),
    clock,
    rng: Math.random,
    onFree: () => {
      services.startQueued()
    },
  })
  const services = createServices({
    member,
    clock,
    rng: Math.random,
    permits,
    tracing,
    onDecision: createRoutingRecorder(opts),
  })

  let keyring = createKeyring({ keys: view.current() })
  const applyConfiguration = (next: EnvironmentConfiguration) => {
    keyring = createKeyring({ keys: next })
    services.configure(next)
    services.refuseWithdrawnKeys(keyring)
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
  const permitTimer = setInterval(() => {
    permits.setConfirmedUntil(view.confirmedUntil())
    for (const { team, waiting } of services.waitingByTeam()) permits.setWaitingCount(team, waiting)
  }, permitUpdateMs)

  return {
    member,
    view,
    permits,
    services,
    peerServer,
    keyring: () => keyring,
    close: async () => {
      clearInterval(permitTimer)
      stopListening()
      view.close()
      await peerServer.close()
      links.close()
      tls?.close()
    },
  }
}

/** Returns a callback that logs a router's decision and writes its decision record. */
function createRoutingRecorder({ log, storage }: EntryCoreOptions) {
  return (service: string, { kind, runner, observed }: RoutingDecision) => {
    log.info(`runner ${kind}`, { service, runner })
    storage.decisions.record({
      subject: { kind: 'runner', id: runner },
      rule: `runner-${kind}`,
      observed: { service, ...observed },
      action: kind,
    })
  }
}
