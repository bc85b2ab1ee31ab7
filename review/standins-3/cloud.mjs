// Stand-in for the platform's machine service.
import { createServer } from 'node:http'
import { readBody, sendJson, sleep } from './http.mjs'

const answerMs = 4

/**
 * Creates the service. `machines` maps the id of a machine to `{ runner, pool, zone, labels, capacity,
 * nextRunner(pool) }`; `nextRunner` creates the runner that joins after a move or an upkeep.
 */
export function createCloud({ machines, bounds, onEvent }) {
  const servers = []
  /** Highest fencing token of each machine. */
  const fences = new Map()
  /** Machines whose upkeep has begun, by wave. */
  const begun = new Map()
  const cloud = {
    /** The machines of each wave, as the operator listed them. */
    waves: new Map(),
    /** Decides about an order: `{ drop: true }` leaves it undone and unanswered. */
    onOrder: undefined,
    isDown: false,
    serve,
    close: () => {
      for (const server of servers) {
        server.closeAllConnections()
        server.close()
      }
    },
  }

  function takeDown(id, state, ms, pool) {
    const machine = machines.get(id)
    machine.runner.crash()
    machine.state = state
    machine.pool = pool
    setTimeout(() => {
      if (cloud.isClosed) return
      machine.runner = machine.nextRunner(pool)
      void machine.runner.start().then(() => {
        machine.state = 'up'
        onEvent('machine up', { machine: id, pool, runner: machine.runner.id })
      })
    }, ms).unref()
  }

  const orders = {
    '/v1/machine-move': (id, { pool }) => {
      const machine = machines.get(id)
      if (machine.pool === pool) return undefined
      if (machine.state !== 'up') return 'busy'
      takeDown(id, 'moving', bounds.move_s * 1_000, pool)
      return undefined
    },
    '/v1/machine-upkeep': (id, { wave }) => {
      const machine = machines.get(id)
      if (cloud.waves.get(wave)?.includes(id) !== true) return 'wave'
      const done = begun.get(wave) ?? new Set()
      begun.set(wave, done)
      if (done.has(id)) return undefined
      if (machine.state !== 'up') return 'busy'
      done.add(id)
      takeDown(id, 'upkeep', bounds.upkeep_s * 1_000, machine.pool)
      return undefined
    },
  }

  async function handle(host, req, res) {
    const body = await readBody(req)
    await sleep(answerMs)
    if (cloud.isDown) return
    if (req.method === 'GET') {
      const list = [...machines].map(([machine, each]) => ({
        machine,
        pool: each.pool,
        state: each.state === 'up' && !each.runner.isUp ? 'down' : each.state,
        zone: each.zone,
        labels: each.labels,
        capacity: each.capacity,
        id: each.runner.id,
      }))
      sendJson(res, 200, { machines: list, next_token: null })
      return
    }
    const order = orders[req.url]
    if (order === undefined || !machines.has(body.machine)) {
      sendJson(res, 400, {})
      return
    }
    const holder = req.headers['bulrushbridge-lease-holder']
    const fence = Number(req.headers['bulrushbridge-fencing-token'])
    const { machine: id } = body
    const fields = { machine: id, order: req.url, pool: body.pool, wave: body.wave, holder, fence }
    if (cloud.onOrder?.({ ...fields, host })?.drop === true) {
      onEvent('order dropped', fields)
      return
    }
    const highest = fences.get(id) ?? 0
    if (fence < highest) {
      onEvent('order refused', { ...fields, reason: 'fence' })
      sendJson(res, 409, { reason: 'fence' })
      return
    }
    fences.set(id, fence)
    const reason = order(id, body)
    onEvent(reason === undefined ? 'order' : 'order refused', { ...fields, reason })
    if (reason === undefined) sendJson(res, 200, {})
    else sendJson(res, 409, { reason })
  }

  async function serve(host, ip) {
    const server = createServer((req, res) => {
      handle(host, req, res).catch(() => res.destroy())
    })
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => server.listen(0, ip, resolve))
    servers.push(server)
    return `${ip}:${server.address().port}`
  }

  return cloud
}
