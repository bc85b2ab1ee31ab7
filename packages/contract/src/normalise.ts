import { documentSchema, type EnvironmentDocument } from './document.js'

function by<T>(name: (entry: T) => string): (a: T, b: T) => number {
  // Code unit order, because the order of a locale differs between machines.
  return (a, b) => (name(a) < name(b) ? -1 : name(a) > name(b) ? 1 : 0)
}

const byName = by<{ name: string }>(entry => entry.name)
const byId = by<{ id: string }>(entry => entry.id)

/**
 * The document with entries in the order of their names and fields in the order of the schema, so
 * that documents which mean the same have the same JSON and digest.
 *
 * @example
 * JSON.stringify(normaliseDocument(a)) === JSON.stringify(normaliseDocument(b))
 */
export function normaliseDocument(doc: EnvironmentDocument): EnvironmentDocument {
  return documentSchema.parse({
    ...doc,
    zones: [...doc.zones].sort(),
    pools: doc.pools
      .map(pool => (pool.racks === undefined ? pool : { ...pool, racks: [...pool.racks].sort() }))
      .sort(byName),
    services: [...doc.services]
      .map(service => ({ ...service, runners: [...service.runners].sort(byId) }))
      .sort(byName),
    teams: [...doc.teams].sort(byName),
    keys: [...doc.keys].sort(byId),
    operators: [...doc.operators].sort(byName),
    queues: [...doc.queues].sort(byName),
  })
}
