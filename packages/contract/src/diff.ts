import { createHash } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { sections, type EntryChange } from './change.js'
import { entryName, type Configuration } from './configuration.js'
import type { EnvironmentDocument } from './document.js'
import { normaliseDocument } from './normalise.js'

/** Digest that names a document in trial and promotion: SHA-256 of its normalised JSON. */
export function documentDigest(doc: EnvironmentDocument): string {
  return createHash('sha256')
    .update(JSON.stringify(normaliseDocument(doc)))
    .digest('hex')
}

/**
 * The entries that a promotion of `doc` changes; its size follows the change, not the document.
 *
 * @example
 * const entries = diffDocument(cfg, doc)
 */
export function diffDocument(cfg: Configuration, document: EnvironmentDocument): EntryChange[] {
  const doc = normaliseDocument(document)
  const changes: EntryChange[] = sections.flatMap(section => {
    const wanted = new Map<string, unknown>(
      doc[section].map(entry => [entryName(section, entry), entry]),
    )
    const current: Record<string, unknown> = cfg[section]
    const removed = Object.keys(current)
      .filter(name => !wanted.has(name))
      .map((name): EntryChange => ({ op: 'remove', section, name }))
    const set = [...wanted]
      .filter(([name, value]) => !isDeepStrictEqual(current[name], value))
      .map(([, value]): EntryChange => ({ op: 'set', section, value }))
    return [...removed, ...set]
  })
  if (!isDeepStrictEqual(cfg.zones, doc.zones)) changes.push({ op: 'zones', zones: doc.zones })
  if (!isDeepStrictEqual(cfg.maintenance, doc.maintenance)) {
    changes.push({ op: 'maintenance', value: doc.maintenance })
  }
  if (cfg.environment !== doc.environment) {
    changes.push({ op: 'environment', value: doc.environment })
  }
  return changes
}
