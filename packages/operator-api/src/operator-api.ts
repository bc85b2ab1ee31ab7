import {
  changeRowSchema,
  checkEnvironment,
  documentDigest,
  keySchema,
  type Change,
} from '@bulrushbridge/contract'
import { RequestError, type Clock } from '@bulrushbridge/errors'
import { isRestrictive, type ChangeResult, type ConfigView } from '@bulrushbridge/config-view'
import type { ObjectStore, TableService } from '@bulrushbridge/store'
import { randomUUID } from 'node:crypto'
import { H3, type H3Event } from 'h3'
import { z } from 'zod'
import { authenticateOperator } from './authenticate.js'
import { InvalidDocumentError, promoteDocument, runTrial } from './promotion.js'
import { jsonResponse, errorResponse } from './respond.js'
import { callStore } from './store-call.js'
import type { RunningWorkOf } from './trial.js'

/** Largest request body, such as a document, in characters. */
const maxBodyCharacters = 8 * 1024 * 1024

/** Maximum number of change rows in one response. */
const maxHistoryRows = 500

/** Reads the recorded decisions about an object. */
export interface DecisionReader {
  /** Returns the decision records of an object, newest first; undefined for an unknown object. */
  explain(kind: string, id: string): Promise<unknown[] | undefined>
}

/** Options of {@link createOperatorApi}. */
export interface OperatorApiOptions {
  view: ConfigView
  table: TableService
  objects: ObjectStore
  clock: Clock
  decisions?: DecisionReader
  /** Amount of work that a team runs in the whole fleet now; used in trials. */
  runningWorkOf?: RunningWorkOf
  /** Additional fields of the status response. */
  status?: () => Record<string, unknown>
  /** SHA-256 of the credential that is accepted until the first promotion. */
  bootstrapDigest?: string
}

type Handler = (event: H3Event, operator: string) => Promise<Response> | Response

const promoteBodySchema = z.strictObject({ digest: z.string(), expectedVersion: z.int().min(0) })
const withdrawBodySchema = z.strictObject({ id: z.string() })

/**
 * Creates the HTTP API for operators. It is independent of the socket that serves it.
 *
 * @example
 * const app = createOperatorApi({ view, table, objects, clock: systemClock })
 * createServer(toNodeHandler(app)).listen(port, address)
 */
export function createOperatorApi(opts: OperatorApiOptions): H3 {
  const app = new H3({ silent: true })
  const routes: [method: 'GET' | 'POST', path: string, handler: Handler][] = [
    ['POST', 'check', event => handleCheck(event)],
    [
      'POST',
      'trial',
      async event => jsonResponse(200, await runTrial(opts, await readText(event))),
    ],
    ['POST', 'promote', (event, operator) => handlePromote(opts, event, operator)],
    ['GET', 'status', () => handleStatus(opts)],
    ['GET', 'history', event => handleHistory(opts, event)],
    ['GET', 'explain/:kind/:id', event => handleExplain(opts, event)],
    [
      'POST',
      'zones/:zone/out',
      (event, operator) => handleZoneChange(opts, event, operator, 'zone-out'),
    ],
    [
      'POST',
      'zones/:zone/back',
      (event, operator) => handleZoneChange(opts, event, operator, 'zone-back'),
    ],
    ['POST', 'keys/grant', (event, operator) => handleKeyGrant(opts, event, operator)],
    ['POST', 'keys/withdraw', (event, operator) => handleKeyWithdrawal(opts, event, operator)],
  ]
  for (const [method, path, handler] of routes) {
    app.on(method, `/operator/v1/${path}`, event => handleRequest(opts, event, handler))
  }
  app.all('/operator/v1/**', () => errorResponse(new RequestError('unknown-path')))
  return app
}

async function handleRequest(
  opts: OperatorApiOptions,
  event: H3Event,
  handler: Handler,
): Promise<Response> {
  try {
    const header = event.req.headers.get('authorization')
    const operator = authenticateOperator(header, opts.view.committed(), opts.bootstrapDigest)
    return await handler(event, operator)
  } catch (err) {
    return errorResponse(err, err instanceof InvalidDocumentError ? { faults: err.faults } : {})
  }
}

async function readText(event: H3Event): Promise<string> {
  const declaredLength = Number(event.req.headers.get('content-length') ?? 0)
  if (declaredLength > maxBodyCharacters) throw new RequestError('body-too-large')
  const text = await event.req.text()
  if (text.length > maxBodyCharacters) throw new RequestError('body-too-large')
  return text
}

async function readJson<S extends z.ZodType>(event: H3Event, schema: S): Promise<z.infer<S>> {
  const text = await readText(event)
  try {
    return schema.parse(JSON.parse(text))
  } catch (cause) {
    const issues = cause instanceof z.ZodError ? z.prettifyError(cause) : 'The body is not JSON.'
    throw new RequestError('bad-request', { message: issues, cause })
  }
}

