import type { Configuration, Member } from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { Keyring } from '@bulrushbridge/team-keys'
import type { TeamPermits } from '@bulrushbridge/team-limit'
import type { Tracing } from '@bulrushbridge/telemetry'
import type { RoutingDecision } from '@bulrushbridge/upstream-routing'
import type { Report } from '@bulrushbridge/wire'
import type { ListedHosts } from './host-list.js'
import type { LocalLoad, PoolDemand } from './peer-load.js'
import { createServicePath, type ServicePath } from './service-path.js'

/** Options of {@link createServices}. */
export interface ServicesOptions {
  member: Member
  clock: Clock
  rng: () => number
  permits: TeamPermits
  tracing: Tracing
  onDecision: (service: string, decision: RoutingDecision) => void
}

/** The services of the document, each with its path from this entry host. */
export interface Services {
  get(name: string): ServicePath | undefined
  configure(cfg: Configuration): void
  refuseKeys(keyring: Keyring): void
  learn(report: Report, loadByRunner: ReadonlyMap<string, number>): void
  setHosts(hosts: ListedHosts): void
  pump(): void
  demand(): PoolDemand[]
  /** Waiting requests by team, over all services; teams that stopped waiting are listed once. */
  waiting(): { team: string; waiting: number }[]
  load(): LocalLoad['runners']
  close(): Promise<void>
}

/**
 * Creates the paths to all services and keeps them in step with the configuration.
 *
 * @example
 * const services = createServices({ member, clock, rng: Math.random, permits, onDecision })
 * services.configure(view.current())
 */
export function createServices(opts: ServicesOptions): Services {
  const paths = new Map<string, ServicePath>()
  let waitedBefore = new Set<string>()

  const configure = (cfg: Configuration) => {
    for (const service of Object.values(cfg.services)) {
      if (paths.has(service.name)) continue
      const onDecision = (decision: RoutingDecision) => {
        opts.onDecision(service.name, decision)
      }
      paths.set(service.name, createServicePath({ ...opts, service, onDecision }))
    }
    for (const [name, path] of paths) {
      if (name in cfg.services) {
        path.configure(cfg)
        continue
      }
      paths.delete(name)
      void path.close()
    }
  }

  const demand = () => [...paths.values()].flatMap(path => path.demand())

  return {
    get: name => paths.get(name),
    configure,
    refuseKeys: keyring => {
      for (const path of paths.values()) path.refuseKeys(keyId => keyring.has(keyId))
    },
    learn: (report, loadByRunner) => {
      for (const [name, path] of paths) {
        path.learnDemand(
          report.member,
          report.demand.filter(({ pool }) => pool === name),
        )
        path.setPeerLoad(loadByRunner)
      }
    },
    setHosts: hosts => {
      for (const path of paths.values()) path.setHosts(hosts)
    },
    pump: () => {
      for (const path of paths.values()) path.pump()
    },
    demand,
    waiting: () => {
      const sums = new Map([...waitedBefore].map(team => [team, 0]))
      for (const { team, waiting } of demand()) sums.set(team, (sums.get(team) ?? 0) + waiting)
      const entries = [...sums].map(([team, waiting]) => ({ team, waiting }))
      waitedBefore = new Set(entries.filter(({ waiting }) => waiting > 0).map(({ team }) => team))
      return entries
    },
    load: () =>
      [...paths.values()].flatMap(path =>
        [...path.load()].map(([runner, inFlight]) => ({ runner, inFlight })),
      ),
    close: async () => {
      await Promise.all([...paths.values()].map(path => path.close()))
    },
  }
}
