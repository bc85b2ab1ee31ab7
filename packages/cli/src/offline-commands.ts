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
import { generateTeamKey, generateOperatorCredential } from '@bulrushbridge/team-keys'
import { CommandError } from './command-error.js'
import { formatCell, formatTable } from './table.js'

/** Output of a command: `json` is printed with `--json`, `text` without it. */
export interface CommandOutput {
  text: string
  json: unknown
  exitKind?: 'partial'
}

/** Ids that entry hosts accept in keys and credentials; the document's schema has the same rule. */
const idPattern = /^[a-z][a-z0-9-]{0,62}$/

/** Reads a file. A failure is reported as a usage error. */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (err) {
    throw new CommandError(
      'usage',
      `${file} cannot be read (${(err as { code?: string }).code ?? ''}).`,
    )
  }
}

/** Formats faults or warnings as `file:line:column: message`, which editors can open. */
export function formatDiagnostics(
  file: string,
  diagnostics: DocumentDiagnostic[],
  prefix: string,
): string {
  return diagnostics
    .map(
      ({ line, column, message, path }) =>
        `${file}:${line}:${column}: ${prefix}${message} (${path})`,
    )
    .join('\n')
}

function loadValidDocument(file: string): Extract<CheckResult, { ok: true }> {
  const result = checkEnvironment(readTextFile(file))
  if (result.ok) return result
  const message = formatDiagnostics(file, result.faults, '')
  throw new CommandError('invalid', message, { faults: result.faults })
}

/** Checks a document without an entry host. */
export function checkFile(file: string): CommandOutput {
  const { document, warnings } = loadValidDocument(file)
  const digest = documentDigest(document)
  const lines = [
    formatDiagnostics(file, warnings, 'warning: '),
    `${file} is valid, digest ${digest}`,
  ]
  return { text: lines.filter(line => line !== '').join('\n'), json: { digest, warnings } }
}

/** Compares two documents without an entry host. */
export function diffFiles(before: string, after: string): CommandOutput {
  const initial = emptyConfiguration()
  const entries = diffDocument(initial, loadValidDocument(before).document)
  const cfg = applyChange(initial, { kind: 'promote', digest: '', entries })
  const changes = diffDocument(cfg, loadValidDocument(after).document)
  return { text: formatChanges(changes), json: { changes } }
}

/** Formats the changes of a promotion as a table. */
export function formatChanges(changes: EntryChange[]): string {
  if (changes.length === 0) return 'no difference'
  const rows = changes.map(change => {
    if (change.op === 'set') {
      return [
        'set',
        change.section,
        entryName(change.section, change.value),
        formatCell(change.value),
      ]
    }
    if (change.op === 'remove') return ['remove', change.section, change.name, '']
    return ['set', change.op, '', formatCell(change.op === 'zones' ? change.zones : change.value)]
  })
  return formatTable(['change', 'section', 'name', 'value'], rows)
}

/** Generates a team's key or an operator's credential. The document contains only its digest. */
export function generateKeyAndDigest(kind: 'team' | 'operator', name: string): CommandOutput {
  if (!idPattern.test(name)) {
    throw new CommandError(
      'usage',
      `'${name}' cannot be an id; use lower-case letters, digits and hyphens.`,
    )
  }
  const { key, digest } = kind === 'team' ? generateTeamKey(name) : generateOperatorKey(name)
  const text = formatTable(
    ['field', 'value'],
    [
      ['key', key],
      ['digest', digest],
    ],
  )
  return { text: `${text}\nThe key is shown only once.`, json: { name, key, digest } }
}

function generateOperatorKey(name: string): { key: string; digest: string } {
  const { credential, digest } = generateOperatorCredential(name)
  return { key: credential, digest }
}
