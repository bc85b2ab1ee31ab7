import {
  diffDocument,
  documentDigest,
  requiredRunners,
  type Configuration,
  type DocumentDiagnostic,
  type EntryChange,
  type EnvironmentDocument,
} from '@bulrushbridge/contract'

/** Running work of a team over the fleet; undefined when it is not known. */
export type UsageOf = (team: string) => number | undefined

/** What a promotion would do; stored as the proof `trials/<digest>`. */
export interface TrialResult {
  digest: string
  /** Version that the document was compared with. */
  version: number
  changes: EntryChange[]
  warnings: DocumentDiagnostic[]
  effects: {
    /** Teams whose limit would be below what they run now. */
    limitsBelowUse: { team: string; limit: number; running: number }[]
    /** Services that fall below their budget with the zones that are out now. */
    belowBudget: { service: string; missing: number }[]
    hostsMoved: { host: string; from: string; to: string }[]
  }
}

/** Works out what a promotion of `doc` would change. */
export function tryDocument(
  cfg: Configuration,
  doc: EnvironmentDocument,
  warnings: DocumentDiagnostic[],
  usageOf: UsageOf,
): TrialResult {
  return {
    digest: documentDigest(doc),
    version: cfg.version,
    changes: diffDocument(cfg, doc),
    warnings,
    effects: {
      limitsBelowUse: limitsBelowUse(doc, usageOf),
      belowBudget: belowBudget(cfg, doc),
      hostsMoved: hostsMoved(cfg, doc),
    },
  }
}

function limitsBelowUse(doc: EnvironmentDocument, usageOf: UsageOf) {
  return doc.teams.flatMap(({ name: team, limit }) => {
    const running = usageOf(team) ?? 0
    return limit < running ? [{ team, limit, running }] : []
  })
}

function belowBudget(cfg: Configuration, doc: EnvironmentDocument) {
  return doc.services.flatMap(service => {
    const serving = service.runners.filter(({ zone }) => !cfg.zonesOut.includes(zone)).length
    const missing = requiredRunners(service) - serving
    return missing > 0 ? [{ service: service.name, missing }] : []
  })
}

function hostsMoved(cfg: Configuration, doc: EnvironmentDocument) {
  const pools = poolsOfHosts(Object.values(cfg.services))
  return [...poolsOfHosts(doc.services)].flatMap(([host, to]) => {
    const from = pools.get(host)
    return from !== undefined && from !== to ? [{ host, from, to }] : []
  })
}

function poolsOfHosts(services: EnvironmentDocument['services']): Map<string, string> {
  return new Map(services.flatMap(s => s.runners.map(({ host }) => [host, s.pool] as const)))
}