function pathParameter(event: H3Event, name: string): string {
  return decodeURIComponent(event.context.params?.[name] ?? '')
}

async function handleCheck(event: H3Event): Promise<Response> {
  const checked = checkEnvironment(await readText(event))
  if (!checked.ok) throw new InvalidDocumentError(checked.faults)
  return jsonResponse(200, { digest: documentDigest(checked.document), warnings: checked.warnings })
}

async function handlePromote(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
): Promise<Response> {
  const { digest, expectedVersion } = await readJson(event, promoteBodySchema)
  return changeResponse(await promoteDocument(opts, digest, expectedVersion, operator))
}

function handleStatus(opts: OperatorApiOptions): Response {
  const { view } = opts
  const cfg = view.current()
  return jsonResponse(200, {
    member: view.member.id,
    version: cfg.version,
    environment: cfg.environment,
    documentDigest: cfg.documentDigest,
    confirmed: view.isConfirmed(),
    zones: cfg.zones,
    zonesOut: cfg.zonesOut,
    provisional: view.provisional(),
    members: view.memberVersions(),
    ...opts.status?.(),
  })
}

async function handleHistory(opts: OperatorApiOptions, event: H3Event): Promise<Response> {
  const requestedLimit = Number(new URL(event.req.url).searchParams.get('limit') ?? 50)
  if (!Number.isInteger(requestedLimit) || requestedLimit < 1) {
    throw new RequestError('bad-request', { message: 'limit must be a positive whole number.' })
  }
  const { version } = opts.view.committed()
  const from = String(Math.max(1, version - Math.min(requestedLimit, maxHistoryRows) + 1)).padStart(
    12,
    '0',
  )
  const rows = await callStore(opts.clock, callOpts =>
    opts.table.scan('changes', { from, ...callOpts }),
  )
  return jsonResponse(200, {
    changes: rows.map(({ value }) => changeRowSchema.parse(value)).reverse(),
  })
}

async function handleExplain(opts: OperatorApiOptions, event: H3Event): Promise<Response> {
  const [kind, id] = [pathParameter(event, 'kind'), pathParameter(event, 'id')]
  const decisions = await callStore(
    opts.clock,
    () => opts.decisions?.explain(kind, id) ?? Promise.resolve(undefined),
  )
  if (!decisions) throw new RequestError('unknown-object')
  return jsonResponse(200, { kind, id, decisions })
}

function handleZoneChange(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
  kind: 'zone-out' | 'zone-back',
): Promise<Response> {
  const zone = pathParameter(event, 'zone')
  if (!opts.view.current().zones.includes(zone)) {
    throw new RequestError('unknown-object', { message: `There is no zone '${zone}'.` })
  }
  return submitChange(opts, { kind, zone }, operator)
}

async function handleKeyGrant(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
): Promise<Response> {
  const key = await readJson(event, keySchema)
  if (!Object.hasOwn(opts.view.current().teams, key.team)) {
    throw new RequestError('unknown-object', { message: `There is no team '${key.team}'.` })
  }
  return submitChange(opts, { kind: 'key-grant', key }, operator)
}

async function handleKeyWithdrawal(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
): Promise<Response> {
  const { id } = await readJson(event, withdrawBodySchema)
  const cfg = opts.view.current()
  if (
    !Object.hasOwn(cfg.keys, id) &&
    !Object.hasOwn(cfg.grantedKeys, id) &&
    !cfg.withdrawnKeys.includes(id)
  ) {
    throw new RequestError('unknown-object', { message: `There is no key '${id}'.` })
  }
  return submitChange(opts, { kind: 'key-withdraw', id }, operator)
}

/** Commits a change. When the store is unavailable, applies a restrictive change provisionally. */
async function submitChange(
  opts: OperatorApiOptions,
  change: Change,
  by: string,
): Promise<Response> {
  const restrictionId = randomUUID()
  try {
    return changeResponse(await opts.view.propose(change, { by, restrictionId }))
  } catch (err) {
    const isStoreUnavailable = err instanceof RequestError && err.kind === 'store-unavailable'
    if (!isStoreUnavailable || !isRestrictive(change)) throw err
    const result = await opts.view.restrict(change, { by, id: restrictionId })
    return changeResponse(result, result.version === 0)
  }
}

function changeResponse(result: ChangeResult, isProvisional = false): Response {
  const message = isProvisional
    ? 'The table service does not answer. The restriction is provisional: it is in force at the entry hosts listed and is committed when the service returns.'
    : undefined
  return jsonResponse(200, {
    ...result,
    provisional: isProvisional,
    ...(message === undefined ? {} : { message }),
  })
}
