import type { EnvironmentConfiguration, Member } from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { Keyring } from '@bulrushbridge/team-keys'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { Tracing } from '@bulrushbridge/telemetry'
import type { RoutingDecision } from '@bulrushbridge/upstream-routing'
import type { Report } from '@bulrushbridge/wire'
import type { ListedHosts } from './host-list.js'
import type { LocalLoad, TeamPoolDemand } from './peer-load.js'
import { createServiceGateway, type ServiceGateway } from './service-gateway.js'

/** Options of {@link createServices}. */
export interface ServicesOptions {
  member: Member
  clock: Clock
  rng: () => number
  permits: TeamPermits
  tracing: Tracing
  onDecision: (service: string, decision: RoutingDecision) => void
}

/** The gateways of this entry host to all services of the configuration. */
export interface Services {
  get(name: string): ServiceGateway | undefined
  configure(cfg: EnvironmentConfiguration): void
  refuseWithdrawnKeys(keyring: Keyring): void
  applyReport(report: Report, loadByRunner: ReadonlyMap<string, number>): void
  setHosts(hosts: ListedHosts): void
  startQueued(): void
  demand(): TeamPoolDemand[]
  /**
   * Returns the number of waiting requests by team, summed over all services. A team that has none
   * any more is listed once with 0.
   */
  waitingByTeam(): { team: string; waiting: number }[]
  load(): LocalLoad['runners']
  close(): Promise<void>
}

/**
 * Creates the gateways to all services; `configure` adds, updates and closes them.
 *
 * @example
 * const services = createServices({ member, clock, rng: Math.random, permits, onDecision })
 * services.configure(view.current())
 */
export function createServices(opts: ServicesOptions): Services {
  const gateways = new Map<string, ServiceGateway>()
  let previouslyWaiting = new Set<string>()

  const configure = (cfg: EnvironmentConfiguration) => {
    for (const service of Object.values(cfg.services)) {
      if (gateways.has(service.name)) continue
      const onDecision = (decision: RoutingDecision) => {
        opts.onDecision(service.name, decision)
      }
      gateways.set(service.name, createServiceGateway({ ...opts, service, onDecision }))
    }
    for (const [name, gateway] of gateways) {
      if (name in cfg.services) {
        gateway.configure(cfg)
        continue
      }
      gateways.delete(name)
      void gateway.close()
    }
  }

  const demand = () => [...gateways.values()].flatMap(gateway => gateway.demand())

  return {
    get: name => gateways.get(name),
    configure,
    refuseWithdrawnKeys: keyring => {
      for (const gateway of gateways.values())
        gateway.refuseWithdrawnKeys(keyId => keyring.has(keyId))
    },
    applyReport: (report, loadByRunner) => {
      for (const [name, gateway] of gateways) {
        gateway.setPeerDemand(
          report.member,
          report.demand.filter(({ pool }) => pool === name),
        )
        gateway.setPeerLoad(loadByRunner)
      }
    },
    setHosts: hosts => {
      for (const gateway of gateways.values()) gateway.setHosts(hosts)
    },
    startQueued: () => {
      for (const gateway of gateways.values()) gateway.startQueued()
    },
    demand,
    waitingByTeam: () => {
      const sums = new Map([...previouslyWaiting].map(team => [team, 0]))
      for (const { team, waiting } of demand()) sums.set(team, (sums.get(team) ?? 0) + waiting)
      const entries = [...sums].map(([team, waiting]) => ({ team, waiting }))
      previouslyWaiting = new Set(
        entries.filter(({ waiting }) => waiting > 0).map(({ team }) => team),
      )
      return entries
    },
    load: () =>
      [...gateways.values()].flatMap(gateway =>
        [...gateway.load()].map(([runner, inFlight]) => ({ runner, inFlight })),
      ),
    close: async () => {
      await Promise.all([...gateways.values()].map(gateway => gateway.close()))
    },
  }
}
