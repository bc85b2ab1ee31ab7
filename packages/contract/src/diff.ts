import { createHash } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { documentSections, type EntryChange } from './change.js'
import { entryName, type EnvironmentConfiguration } from './configuration.js'
import type { EnvironmentDocument } from './document.js'
import { normaliseDocument } from './normalise.js'

/** Digest that identifies a document in trials and promotions: SHA-256 of its normalised JSON. */
export function documentDigest(doc: EnvironmentDocument): string {
  return createHash('sha256')
    .update(JSON.stringify(normaliseDocument(doc)))
    .digest('hex')
}

/**
 * Lists what a promotion of `document` changes. The list contains only the differences, so its
 * length does not depend on the size of the document.
 *
 * @example
 * const entries = diffDocument(cfg, doc)
 */
export function diffDocument(
  cfg: EnvironmentConfiguration,
  document: EnvironmentDocument,
): EntryChange[] {
  const doc = normaliseDocument(document)
  const changes: EntryChange[] = documentSections.flatMap(section => {
    const desired = new Map<string, unknown>(
      doc[section].map(entry => [entryName(section, entry), entry]),
    )
    const current: Record<string, unknown> = cfg[section]
    const removed = Object.keys(current)
      .filter(name => !desired.has(name))
      .map((name): EntryChange => ({ op: 'remove', section, name }))
    const set = [...desired]
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
