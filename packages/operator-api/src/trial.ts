import {
  diffDocument,
  documentDigest,
  requiredRunners,
  type EnvironmentConfiguration,
  type DocumentDiagnostic,
  type EntryChange,
  type EnvironmentDocument,
} from '@bulrushbridge/contract'

/** Returns how much work a team runs in the whole fleet now; undefined when it is not known. */
export type RunningWorkOf = (team: string) => number | undefined

/** Effects that a promotion would have. Stored in the table `trials` by the document's digest. */
export interface TrialResult {
  digest: string
  /** Configuration version that the document was compared with. */
  version: number
  changes: EntryChange[]
  warnings: DocumentDiagnostic[]
  effects: {
    /** Teams whose new limit is lower than the amount of work they run now. */
    limitsBelowUse: { team: string; limit: number; running: number }[]
    /** Services below their availability budget while the present zones are out. */
    belowBudget: { service: string; missing: number }[]
    hostsMoved: { host: string; from: string; to: string }[]
  }
}

/** Computes the effects that a promotion of `doc` would have, without any change. */
export function previewPromotion(
  cfg: EnvironmentConfiguration,
  doc: EnvironmentDocument,
  warnings: DocumentDiagnostic[],
  runningWorkOf: RunningWorkOf,
): TrialResult {
  return {
    digest: documentDigest(doc),
    version: cfg.version,
    changes: diffDocument(cfg, doc),
    warnings,
    effects: {
      limitsBelowUse: findLimitsBelowUse(doc, runningWorkOf),
      belowBudget: findServicesBelowBudget(cfg, doc),
      hostsMoved: findMovedHosts(cfg, doc),
    },
  }
}

function findLimitsBelowUse(doc: EnvironmentDocument, runningWorkOf: RunningWorkOf) {
  return doc.teams.flatMap(({ name: team, limit }) => {
    const running = runningWorkOf(team) ?? 0
    return limit < running ? [{ team, limit, running }] : []
  })
}

function findServicesBelowBudget(cfg: EnvironmentConfiguration, doc: EnvironmentDocument) {
  return doc.services.flatMap(service => {
    const serving = service.runners.filter(({ zone }) => !cfg.zonesOut.includes(zone)).length
    const missing = requiredRunners(service) - serving
    return missing > 0 ? [{ service: service.name, missing }] : []
  })
}

function findMovedHosts(cfg: EnvironmentConfiguration, doc: EnvironmentDocument) {
  const currentPools = poolsByHost(Object.values(cfg.services))
  return [...poolsByHost(doc.services)].flatMap(([host, to]) => {
    const from = currentPools.get(host)
    return from !== undefined && from !== to ? [{ host, from, to }] : []
  })
}

function poolsByHost(services: EnvironmentDocument['services']): Map<string, string> {
  return new Map(services.flatMap(s => s.runners.map(({ host }) => [host, s.pool] as const)))
}
