// Stand-in of the platform: the metadata store and the list of machines, each on its own port.
// Usage: node platform.mjs STORE_HOST:PORT CLOUD_HOST:PORT
// The paths under /admin are for the test: they write the rows of operators and runners, and set the
// states of machines. Requests there are not part of the platform's protocol.
import { createServer } from 'node:http'

const [storeAddress, cloudAddress] = process.argv.slice(2)
const txMs = 3
const maxPageRows = 500
const heartbeatLimitMs = 4_500

const startedAt = performance.now()
const nowMs = () => Math.floor(performance.now() - startedAt)
const rows = new Map() // JSON key -> { table, part, key, value, ver, deleted }
const waiters = new Set()
const partQueues = new Map() // part -> time until which its transactions take
const heartbeats = new Map() // runner id -> time of its last heartbeat
const machines = new Map() // machine id -> entry of the list
const machineFences = new Map()
let version = 0
/** Process that freezes as the answer to a write of a table is on its way; undefined for none. */
let freeze

const rowId = (table, part, key) => JSON.stringify([table, part, key])
const currentVersion = id => {
  const row = rows.get(id)
  return row === undefined || row.deleted ? 0 : row.ver
}
const toWire = ({ table, part, key, value, ver, deleted }) =>
  deleted ? { table, part, key, ver, deleted: true } : { table, part, key, value, ver }

function put(table, part, key, value) {
  version += 1
  const deleted = value === null
  rows.set(rowId(table, part, key), { table, part, key, value, ver: version, deleted })
  for (const wake of [...waiters]) wake()
}

function transact(body) {
  const expected = body.expected ?? []
  const failed = expected.some(
    ({ table, part = '', key, ver }) => currentVersion(rowId(table, part, key)) !== ver,
  )
  if (failed) {
    const found = expected
      .map(({ table, part = '', key }) => rows.get(rowId(table, part, key)))
      .filter(row => row !== undefined && !row.deleted)
    return [412, { rows: found.map(toWire) }]
  }
  const changes = [
    ...(body.writes ?? []).map(each => [each, each.value]),
    ...(body.remove ?? []).map(each => [each, null]),
  ]
  if (changes.some(([{ table }]) => table === 'op' || table === 'servers')) return [403, {}]
  if (changes.length + expected.length > 100) return [400, {}]
  version += 1
  for (const [{ table, part = '', key }, value] of changes) {
    const id = rowId(table, part, key)
    if (value === null && rows.get(id) === undefined) continue
    rows.set(id, { table, part, key, value, ver: version, deleted: value === null })
  }
  for (const wake of [...waiters]) wake()
  return [200, { ver: version, now_ms: nowMs() }]
}

function getRows(params) {
  const table = params.get('table')
  const part = params.get('part') ?? ''
  const from = params.get('from') ?? ''
  const to = params.get('to')
  const limit = Math.min(maxPageRows, Number(params.get('limit') ?? maxPageRows))
  const found = [...rows.values()]
    .filter(row => row.table === table && row.part === part && !row.deleted)
    .filter(({ key }) => key >= from && (to === null || key < to))
    .sort((a, b) => (a.key < b.key ? -1 : 1))
  const page = { rows: found.slice(0, limit).map(toWire), has_more: found.length > limit }
  return [200, { ...page, ver: version, now_ms: nowMs() }]
}

function changedRows(table, after) {
  return [...rows.values()]
    .filter(row => row.table === table && row.ver > after)
    .sort((a, b) => a.ver - b.ver)
}

