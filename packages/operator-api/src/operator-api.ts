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
import { authenticate } from './authenticate.js'
import { DocumentInvalid, promote, runTrial } from './promotion.js'
import { respond, respondError } from './respond.js'
import { storeCall } from './store-call.js'
import type { UsageOf } from './trial.js'

/** Largest document, in characters. */
const maxBodyLength = 8 * 1024 * 1024

/** Most change rows in one answer. */
const maxHistory = 500

/** Explains an object from the decision records. */
export interface DecisionSource {
  /** Decision records of an object, newest first; undefined when the object is unknown. */
  explain(kind: string, id: string): Promise<unknown[] | undefined>
}

/** Options of {@link createOperatorApi}. */
export interface OperatorApiOptions {
  view: ConfigView
  table: TableService
  objects: ObjectStore
  clock: Clock
  decisions?: DecisionSource
  /** Running work of a team over the fleet, for trials. */
  usageOf?: UsageOf
  /** Further fields of the status. */
  status?: () => Record<string, unknown>
  /** SHA-256 of the credential that is accepted until the first promotion. */
  bootstrapDigest?: string
}

type Handler = (event: H3Event, operator: string) => Promise<Response> | Response

const promoteBody = z.strictObject({ digest: z.string(), expectedVersion: z.int().min(0) })
const withdrawBody = z.strictObject({ id: z.string() })

/**
 * The operators' HTTP API, independent of the socket that serves it.
 *
 * @example
 * const app = createOperatorApi({ view, table, objects, clock: systemClock })
 * createServer(toNodeHandler(app)).listen(port, address)
 */
export function createOperatorApi(opts: OperatorApiOptions): H3 {
  const app = new H3({ silent: true })
  const routes: [method: 'GET' | 'POST', path: string, handler: Handler][] = [
    ['POST', 'check', event => check(event)],
    ['POST', 'trial', async event => respond(200, await runTrial(opts, await readText(event)))],
    ['POST', 'promote', (event, operator) => handlePromote(opts, event, operator)],
    ['GET', 'status', () => status(opts)],
    ['GET', 'history', event => history(opts, event)],
    ['GET', 'explain/:kind/:id', event => explain(opts, event)],
    ['POST', 'zones/:zone/out', (event, operator) => changeZone(opts, event, operator, 'zone-out')],
    [
      'POST',
      'zones/:zone/back',
      (event, operator) => changeZone(opts, event, operator, 'zone-back'),
    ],
    ['POST', 'keys/grant', (event, operator) => grantKey(opts, event, operator)],
    ['POST', 'keys/withdraw', (event, operator) => withdrawKey(opts, event, operator)],
  ]
  for (const [method, path, handler] of routes) {
    app.on(method, `/operator/v1/${path}`, event => answer(opts, event, handler))
  }
  app.all('/operator/v1/**', () => respondError(new RequestError('unknown-path')))
  return app
}

async function answer(
  opts: OperatorApiOptions,
  event: H3Event,
  handler: Handler,
): Promise<Response> {
  try {
    const header = event.req.headers.get('authorization')
    const operator = authenticate(header, opts.view.committed(), opts.bootstrapDigest)
    return await handler(event, operator)
  } catch (err) {
    return respondError(err, err instanceof DocumentInvalid ? { faults: err.faults } : {})
  }
}

async function readText(event: H3Event): Promise<string> {
  const declared = Number(event.req.headers.get('content-length') ?? 0)
  if (declared > maxBodyLength) throw new RequestError('body-too-large')
  const text = await event.req.text()
  if (text.length > maxBodyLength) throw new RequestError('body-too-large')
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

function parameter(event: H3Event, name: string): string {
  return decodeURIComponent(event.context.params?.[name] ?? '')
}

async function check(event: H3Event): Promise<Response> {
  const checked = checkEnvironment(await readText(event))
  if (!checked.ok) throw new DocumentInvalid(checked.faults)
  return respond(200, { digest: documentDigest(checked.document), warnings: checked.warnings })
}

async function handlePromote(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
): Promise<Response> {
  const { digest, expectedVersion } = await readJson(event, promoteBody)
  return respondChange(await promote(opts, digest, expectedVersion, operator))
}

function status(opts: OperatorApiOptions): Response {
  const { view } = opts
  const cfg = view.current()
  return respond(200, {
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

async function history(opts: OperatorApiOptions, event: H3Event): Promise<Response> {
  const asked = Number(new URL(event.req.url).searchParams.get('limit') ?? 50)
  if (!Number.isInteger(asked) || asked < 1) {
    throw new RequestError('bad-request', { message: 'limit must be a positive whole number.' })
  }
  const { version } = opts.view.committed()
  const from = String(Math.max(1, version - Math.min(asked, maxHistory) + 1)).padStart(12, '0')
  const rows = await storeCall(opts.clock, call => opts.table.scan('changes', { from, ...call }))
  return respond(200, { changes: rows.map(({ value }) => changeRowSchema.parse(value)).reverse() })
}

async function explain(opts: OperatorApiOptions, event: H3Event): Promise<Response> {
  const [kind, id] = [parameter(event, 'kind'), parameter(event, 'id')]
  const decisions = await storeCall(
    opts.clock,
    () => opts.decisions?.explain(kind, id) ?? Promise.resolve(undefined),
  )
  if (!decisions) throw new RequestError('unknown-object')
  return respond(200, { kind, id, decisions })
}

function changeZone(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
  kind: 'zone-out' | 'zone-back',
): Promise<Response> {
  const zone = parameter(event, 'zone')
  if (!opts.view.current().zones.includes(zone)) {
    throw new RequestError('unknown-object', { message: `There is no zone '${zone}'.` })
  }
  return order(opts, { kind, zone }, operator)
}

async function grantKey(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
): Promise<Response> {
  const key = await readJson(event, keySchema)
  if (!Object.hasOwn(opts.view.current().teams, key.team)) {
    throw new RequestError('unknown-object', { message: `There is no team '${key.team}'.` })
  }
  return order(opts, { kind: 'key-grant', key }, operator)
}

async function withdrawKey(
  opts: OperatorApiOptions,
  event: H3Event,
  operator: string,
): Promise<Response> {
  const { id } = await readJson(event, withdrawBody)
  const cfg = opts.view.current()
  if (
    !Object.hasOwn(cfg.keys, id) &&
    !Object.hasOwn(cfg.grantedKeys, id) &&
    !cfg.withdrawnKeys.includes(id)
  ) {
    throw new RequestError('unknown-object', { message: `There is no key '${id}'.` })
  }
  return order(opts, { kind: 'key-withdraw', id }, operator)
}

/** Commits a change; without the store a restrictive one is put in force provisionally. */
async function order(opts: OperatorApiOptions, change: Change, by: string): Promise<Response> {
  const restrictionId = randomUUID()
  try {
    return respondChange(await opts.view.propose(change, { by, restrictionId }))
  } catch (err) {
    const isDown = err instanceof RequestError && err.kind === 'store-unavailable'
    if (!isDown || !isRestrictive(change)) throw err
    const result = await opts.view.restrict(change, { by, id: restrictionId })
    return respondChange(result, result.version === 0)
  }
}

function respondChange(result: ChangeResult, provisional = false): Response {
  const message = provisional
    ? 'The table service does not answer. The restriction is provisional: it is in force at the entry hosts listed and is committed when the service returns.'
    : undefined
  return respond(200, { ...result, provisional, ...(message === undefined ? {} : { message }) })
}
