// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: tables with parts,
// atomic transactions with checks, pages, change feeds. Everything is kept in memory.
import { createServer } from 'node:http'

const maxEntries = 100
const maxCallBytes = 1_000_000
const maxPageRows = 500
const maxPageBytes = 1_000_000

/** Starts the store; `rowBytes` is the limit for the decoded value of a row. */
export async function startStore({ host, port = 0, rowBytes = 65_536, txMs = 3, record }) {
  const rows = new Map()
  const waiters = new Set()
  const startedAt = performance.now()
  let ver = 0
  const refusedTooLarge = []

  const idOf = ({ table, part = '', key }) => JSON.stringify([table, part, key])
  const wireRow = row =>
    row.deleted
      ? { table: row.table, part: row.part, key: row.key, ver: row.ver, deleted: true }
      : { table: row.table, part: row.part, key: row.key, ver: row.ver, value: row.value }
  const nowMs = () => Math.floor(performance.now() - startedAt)

  function apply(tx) {
    const expected = tx.expected ?? []
    const failed = expected.some(check => {
      const row = rows.get(idOf(check))
      return (row === undefined || row.deleted ? 0 : row.ver) !== check.ver
    })
    if (failed) {
      const current = expected.flatMap(check => {
        const row = rows.get(idOf(check))
        return row === undefined || row.deleted ? [] : [wireRow(row)]
      })
      return { status: 412, body: { rows: current, ver, now_ms: nowMs() } }
    }
    ver += 1
    for (const { table, part = '', key, value } of tx.writes ?? [])
      rows.set(idOf({ table, part, key }), { table, part, key, value, ver, deleted: false })
    for (const { table, part = '', key } of tx.remove ?? []) {
      const row = rows.get(idOf({ table, part, key }))
      if (row !== undefined && !row.deleted) {
        rows.set(idOf({ table, part, key }), { table, part, key, ver, deleted: true })
      }
    }
    for (const wake of [...waiters]) wake()
    return { status: 200, body: { ver, now_ms: nowMs() } }
  }

  function checkTx(tx, bytes) {
    const entries = [...(tx.expected ?? []), ...(tx.writes ?? []), ...(tx.remove ?? [])]
    if (bytes > maxCallBytes || entries.length > maxEntries) return 400
    if (new Set(entries.map(({ part = '' }) => part)).size > 1 && tx.across !== true) return 400
    const changed = [...(tx.writes ?? []), ...(tx.remove ?? [])]
    if (changed.some(({ table }) => table === 'op' || table === 'servers')) return 403
    const large = (tx.writes ?? []).find(({ value }) => byteLength(value) > rowBytes)
    if (large !== undefined) {
      const { table, part = '', key } = large
      refusedTooLarge.push({ at: nowMs(), table, part, key, bytes: byteLength(large.value) })
      if (refusedTooLarge.length <= 5)
        record?.('store refused a row that is too large', refusedTooLarge.at(-1))
      return 400
    }
    return 200
  }

  function page(params) {
    const table = params.get('table')
    const part = params.get('part') ?? ''
    const from = params.get('from') ?? ''
    const to = params.get('to')
    const limit = Math.min(maxPageRows, Number(params.get('limit') ?? maxPageRows))
    const found = [...rows.values()]
      .filter(row => !row.deleted && row.table === table && row.part === part)
      .filter(({ key }) => compare(key, from) >= 0 && (to === null || compare(key, to) < 0))
      .sort((a, b) => compare(a.key, b.key))
    const result = []
    let bytes = 0
    for (const row of found) {
      bytes += (row.value?.length ?? 0) + row.key.length
      if (result.length >= limit || (result.length > 0 && bytes > maxPageBytes)) break
      result.push(wireRow(row))
    }
    return { rows: result, has_more: result.length < found.length, ver, now_ms: nowMs() }
  }

  const changedAfter = (table, after) =>
    [...rows.values()]
      .filter(row => row.table === table && row.ver > after)
      .sort((a, b) => a.ver - b.ver)

  async function feed(params, res) {
    const table = params.get('table')
    const after = Number(params.get('after') ?? 0)
    const deadline = performance.now() + Math.min(30_000, Number(params.get('wait_ms') ?? 0))
    let changed = changedAfter(table, after)
    while (changed.length === 0 && performance.now() < deadline && !res.destroyed) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.max(1, deadline - performance.now()))
        waiters.add(wake)
      })
      changed = changedAfter(table, after)
    }
    return { rows: changed.map(wireRow), ver, now_ms: nowMs() }
  }

  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', async () => {
      const url = new URL(req.url, 'http://store')
      const send = (status, body) => {
        if (res.destroyed) return
        res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
      }
      if (req.method === 'POST' && url.pathname === '/v1/rows-tx') {
        const body = Buffer.concat(chunks)
        const tx = JSON.parse(body.toString('utf8'))
        await new Promise(resolve => setTimeout(resolve, txMs))
        const status = checkTx(tx, body.length)
        if (status !== 200) return send(status, { error: 'refused' })
        const result = apply(tx)
        return send(result.status, result.body)
      }
      if (req.method === 'GET' && url.pathname === '/v1/rows-get')
        return send(200, page(url.searchParams))
      if (req.method === 'GET' && url.pathname === '/v1/rows-feed')
        return send(200, await feed(url.searchParams, res))
      if (req.method === 'GET' && url.pathname === '/v1/rows-parts') {
        const table = url.searchParams.get('table')
        const parts = [...rows.values()].filter(row => row.table === table && !row.deleted)
        return send(200, { parts: [...new Set(parts.map(({ part }) => part))].sort(), ver })
      }
      return send(404, {})
    })
  })
  server.keepAliveTimeout = 60_000
  await listen(server, host, port)
  return {
    address: `${host}:${server.address().port}`,
    refusedTooLarge,
    /** Writes a row as the operator, a runner or the platform does. */
    put(table, key, value) {
      const encoded = Buffer.from(JSON.stringify(value)).toString('base64')
      apply({ writes: [{ table, part: '', key, value: encoded }] })
    },
    remove(table, key) {
      apply({ remove: [{ table, part: '', key }] })
    },
    /** The decoded value of a row. */
    get(table, key, part = '') {
      const row = rows.get(idOf({ table, part, key }))
      if (row === undefined || row.deleted) return undefined
      return JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
    },
    close() {
      for (const wake of [...waiters]) wake()
      server.closeAllConnections()
      server.close()
    },
  }
}

/** Starts listening on a loopback address. */
export async function listen(server, host, port) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}

const byteLength = value => Buffer.from(value ?? '', 'base64').length
const compare = (a, b) => Buffer.compare(Buffer.from(a), Buffer.from(b))
