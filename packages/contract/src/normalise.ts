import { documentSchema, type EnvironmentDocument } from './document.js'

function compareBy<T>(nameOf: (entry: T) => string): (a: T, b: T) => number {
  // Compares by code units, because locale order differs between machines.
  return (a, b) => (nameOf(a) < nameOf(b) ? -1 : nameOf(a) > nameOf(b) ? 1 : 0)
}

const byName = compareBy<{ name: string }>(entry => entry.name)
const byId = compareBy<{ id: string }>(entry => entry.id)

/**
 * Sorts the entries of a document by name or id and its fields in the order of the schema, so that
 * equivalent documents have the same JSON and the same digest.
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
