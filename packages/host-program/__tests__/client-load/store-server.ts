import { createServer, type IncomingMessage } from 'node:http'
import { createMemoryStore, type MemoryStore } from '@bulrushbridge/standins'

/** Wire form of a row that a transaction names. */
interface WireRow {
  table: string
  part?: string
  key: string
  ver?: number
  value?: string
}

/** Stand-in for the platform's store over HTTP. */
export interface StoreServer {
  readonly address: string
  /** The rows; tests write those of operators here. */
  readonly rows: MemoryStore
  close(): void
}

/**
 * Starts a stand-in for the platform's store: the reads, transactions and change feeds that
 * `bulrush-host` uses, with a delay of each read and transaction in milliseconds.
 */
export async function createStoreServer(host: string, delayMs: number): Promise<StoreServer> {
  const rows = createMemoryStore()
  const handlers: Record<string, (params: URLSearchParams, body: string) => Promise<Reply>> = {
    '/v1/rows-get': async params => {
      await delay(delayMs)
      return readRows(rows, params)
    },
    '/v1/rows-feed': params => readChanges(rows, params),
    '/v1/rows-tx': async (_params, body) => {
      await delay(delayMs)
      return commit(rows, body)
    },
  }
  const server = createServer((req, res) => {
    const { pathname, searchParams } = new URL(req.url ?? '', `http://${host}`)
    void readText(req)
      .then(body => handlers[pathname]?.(searchParams, body) ?? { status: 404, value: {} })
      .then(({ status, value }) => {
        res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
      })
      .catch(() => res.destroy())
  })
  server.keepAliveTimeout = 60_000
  await new Promise<void>(resolve => server.listen(0, host, resolve))
  const bound = server.address()
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0
  return {
    address: `${host}:${port}`,
    rows,
    close: () => {
      server.close()
      server.closeAllConnections()
    },
  }
}

interface Reply {
  status: number
  value: unknown
}

async function readRows(rows: MemoryStore, params: URLSearchParams): Promise<Reply> {
  const [table, part] = [params.get('table') ?? '', params.get('part') ?? '']
  const range = { from: params.get('from') ?? '', to: params.get('to') ?? undefined }
  const { version } = await rows.snapshot(table, [])
  const found = await rows.scan(table, {
    part,
    from: range.from,
    ...(range.to === undefined ? {} : { to: range.to }),
  })
  const page = found.map(row => encodeRow({ ...row, table, part }))
  return { status: 200, value: { rows: page, has_more: false, ver: version } }
}

async function readChanges(rows: MemoryStore, params: URLSearchParams): Promise<Reply> {
  const table = params.get('table') ?? ''
  const [after, waitMs] = [Number(params.get('after')), Number(params.get('wait_ms'))]
  const changes = await rows.changes(table, { after, waitMs })
  if (changes === undefined) return { status: 410, value: {} }
  const page = changes.rows.map(row =>
    row.isDeleted
      ? { table, part: row.part, key: row.key, ver: row.version, deleted: true }
      : encodeRow({ ...row, table }),
  )
  return { status: 200, value: { rows: page, ver: changes.version } }
}

async function commit(rows: MemoryStore, text: string): Promise<Reply> {
  const body = JSON.parse(text) as Record<'expected' | 'writes' | 'remove', WireRow[] | undefined>
  const result = await rows.commit({
    checks: (body.expected ?? []).map(({ ver = 0, ...row }) => ({ ...row, version: ver })),
    writes: [
      ...(body.writes ?? []).map(row => ({ ...row, value: decodeValue(row.value ?? '') })),
      ...(body.remove ?? []).map(row => ({ ...row, value: null })),
    ],
  })
  if (result.committed) return { status: 200, value: { ver: result.version } }
  const current = await Promise.all(
    result.failed.map(async ({ table, part = '', key }) => {
      const row = await rows.read(table, key, { part })
      return row === undefined ? [] : [encodeRow({ ...row, table, part })]
    }),
  )
  return { status: 412, value: { rows: current.flat() } }
}

function encodeRow(row: {
  table: string
  part: string
  key: string
  version: number
  value: unknown
}) {
  const { table, part, key, version, value } = row
  return { table, part, key, ver: version, value: encodeValue(value) }
}

const encodeValue = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64')

const decodeValue = (text: string): unknown =>
  JSON.parse(Buffer.from(text, 'base64').toString('utf8'))

const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}
