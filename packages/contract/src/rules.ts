import type { EnvironmentDocument, ServiceDefinition } from './document.js'
import type { DocumentPath } from './positioned-yaml.js'
import { spellingSuggestion } from './spelling-suggestion.js'

/** An entry of the document that violates a rule. */
export interface RuleViolation {
  path: DocumentPath
  message: string
  /** A document with a fault cannot be promoted; one with warnings can. */
  severity: 'fault' | 'warning'
}

type DocumentRule = (doc: EnvironmentDocument) => RuleViolation[]

function fault(path: DocumentPath, message: string): RuleViolation {
  return { path, message, severity: 'fault' }
}

/** Values that occurred before in the list, with the index of the first occurrence. */
function findDuplicates(
  values: readonly string[],
): { index: number; first: number; value: string }[] {
  return values
    .map((value, index) => ({ index, first: values.indexOf(value), value }))
    .filter(({ index, first }) => first < index)
}

function duplicateNameRule(
  section: 'pools' | 'services' | 'teams' | 'operators' | 'queues',
): DocumentRule {
  return doc =>
    findDuplicates(doc[section].map(({ name }) => name)).map(({ index, first, value }) =>
      fault([section, index, 'name'], `'${value}' is already the name of ${section}[${first}]`),
    )
}

function unknownReference(
  kind: string,
  name: string,
  known: readonly string[],
  path: DocumentPath,
): RuleViolation[] {
  if (known.includes(name)) return []
  return [fault(path, `unknown ${kind} '${name}'${spellingSuggestion(name, known)}`)]
}

const namesOf = (entries: readonly { name: string }[]) => entries.map(({ name }) => name)

function allRunners(doc: EnvironmentDocument) {
  return doc.services.flatMap((service, s) =>
    service.runners.map((runner, r) => ({
      ...runner,
      pool: service.pool,
      path: ['services', s, 'runners', r] as DocumentPath,
    })),
  )
}

/** Number of the service's runners that must be serving at any time. */
export function requiredRunners(service: ServiceDefinition): number {
  // Rounding errors can put the product just above a whole number; the subtraction compensates.
  return Math.ceil(service.availability.minServing * service.runners.length - 1e-9)
}

/** The zone whose failure costs the service the most runners, and the number of them. */
export function zoneWithMostRunners(service: ServiceDefinition): { zone: string; runners: number } {
  const counts = new Map<string, number>()
  for (const { zone } of service.runners) counts.set(zone, (counts.get(zone) ?? 0) + 1)
  const [zone, runners] = [...counts].sort((a, b) => b[1] - a[1])[0] ?? ['', 0]
  return { zone, runners }
}

/** Total number of slots of all runners. */
function fleetSlots(doc: EnvironmentDocument): number {
  return doc.services.reduce((sum, s) => sum + s.slots * s.runners.length, 0)
}

