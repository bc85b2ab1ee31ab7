// Stand-in for the platform's store: tables of rows, conditional transactions and the change feed.
import { createServer } from 'node:http'
import { readBody, sendJson, sleep } from './http.mjs'

/** Time of one answer in milliseconds, as the sheets of the small deployments state it. */
const answerMs = 4

/** Time for which changes can be followed, in milliseconds. */
const historyMs = 20_000

const maxRowsPerPage = 500

const keyOf = ({ table, part = '', key }) => `${table}\u0000${part}\u0000${key}`

/** Creates a store; `onTx` may decide what happens to a transaction. */
export function createStore() {
  const rows = new Map()
  /** Changes with the time at which they were made, in the order of their versions. */
  const history = []
  const waiters = new Set()
  const servers = []
  const startedAt = performance.now()
  let version = 100
  let droppedUntil = version

  const nowMs = () => Math.round(performance.now() - startedAt)

  const store = {
    /**
     * Called for each transaction of the system, before it is applied. Returns `undefined` to apply and
     * answer it, `{ lateMs }` or `{ until }` (a promise) to apply it later and never answer it, or
     * `{ drop: true }` to neither apply nor answer it. `host` is the host that sent it.
     */
    onTx: undefined,
    /** Called after each transaction that was applied. */
    onApplied: undefined,
    /** Hosts whose calls are not answered. */
    cutHosts: new Set(),
    commit,
    put: (table, key, value) => commit({ writes: [{ table, key, value: encode(value) }] }),
    remove: (table, key) => commit({ remove: [{ table, key }] }),
    read: (table, key, part = '') => {
      const row = rows.get(keyOf({ table, part, key }))
      return row === undefined ? undefined : decode(row.value)
    },
    serve,
    close,
  }

  function commit({ expected = [], writes = [], remove = [] }) {
    const failed = expected.filter(row => (rows.get(keyOf(row))?.ver ?? 0) !== row.ver)
    if (failed.length > 0) {
      const current = expected.flatMap(row => rows.get(keyOf(row)) ?? [])
      return { status: 412, body: { rows: current, ver: version, now_ms: nowMs() } }
    }
    version += 1
    const at = performance.now()
    for (const { table, part = '', key, value } of writes) {
      const row = { table, part, key, value, ver: version }
      rows.set(keyOf(row), row)
      history.push({ at, row })
    }
    for (const { table, part = '', key } of remove) {
      if (!rows.delete(keyOf({ table, part, key }))) continue
      history.push({ at, row: { table, part, key, ver: version, deleted: true } })
    }
    while (history.length > 0 && history[0].at < at - historyMs)
      droppedUntil = history.shift().row.ver
    for (const wake of [...waiters]) wake()
    return { status: 200, body: { ver: version, now_ms: nowMs() } }
  }

  function get({ table, part = '', from = '', to, limit = maxRowsPerPage }) {
    const found = [...rows.values()]
      .filter(row => row.table === table && row.part === part && row.key >= from)
      .filter(row => to === undefined || row.key < to)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
    const count = Math.min(limit, maxRowsPerPage)
    const page = found.slice(0, count)
    return { rows: page, has_more: found.length > count, ver: version, now_ms: nowMs() }
  }

  async function feed({ table, after, waitMs }) {
    const deadline = performance.now() + waitMs
    for (;;) {
      if (after < droppedUntil) return { status: 410, body: {} }
      const latest = new Map()
      for (const { row } of history) {
        if (row.ver <= after || row.table !== table) continue
        latest.delete(keyOf(row))
        latest.set(keyOf(row), row)
      }
      const leftMs = deadline - performance.now()
      if (latest.size > 0 || leftMs <= 0)
        return {
          status: 200,
          body: { rows: [...latest.values()], ver: version, now_ms: nowMs() },
        }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        waiters.add(wake)
      })
    }
  }

  async function handle(host, req, res) {
    const url = new URL(req.url, 'http://store')
    const query = Object.fromEntries(url.searchParams)
    const body = await readBody(req)
    await sleep(answerMs)
    if (store.cutHosts.has(host)) return
    if (url.pathname === '/v1/rows-get') {
      const limit = query.limit === undefined ? undefined : Number(query.limit)
      sendJson(res, 200, get({ ...query, limit }))
    } else if (url.pathname === '/v1/rows-parts') {
      const parts = [...rows.values()].filter(row => row.table === query.table)
      sendJson(res, 200, { parts: [...new Set(parts.map(row => row.part))].sort() })
    } else if (url.pathname === '/v1/rows-feed') {
      const answer = await feed({
        table: query.table,
        after: Number(query.after),
        waitMs: Math.min(30_000, Number(query.wait_ms ?? 0)),
      })
      if (!store.cutHosts.has(host)) sendJson(res, answer.status, answer.body)
    } else if (url.pathname === '/v1/rows-tx') {
      if ([...(body.writes ?? []), ...(body.remove ?? [])].some(row => isReserved(row.table))) {
        sendJson(res, 403, {})
        return
      }
      const verdict = store.onTx?.(host, body)
      if (verdict?.drop === true) return
      if (verdict?.until !== undefined) {
        // The connection delivers nothing further, as the pages say of one on which a response is lost.
        await verdict.until
        const { status } = commit(body)
        verdict.onLate?.(status)
        return
      }
      const answer = commit(body)
      if (answer.status === 200) store.onApplied?.(host, body)
      if (!store.cutHosts.has(host)) sendJson(res, answer.status, answer.body)
    } else sendJson(res, 404, {})
  }

  /** Opens an address of the store for one host; resolves to `ip:port`. */
  async function serve(host, ip) {
    const server = createServer((req, res) => {
      handle(host, req, res).catch(() => res.destroy())
    })
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => server.listen(0, ip, resolve))
    servers.push(server)
    return `${ip}:${server.address().port}`
  }

  function close() {
    for (const server of servers) {
      server.closeAllConnections()
      server.close()
    }
    for (const wake of [...waiters]) wake()
  }

  return store
}

const isReserved = table => table === 'op' || table === 'servers'

/** Values are base64 of JSON, as the body encoding of the small deployments is JSON. */
export const encode = value => Buffer.from(JSON.stringify(value)).toString('base64')
export const decode = text => JSON.parse(Buffer.from(text, 'base64').toString('utf8'))