async function getFeed(params, res) {
  const table = params.get('table')
  const after = Number(params.get('after'))
  const deadline = performance.now() + Math.min(30_000, Number(params.get('wait_ms') ?? 0))
  while (changedRows(table, after).length === 0 && performance.now() < deadline) {
    await new Promise(resolve => {
      const timer = setTimeout(finish, deadline - performance.now())
      function finish() {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
      waiters.add(finish)
      res.on('close', finish)
    })
    if (res.destroyed) break
  }
  return [200, { rows: changedRows(table, after).map(toWire), ver: version, now_ms: nowMs() }]
}

/** Transactions of one part run one after another. */
async function waitForPart(body) {
  const [first] = [...(body.expected ?? []), ...(body.writes ?? []), ...(body.remove ?? [])]
  const part = first?.part ?? ''
  const begin = Math.max(performance.now(), partQueues.get(part) ?? 0)
  partQueues.set(part, begin + txMs)
  await new Promise(resolve => setTimeout(resolve, begin + txMs - performance.now()))
}

async function handleStore(req, url, body, res) {
  if (url.pathname === '/v1/rows-tx') {
    await waitForPart(body)
    const result = transact(body)
    if (result[0] === 200 && body.writes?.some(({ table }) => table === freeze?.table)) {
      process.kill(freeze.pid, 'SIGSTOP')
      process.stdout.write(`${JSON.stringify({ event: 'frozen', pid: freeze.pid })}\n`)
      freeze = undefined
    }
    return result
  }
  if (url.pathname === '/v1/rows-get') return getRows(url.searchParams)
  if (url.pathname === '/v1/rows-feed') return getFeed(url.searchParams, res)
  if (url.pathname === '/admin/row') {
    const { table, key, value } = body
    put(table, '', key, value === null ? null : encode(value))
    return [200, { ver: version }]
  }
  if (url.pathname === '/admin/heartbeat') {
    heartbeats.set(body.id, performance.now())
    put('servers', '', body.id, encode(body.entry))
    return [200, {}]
  }
  if (url.pathname === '/admin/freeze') {
    freeze = body
    return [200, {}]
  }
  if (url.pathname === '/admin/leave') {
    heartbeats.delete(body.id)
    put('servers', '', body.id, null)
    return [200, {}]
  }
  if (url.pathname === '/admin/rows') {
    const table = url.searchParams.get('table')
    const found = [...rows.values()].filter(row => row.table === table && !row.deleted)
    return [200, { rows: found.map(row => ({ key: row.key, value: decode(row.value) })) }]
  }
  return [404, {}]
}

const encode = value => Buffer.from(JSON.stringify(value)).toString('base64')
const decode = value => JSON.parse(Buffer.from(value, 'base64').toString('utf8'))

async function handleCloud(req, url, body) {
  if (url.pathname === '/admin/machine') {
    machines.set(body.machine, { ...machines.get(body.machine), ...body })
    return [200, {}]
  }
  if (url.pathname === '/v1/machines')
    return [200, { machines: [...machines.values()], next_token: null }]
  if (url.pathname !== '/v1/machine-move' && url.pathname !== '/v1/machine-upkeep') return [404, {}]
  if (!machines.has(body.machine)) return [400, {}]
  const fence = Number(req.headers['bulrushbridge-fencing-token'])
  if (fence < (machineFences.get(body.machine) ?? 0)) return [409, { reason: 'fence' }]
  machineFences.set(body.machine, fence)
  const machine = machines.get(body.machine)
  // No case here has a wave, so an upkeep is of none.
  if (url.pathname === '/v1/machine-upkeep') return [409, { reason: 'wave' }]
  if (machine.pool === body.pool) return [200, {}]
  if (machine.state !== 'up') return [409, { reason: 'busy' }]
  machines.set(body.machine, { ...machine, pool: body.pool, state: 'moving' })
  // The harness ends the runner, and starts the next one when the move is over.
  process.stdout.write(
    `${JSON.stringify({ event: 'move', machine: body.machine, pool: body.pool })}\n`,
  )
  return [200, {}]
}

function serve(address, handle) {
  const [host, port] = address.split(':')
  const server = createServer(async (req, res) => {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString('utf8')
    const url = new URL(req.url, `http://${address}`)
    const [status, value] = await handle(req, url, text === '' ? {} : JSON.parse(text), res)
    const responseText = JSON.stringify(value)
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(responseText),
    })
    res.end(responseText)
  })
  server.keepAliveTimeout = 65_000
  server.listen(Number(port), host)
}

// The entry of a runner is removed after three intervals of silence.
setInterval(() => {
  for (const [id, at] of heartbeats) {
    if (performance.now() - at < heartbeatLimitMs) continue
    heartbeats.delete(id)
    put('servers', '', id, null)
  }
}, 100)

serve(storeAddress, handleStore)
serve(cloudAddress, handleCloud)
