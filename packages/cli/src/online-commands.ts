import type { DocumentDiagnostic, EntryChange } from '@bulrushbridge/contract'
import { CommandError } from './command-error.js'
import type { OperatorApiClient } from './operator-api-client.js'
import {
  formatChanges,
  formatDiagnostics,
  readTextFile,
  type CommandOutput,
} from './offline-commands.js'
import { formatCell, formatTable } from './table.js'

interface TrialResponse {
  digest: string
  version: number
  changes: EntryChange[]
  warnings: DocumentDiagnostic[]
  effects: Record<string, Record<string, unknown>[]>
}

interface ChangeResponse {
  version: number
  accepted: boolean
  acknowledged: string[]
  missing: string[]
  provisional: boolean
}

/** Runs a trial of a document at an entry host and shows what a promotion would change. */
export async function runTrial(client: OperatorApiClient, file: string): Promise<CommandOutput> {
  const result = await requestTrial(client, file)
  const effects = Object.entries(result.effects).flatMap(([kind, items]) =>
    items.map(item => [kind, ...Object.values(item).map(formatCell)]),
  )
  const textParts = [
    formatDiagnostics(file, result.warnings, 'warning: '),
    formatChanges(result.changes),
    effects.length > 0 ? formatTable(['effect', 'of', '', ''], effects) : '',
    `proved; promote with: bulrush promote ${result.digest} --expected-version ${result.version}`,
  ]
  return { text: textParts.filter(part => part !== '').join('\n'), json: result }
}

/** Compares a document with the current configuration. The entry host runs a trial for this. */
export async function diffWithCurrent(
  client: OperatorApiClient,
  file: string,
): Promise<CommandOutput> {
  const { changes, version } = await requestTrial(client, file)
  return { text: formatChanges(changes), json: { version, changes } }
}

async function requestTrial(client: OperatorApiClient, file: string): Promise<TrialResponse> {
  try {
    return (await client.post('trial', readTextFile(file))) as unknown as TrialResponse
  } catch (err) {
    if (!(err instanceof CommandError) || !Array.isArray(err.details.faults)) throw err
    const faults = err.details.faults as DocumentDiagnostic[]
    throw new CommandError('invalid', formatDiagnostics(file, faults, ''), err.details)
  }
}

/** Submits a change and shows at which entry hosts it is in force. */
export async function submitChange(
  client: OperatorApiClient,
  path: string,
  body: unknown,
): Promise<CommandOutput> {
  const response = (await client.post(path, JSON.stringify(body))) as unknown as ChangeResponse
  const hosts = [
    ...response.acknowledged.map(id => [id, 'in force']),
    ...response.missing.map(id => [id, 'not yet']),
  ]
  const summary = response.provisional
    ? 'The table service does not answer; the restriction is provisional until it returns.'
    : `Committed as version ${response.version}.`
  const isComplete = response.accepted && response.missing.length === 0
  return {
    text: `${summary}\n${formatTable(['entry host', 'state'], hosts)}`,
    json: response,
    ...(isComplete ? {} : { exitKind: 'partial' as const }),
  }
}

/** Shows the status of the first entry host that responds. */
export async function showStatus(client: OperatorApiClient): Promise<CommandOutput> {
  const json = await client.get('status')
  const rows = Object.entries(json).map(([name, value]) => [name, formatCell(value)])
  return { text: formatTable(['field', 'value'], rows), json }
}

/** Shows the latest changes, newest first. */
export async function showHistory(
  client: OperatorApiClient,
  limit: number,
): Promise<CommandOutput> {
  const json = await client.get(`history?limit=${limit}`)
  const changes = json.changes as {
    version: number
    at: string
    by: string
    change: { kind: string }
  }[]
  const rows = changes.map(row => [formatCell(row.version), row.at, row.by, row.change.kind])
  return { text: formatTable(['version', 'at', 'by', 'change'], rows), json }
}

/** Shows the decision records of an object. */
export async function showDecisions(
  client: OperatorApiClient,
  kind: string,
  id: string,
): Promise<CommandOutput> {
  const json = await client.get(`explain/${encodeURIComponent(kind)}/${encodeURIComponent(id)}`)
  const decisions = json.decisions as Record<string, unknown>[]
  const columns = [...new Set(decisions.flatMap(decision => Object.keys(decision)))]
  const rows = decisions.map(decision => columns.map(column => formatCell(decision[column])))
  return { text: formatTable(columns, rows), json }
}
