import type { EnvironmentDocument, Service } from './document.js'
import type { Path } from './positions.js'
import { didYouMean } from './suggest.js'

/** A violation of a rule, by the path of the entry. */
export interface Violation {
  path: Path
  message: string
  /** A warning does not prevent promotion. */
  severity: 'fault' | 'warning'
}

type Rule = (doc: EnvironmentDocument) => Violation[]

function fault(path: Path, message: string): Violation {
  return { path, message, severity: 'fault' }
}

/** Entries whose value occurred before, with the index of the first occurrence. */
function duplicates(values: readonly string[]): { index: number; first: number; value: string }[] {
  return values
    .map((value, index) => ({ index, first: values.indexOf(value), value }))
    .filter(({ index, first }) => first < index)
}

function duplicateNames(section: 'pools' | 'services' | 'teams' | 'operators' | 'queues'): Rule {
  return doc =>
    duplicates(doc[section].map(({ name }) => name)).map(({ index, first, value }) =>
      fault([section, index, 'name'], `'${value}' is already the name of ${section}[${first}]`),
    )
}

function unknown(kind: string, name: string, known: readonly string[], path: Path): Violation[] {
  if (known.includes(name)) return []
  return [fault(path, `unknown ${kind} '${name}'${didYouMean(name, known)}`)]
}

const names = (entries: readonly { name: string }[]) => entries.map(({ name }) => name)

function allRunners(doc: EnvironmentDocument) {
  return doc.services.flatMap((service, s) =>
    service.runners.map((runner, r) => ({
      ...runner,
      pool: service.pool,
      path: ['services', s, 'runners', r] as Path,
    })),
  )
}

/** Runners that must serve at every moment. */
export function requiredRunners(service: Service): number {
  // The product of a decimal fraction and a count may lie just above a whole number.
  return Math.ceil(service.availability.minServing * service.runners.length - 1e-9)
}

/** The zone whose loss takes most runners of a service, and how many it takes. */
export function worstZone(service: Service): { zone: string; runners: number } {
  const counts = new Map<string, number>()
  for (const { zone } of service.runners) counts.set(zone, (counts.get(zone) ?? 0) + 1)
  const [zone, runners] = [...counts].sort((a, b) => b[1] - a[1])[0] ?? ['', 0]
  return { zone, runners }
}

/** Slots of all runners. */
function fleetSlots(doc: EnvironmentDocument): number {
  return doc.services.reduce((sum, s) => sum + s.slots * s.runners.length, 0)
}

/** What a valid document must satisfy beyond its schema. */
export const rules: Readonly<Record<string, Rule>> = {
  'duplicate-pool': duplicateNames('pools'),
  'duplicate-service': duplicateNames('services'),
  'duplicate-team': duplicateNames('teams'),
  'duplicate-operator': duplicateNames('operators'),
  'duplicate-queue': duplicateNames('queues'),
  'duplicate-zone': doc =>
    duplicates(doc.zones).map(({ index, value }) =>
      fault(['zones', index], `zone '${value}' is listed twice`),
    ),
  'duplicate-key': doc =>
    duplicates(doc.keys.map(({ id }) => id)).map(({ index, first, value }) =>
      fault(['keys', index, 'id'], `'${value}' is already the id of keys[${first}]`),
    ),
  'duplicate-key-digest': doc =>
    duplicates(doc.keys.map(({ digest }) => digest)).map(({ index, first }) =>
      fault(
        ['keys', index, 'digest'],
        `keys[${first}] has the same digest, so its team is unclear`,
      ),
    ),
  'duplicate-runner': doc => {
    const runners = allRunners(doc)
    return duplicates(runners.map(({ id }) => id)).flatMap(({ index, value }) =>
      runners
        .slice(index, index + 1)
        .map(({ path }) => fault([...path, 'id'], `runner '${value}' is listed twice`)),
    )
  },
  'duplicate-address': doc => {
    const runners = allRunners(doc)
    return duplicates(runners.map(({ address }) => address)).flatMap(({ index, first, value }) =>
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
      unknown('pool', s.pool, names(doc.pools), ['services', i, 'pool']),
    ),
  'unknown-zone-of-runner': doc =>
    allRunners(doc).flatMap(r => unknown('zone', r.zone, doc.zones, [...r.path, 'zone'])),
  'unknown-team-of-key': doc =>
    doc.keys.flatMap((k, i) => unknown('team', k.team, names(doc.teams), ['keys', i, 'team'])),
  'unknown-reference-of-queue': doc =>
    doc.queues.flatMap((q, i) => [
      ...(q.team === 'open'
        ? []
        : unknown('team', q.team, names(doc.teams), ['queues', i, 'team'])),
      ...(q.guestTeam === undefined
        ? []
        : unknown('team', q.guestTeam, names(doc.teams), ['queues', i, 'guestTeam'])),
      ...(q.service === undefined
        ? []
        : unknown('service', q.service, names(doc.services), ['queues', i, 'service'])),
      ...(q.pool === undefined
        ? []
        : unknown('pool', q.pool, names(doc.pools), ['queues', i, 'pool'])),
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
  // A warning: a team may be meant to stay below its share, which is then lent to others.
  'limit-below-share': doc => {
    const sum = doc.teams.reduce((total, { share }) => total + share, 0)
    return doc.teams.flatMap((team, i): Violation[] => {
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
    return duplicates(racks.map(({ rack }) => rack)).flatMap(({ index, first, value }) => {
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
      const worst = worstZone(service)
      const lost = service.availability.zoneFailures > 0 ? worst.runners : 0
      const short = requiredRunners(service) - (service.runners.length - lost)
      if (service.runners.length === 0) {
        return [fault(['services', i, 'runners'], `service '${service.name}' has no runner`)]
      }
      if (short <= 0) return []
      const message = `service '${service.name}' falls short of its availability budget by ${short} runner${short === 1 ? '' : 's'} when zone '${worst.zone}' is out`
      return [fault(['services', i, 'availability'], message)]
    }),
}

/**
 * Checks what the schema cannot express.
 *
 * @example
 * const faults = checkDocument(doc).filter(v => v.severity === 'fault')
 */
export function checkDocument(doc: EnvironmentDocument): Violation[] {
  return Object.values(rules).flatMap(rule => rule(doc))
}
