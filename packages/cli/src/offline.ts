import { readFileSync } from 'node:fs'
import {
  applyChange,
  checkEnvironment,
  diffDocument,
  documentDigest,
  emptyConfiguration,
  entryName,
  type CheckResult,
  type DocumentDiagnostic,
  type EntryChange,
} from '@bulrushbridge/contract'
import {
  generateKey as generateTeamKey,
  generateOperatorCredential,
} from '@bulrushbridge/team-keys'
import { CommandError } from './command-error.js'
import { cell, formatTable } from './table.js'

/** What a command prints: `text` for people, `json` with `--json`. */
export interface Output {
  text: string
  json: unknown
  exit?: 'partial'
}

/** Ids that entry hosts accept in keys and credentials. */
const idPattern = /^[a-z][a-z0-9-]{0,62}$/

/** Reads a document's text. */
export function readDocument(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (err) {
    throw new CommandError(
      'usage',
      `${file} cannot be read (${(err as { code?: string }).code ?? ''}).`,
    )
  }
}

/** Faults as lines that editors can follow. */
export function formatFaults(file: string, faults: DocumentDiagnostic[], label: string): string {
  return faults
    .map(
      ({ line, column, message, path }) =>
        `${file}:${line}:${column}: ${label}${message} (${path})`,
    )
    .join('\n')
}

function checked(file: string): Extract<CheckResult, { ok: true }> {
  const result = checkEnvironment(readDocument(file))
  if (result.ok) return result
  const message = formatFaults(file, result.faults, '')
  throw new CommandError('invalid', message, { faults: result.faults })
}

/** Checks a document without an entry host. */
export function checkFile(file: string): Output {
  const { document, warnings } = checked(file)
  const digest = documentDigest(document)
  const lines = [formatFaults(file, warnings, 'warning: '), `${file} is valid, digest ${digest}`]
  return { text: lines.filter(line => line !== '').join('\n'), json: { digest, warnings } }
}

/** Compares two documents without an entry host. */
export function diffFiles(before: string, after: string): Output {
  const empty = emptyConfiguration()
  const entries = diffDocument(empty, checked(before).document)
  const cfg = applyChange(empty, { kind: 'promote', digest: '', entries })
  const changes = diffDocument(cfg, checked(after).document)
  return { text: formatChanges(changes), json: { changes } }
}

/** Entries that a promotion changes, as a table. */
export function formatChanges(changes: EntryChange[]): string {
  if (changes.length === 0) return 'no difference'
  const rows = changes.map(change => {
    if (change.op === 'set') {
      return ['set', change.section, entryName(change.section, change.value), cell(change.value)]
    }
    if (change.op === 'remove') return ['remove', change.section, change.name, '']
    return ['set', change.op, '', cell(change.op === 'zones' ? change.zones : change.value)]
  })
  return formatTable(['change', 'section', 'name', 'value'], rows)
}

/** Generates a team's key or an operator's credential; only its digest belongs in the document. */
export function generateKey(kind: 'team' | 'operator', name: string): Output {
  if (!idPattern.test(name)) {
    throw new CommandError(
      'usage',
      `'${name}' cannot be an id; use lower-case letters, digits and hyphens.`,
    )
  }
  const { key, digest } = kind === 'team' ? generateTeamKey(name) : operatorKey(name)
  const text = formatTable(
    ['field', 'value'],
    [
      ['key', key],
      ['digest', digest],
    ],
  )
  return { text: `${text}\nThe key is shown only once.`, json: { name, key, digest } }
}

function operatorKey(name: string): { key: string; digest: string } {
  const { credential, digest } = generateOperatorCredential(name)
  return { key: credential, digest }
}