/** Rules that a document must satisfy in addition to its schema, by name. */
export const documentRules: Readonly<Record<string, DocumentRule>> = {
  'duplicate-pool': duplicateNameRule('pools'),
  'duplicate-service': duplicateNameRule('services'),
  'duplicate-team': duplicateNameRule('teams'),
  'duplicate-operator': duplicateNameRule('operators'),
  'duplicate-queue': duplicateNameRule('queues'),
  'duplicate-zone': doc =>
    findDuplicates(doc.zones).map(({ index, value }) =>
      fault(['zones', index], `zone '${value}' is listed twice`),
    ),
  'duplicate-key': doc =>
    findDuplicates(doc.keys.map(({ id }) => id)).map(({ index, first, value }) =>
      fault(['keys', index, 'id'], `'${value}' is already the id of keys[${first}]`),
    ),
  'duplicate-key-digest': doc =>
    findDuplicates(doc.keys.map(({ digest }) => digest)).map(({ index, first }) =>
      fault(
        ['keys', index, 'digest'],
        `keys[${first}] has the same digest, so its team is unclear`,
      ),
    ),
  'duplicate-runner': doc => {
    const runners = allRunners(doc)
    return findDuplicates(runners.map(({ id }) => id)).flatMap(({ index, value }) =>
      runners
        .slice(index, index + 1)
        .map(({ path }) => fault([...path, 'id'], `runner '${value}' is listed twice`)),
    )
  },
  'duplicate-address': doc => {
    const runners = allRunners(doc)
    return findDuplicates(runners.map(({ address }) => address)).flatMap(
      ({ index, first, value }) =>
        runners
          .slice(index, index + 1)
          .map(({ path }) =>
            fault(
              [...path, 'address'],
              `runner '${runners[first]?.id ?? ''}' already has the address ${value}`,
            ),
          ),
    )
  },
  'unknown-pool-of-service': doc =>
    doc.services.flatMap((s, i) =>
      unknownReference('pool', s.pool, namesOf(doc.pools), ['services', i, 'pool']),
    ),
  'unknown-zone-of-runner': doc =>
    allRunners(doc).flatMap(r => unknownReference('zone', r.zone, doc.zones, [...r.path, 'zone'])),
  'unknown-team-of-key': doc =>
    doc.keys.flatMap((k, i) =>
      unknownReference('team', k.team, namesOf(doc.teams), ['keys', i, 'team']),
    ),
  'unknown-reference-of-queue': doc =>
    doc.queues.flatMap((q, i) => [
      ...(q.team === 'open'
        ? []
        : unknownReference('team', q.team, namesOf(doc.teams), ['queues', i, 'team'])),
      ...(q.guestTeam === undefined
        ? []
        : unknownReference('team', q.guestTeam, namesOf(doc.teams), ['queues', i, 'guestTeam'])),
      ...(q.service === undefined
        ? []
        : unknownReference('service', q.service, namesOf(doc.services), ['queues', i, 'service'])),
      ...(q.pool === undefined
        ? []
        : unknownReference('pool', q.pool, namesOf(doc.pools), ['queues', i, 'pool'])),
    ]),
  'queue-without-target': doc =>
    doc.queues.flatMap((q, i) =>
      q.service === undefined && q.pool === undefined
        ? [fault(['queues', i], `queue '${q.name}' has neither a service nor a pool`)]
        : [],
    ),
  'open-queue-without-team': doc =>
    doc.queues.flatMap((q, i) =>
      q.team === 'open' && doc.teams.length === 0
        ? [fault(['queues', i, 'team'], `queue '${q.name}' is open, but there is no team`)]
        : [],
    ),
  'guest-team-on-team-queue': doc =>
    doc.queues.flatMap((q, i) =>
      q.team !== 'open' && q.guestTeam !== undefined
        ? [fault(['queues', i, 'guestTeam'], `queue '${q.name}' is not open to all teams`)]
        : [],
    ),
  'team-named-open': doc =>
    doc.teams.flatMap((team, i) =>
      team.name === 'open'
        ? [fault(['teams', i, 'name'], "a team must not be named 'open', which marks open queues")]
        : [],
    ),
  'share-sum': doc =>
    doc.teams.reduce((sum, { share }) => sum + share, 0) > 0
      ? []
      : [fault(['teams'], 'the sum of all shares is zero')],
  // Only a warning, because a team may be limited on purpose; other teams use the rest.
  'limit-below-share': doc => {
    const sum = doc.teams.reduce((total, { share }) => total + share, 0)
    return doc.teams.flatMap((team, i): RuleViolation[] => {
      const slots = Math.floor((fleetSlots(doc) * team.share) / sum)
      if (team.limit >= slots) return []
      const message = `limit ${team.limit} is below the ${slots} slots that the share gives in a full fleet`
      return [{ path: ['teams', i, 'limit'], message, severity: 'warning' }]
    })
  },
  'rack-in-two-pools': doc => {
    const racks = doc.pools.flatMap((pool, p) =>
      (pool.racks ?? []).map((rack, r) => ({
        rack,
        pool: pool.name,
        path: ['pools', p, 'racks', r],
      })),
    )
    return findDuplicates(racks.map(({ rack }) => rack)).flatMap(({ index, first, value }) => {
      const [before, entry] = [racks[first]?.pool ?? '', racks[index]]
      if (entry === undefined) return []
      const where = before === entry.pool ? 'twice in pool' : `in pool '${before}' and in pool`
      return [fault(entry.path, `rack '${value}' is ${where} '${entry.pool}'`)]
    })
  },
  'host-in-two-pools': doc => {
    const pools = new Map<string, string>()
    return allRunners(doc).flatMap(({ host, pool, path }) => {
      const first = pools.get(host) ?? pool
      pools.set(host, first)
      if (first === pool) return []
      return [
        fault([...path, 'host'], `host '${host}' is in pool '${first}' and in pool '${pool}'`),
      ]
    })
  },
  'host-in-two-zones': doc => {
    const zones = new Map<string, string>()
    return allRunners(doc).flatMap(({ host, zone, path }) => {
      const first = zones.get(host) ?? zone
      zones.set(host, first)
      if (first === zone) return []
      return [
        fault([...path, 'zone'], `host '${host}' is in zone '${first}' and in zone '${zone}'`),
      ]
    })
  },
  'availability-budget': doc =>
    doc.services.flatMap((service, i) => {
      const largestZone = zoneWithMostRunners(service)
      const lostRunners = service.availability.zoneFailures > 0 ? largestZone.runners : 0
      const missingRunners = requiredRunners(service) - (service.runners.length - lostRunners)
      if (service.runners.length === 0) {
        return [fault(['services', i, 'runners'], `service '${service.name}' has no runner`)]
      }
      if (missingRunners <= 0) return []
      const message = `service '${service.name}' falls short of its availability budget by ${missingRunners} runner${missingRunners === 1 ? '' : 's'} when zone '${largestZone.zone}' is out`
      return [fault(['services', i, 'availability'], message)]
    }),
}

/**
 * Checks the rules that the schema cannot express.
 *
 * @example
 * const faults = checkDocument(doc).filter(v => v.severity === 'fault')
 */
export function checkDocument(doc: EnvironmentDocument): RuleViolation[] {
  return Object.values(documentRules).flatMap(rule => rule(doc))
}
