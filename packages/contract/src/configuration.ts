import type { Change, ChangeRow, EntryChange, Member, DocumentSection } from './change.js'
import type {
  KeyDefinition,
  OperatorDefinition,
  PoolDefinition,
  QueueDefinition,
  ServiceDefinition,
  TeamDefinition,
} from './document.js'

/**
 * The configuration at one version: the promoted document, the zones taken out of service, the keys
 * granted or withdrawn after the promotion, and the registered entry hosts. It is plain JSON data
 * and is never mutated.
 */
export interface EnvironmentConfiguration {
  version: number
  environment: string
  documentDigest: string
  zones: string[]
  /** Zones taken out of service by operators. */
  zonesOut: string[]
  pools: Record<string, PoolDefinition>
  services: Record<string, ServiceDefinition>
  teams: Record<string, TeamDefinition>
  /** Keys of the promoted document, by id. */
  keys: Record<string, KeyDefinition>
  /** Keys granted after promotion, by id. */
  grantedKeys: Record<string, KeyDefinition>
  /** Ids of withdrawn keys. A later promotion does not restore them. */
  withdrawnKeys: string[]
  operators: Record<string, OperatorDefinition>
  queues: Record<string, QueueDefinition>
  maintenance: unknown
  members: Record<string, Member>
}

/** Returns the configuration at version 0, before the first change. */
export function emptyConfiguration(): EnvironmentConfiguration {
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
  [K in T[D]]: (
    cfg: EnvironmentConfiguration,
    change: Extract<T, Record<D, K>>,
  ) => EnvironmentConfiguration
}

const entryHandlers: Handlers<EntryChange, 'op'> = {
  set: (cfg, { section, value }) => ({
    ...cfg,
    [section]: { ...cfg[section], [entryName(section, value)]: value },
  }),
  remove: (cfg, { section, name }) => ({
    ...cfg,
    [section]: omitEntry<unknown>(cfg[section], name),
  }),
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
    ...entries.reduce(applyEntryChange, cfg),
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
    grantedKeys: omitEntry(cfg.grantedKeys, id),
    withdrawnKeys: [...new Set([...cfg.withdrawnKeys, id])],
  }),
  'member-join': (cfg, { member }) => ({
    ...cfg,
    members: { ...cfg.members, [member.id]: member },
  }),
  'member-leave': (cfg, { id, incarnation }) =>
    cfg.members[id]?.incarnation === incarnation
      ? { ...cfg, members: omitEntry(cfg.members, id) }
      : cfg,
}

/** Name of an entry within its section: the id of a key, the `name` of any other entry. */
export function entryName(section: DocumentSection, value: unknown): string {
  const entry = value as { id?: string; name?: string }
  return (section === 'keys' ? entry.id : entry.name) ?? ''
}

function omitEntry<V>(entries: Record<string, V>, name: string): Record<string, V> {
  return Object.fromEntries(Object.entries(entries).filter(([key]) => key !== name))
}

function applyEntryChange(
  cfg: EnvironmentConfiguration,
  entry: EntryChange,
): EnvironmentConfiguration {
  const handler = entryHandlers[entry.op] as (
    c: EnvironmentConfiguration,
    e: EntryChange,
  ) => EnvironmentConfiguration
  return handler(cfg, entry)
}

/**
 * Applies a change and leaves the version as it is. Provisional restrictions are applied this way,
 * because they are not committed yet.
 *
 * @example
 * const cfg = applyChange(current, { kind: 'zone-out', zone: 'a' })
 */
export function applyChange(
  cfg: EnvironmentConfiguration,
  change: Change,
): EnvironmentConfiguration {
  const handler = changeHandlers[change.kind] as (
    c: EnvironmentConfiguration,
    e: Change,
  ) => EnvironmentConfiguration
  return handler(cfg, change)
}

/**
 * Applies the next committed change and increments the version.
 *
 * @throws RangeError when the version of the row is not the next one.
 */
export function applyChangeRow(
  cfg: EnvironmentConfiguration,
  row: ChangeRow,
): EnvironmentConfiguration {
  if (row.version !== cfg.version + 1) {
    throw new RangeError(`change ${row.version} does not follow version ${cfg.version}`)
  }
  return { ...applyChange(cfg, row.change), version: row.version }
}
