import type { DocumentDiagnostic, EntryChange } from '@bulrushbridge/contract'
import { CommandError } from './command-error.js'
import type { EntryClient } from './entry-client.js'
import { formatChanges, formatFaults, readDocument, type Output } from './offline.js'
import { cell, formatTable } from './table.js'

interface Trial {
  digest: string
  version: number
  changes: EntryChange[]
  warnings: DocumentDiagnostic[]
  effects: Record<string, Record<string, unknown>[]>
}

interface ChangeAnswer {
  version: number
  accepted: boolean
  acknowledged: string[]
  missing: string[]
  provisional: boolean
}

/** Runs a trial of a document. */
export async function trial(client: EntryClient, file: string): Promise<Output> {
  const result = await askTrial(client, file)
  const effects = Object.entries(result.effects).flatMap(([kind, items]) =>
    items.map(item => [kind, ...Object.values(item).map(cell)]),
  )
  const text = [
    formatFaults(file, result.warnings, 'warning: '),
    formatChanges(result.changes),
    effects.length > 0 ? formatTable(['effect', 'of', '', ''], effects) : '',
    `proved; promote with: bulrush promote ${result.digest} --expected-version ${result.version}`,
  ]
  return { text: text.filter(part => part !== '').join('\n'), json: result }
}

/** Compares a document with the configuration in force; the entry host runs a trial for this. */
export async function diffInForce(client: EntryClient, file: string): Promise<Output> {
  const { changes, version } = await askTrial(client, file)
  return { text: formatChanges(changes), json: { version, changes } }
}

async function askTrial(client: EntryClient, file: string): Promise<Trial> {
  try {
    return (await client.change('trial', readDocument(file))) as unknown as Trial
  } catch (err) {
    if (!(err instanceof CommandError) || !Array.isArray(err.details.faults)) throw err
    const faults = err.details.faults as DocumentDiagnostic[]
    throw new CommandError('invalid', formatFaults(file, faults, ''), err.details)
  }
}

/** Orders a change and reports where it is in force. */
export async function change(client: EntryClient, path: string, body: unknown): Promise<Output> {
  const answer = (await client.change(path, JSON.stringify(body))) as unknown as ChangeAnswer
  const hosts = [
    ...answer.acknowledged.map(id => [id, 'in force']),
    ...answer.missing.map(id => [id, 'not yet']),
  ]
  const first = answer.provisional
    ? 'The table service does not answer; the restriction is provisional until it returns.'
    : `Committed as version ${answer.version}.`
  const isComplete = answer.accepted && answer.missing.length === 0
  return {
    text: `${first}\n${formatTable(['entry host', 'state'], hosts)}`,
    json: answer,
    ...(isComplete ? {} : { exit: 'partial' as const }),
  }
}

/** The status of the first entry host that answers. */
export async function status(client: EntryClient): Promise<Output> {
  const json = await client.read('status')
  const rows = Object.entries(json).map(([name, value]) => [name, cell(value)])
  return { text: formatTable(['field', 'value'], rows), json }
}

/** The latest changes, newest first. */
export async function history(client: EntryClient, limit: number): Promise<Output> {
  const json = await client.read(`history?limit=${limit}`)
  const changes = json.changes as {
    version: number
    at: string
    by: string
    change: { kind: string }
  }[]
  const rows = changes.map(row => [cell(row.version), row.at, row.by, row.change.kind])
  return { text: formatTable(['version', 'at', 'by', 'change'], rows), json }
}

/** The decision records of an object. */
export async function explain(client: EntryClient, kind: string, id: string): Promise<Output> {
  const json = await client.read(`explain/${encodeURIComponent(kind)}/${encodeURIComponent(id)}`)
  const decisions = json.decisions as Record<string, unknown>[]
  const columns = [...new Set(decisions.flatMap(decision => Object.keys(decision)))]
  const rows = decisions.map(decision => columns.map(column => cell(decision[column])))
  return { text: formatTable(columns, rows), json }
}
