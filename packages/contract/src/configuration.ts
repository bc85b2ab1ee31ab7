import type { Change, ChangeRow, EntryChange, Member, Section } from './change.js'
import type { Key, Operator, Pool, Queue, Service, Team } from './document.js'

/**
 * Everything that is in force at one version: the promoted document, the zones taken out, the keys
 * granted or withdrawn since, and the registered entry hosts. Plain JSON data; never mutated.
 */
export interface Configuration {
  version: number
  environment: string
  documentDigest: string
  zones: string[]
  /** Zones taken out of service by operators. */
  zonesOut: string[]
  pools: Record<string, Pool>
  services: Record<string, Service>
  teams: Record<string, Team>
  /** Keys of the promoted document, by id. */
  keys: Record<string, Key>
  /** Keys granted after promotion, by id. */
  grantedKeys: Record<string, Key>
  /** Ids of withdrawn keys. A later promotion does not bring them back. */
  withdrawnKeys: string[]
  operators: Record<string, Operator>
  queues: Record<string, Queue>
  maintenance: unknown
  members: Record<string, Member>
}

/** The configuration before anything was promoted. */
export function emptyConfiguration(): Configuration {
  return {
    version: 0,
    environment: '',
    documentDigest: '',
    zones: [],
    zonesOut: [],
    pools: {},
    services: {},
    teams: {},
    keys: {},
    grantedKeys: {},
    withdrawnKeys: [],
    operators: {},
    queues: {},
    maintenance: {},
    members: {},
  }
}

type Handlers<T extends Record<D, string>, D extends string> = {
  [K in T[D]]: (cfg: Configuration, change: Extract<T, Record<D, K>>) => Configuration
}

const entryHandlers: Handlers<EntryChange, 'op'> = {
  set: (cfg, { section, value }) => ({
    ...cfg,
    [section]: { ...cfg[section], [entryName(section, value)]: value },
  }),
  remove: (cfg, { section, name }) => ({ ...cfg, [section]: without<unknown>(cfg[section], name) }),
  zones: (cfg, { zones }) => ({
    ...cfg,
    zones,
    zonesOut: cfg.zonesOut.filter(zone => zones.includes(zone)),
  }),
  maintenance: (cfg, { value }) => ({ ...cfg, maintenance: value }),
  environment: (cfg, { value }) => ({ ...cfg, environment: value }),
}

const changeHandlers: Handlers<Change, 'kind'> = {
  promote: (cfg, { digest, entries }) => ({
    ...entries.reduce(applyEntry, cfg),
    documentDigest: digest,
  }),
  'zone-out': (cfg, { zone }) => ({ ...cfg, zonesOut: [...new Set([...cfg.zonesOut, zone])] }),
  'zone-back': (cfg, { zone }) => ({ ...cfg, zonesOut: cfg.zonesOut.filter(out => out !== zone) }),
  'key-grant': (cfg, { key }) => ({
    ...cfg,
    grantedKeys: { ...cfg.grantedKeys, [key.id]: key },
    withdrawnKeys: cfg.withdrawnKeys.filter(id => id !== key.id),
  }),
  'key-withdraw': (cfg, { id }) => ({
    ...cfg,
    grantedKeys: without(cfg.grantedKeys, id),
    withdrawnKeys: [...new Set([...cfg.withdrawnKeys, id])],
  }),
  'member-join': (cfg, { member }) => ({
    ...cfg,
    members: { ...cfg.members, [member.id]: member },
  }),
  'member-leave': (cfg, { id, incarnation }) =>
    cfg.members[id]?.incarnation === incarnation
      ? { ...cfg, members: without(cfg.members, id) }
      : cfg,
}

/** Name under which an entry of a section is kept; keys go by their id. */
export function entryName(section: Section, value: unknown): string {
  const entry = value as { id?: string; name?: string }
  return (section === 'keys' ? entry.id : entry.name) ?? ''
}

function without<V>(entries: Record<string, V>, name: string): Record<string, V> {
  return Object.fromEntries(Object.entries(entries).filter(([key]) => key !== name))
}

function applyEntry(cfg: Configuration, entry: EntryChange): Configuration {
  const handler = entryHandlers[entry.op] as (c: Configuration, e: EntryChange) => Configuration
  return handler(cfg, entry)
}

/**
 * Applies a change without counting a version, as for a provisional restriction.
 *
 * @example
 * const cfg = applyChange(current, { kind: 'zone-out', zone: 'a' })
 */
export function applyChange(cfg: Configuration, change: Change): Configuration {
  const handler = changeHandlers[change.kind] as (c: Configuration, e: Change) => Configuration
  return handler(cfg, change)
}

/**
 * Applies the next committed change.
 *
 * @throws RangeError when the row is not the next version.
 */
export function applyChangeRow(cfg: Configuration, row: ChangeRow): Configuration {
  if (row.version !== cfg.version + 1) {
    throw new RangeError(`change ${row.version} does not follow version ${cfg.version}`)
  }
  return { ...applyChange(cfg, row.change), version: row.version }
}
