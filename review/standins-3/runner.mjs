// Stand-in for a runner: takes orders, runs tasks for a time, and lists runs and ends.
import { createServer } from 'node:http'
import { readBody, sendJson } from './http.mjs'

const heartbeatMs = 1_500

/** Number of ends that one answer lists. */
const maxListedEnds = 500

/**
 * Creates a runner that is off. `durationMs(task)` tells how long a task runs; undefined for one that
 * runs until it is stopped. `onEvent(kind, fields)` is told of each start, end and acknowledgement.
 */
export function createRunner({
  id,
  store,
  ip,
  zone,
  service,
  labels,
  capacity,
  bounds,
  durationMs,
  onEvent,
}) {
  let server
  let life
  let lastBorn = 0

  const clock = () => Math.round(performance.now() - life.startedAt)

  function beat() {
    life.seq += 1
    store.put('servers', id, {
      service: runner.service,
      address: runner.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity,
      labels,
      clock_ms: clock(),
      born: life.born,
      seq: life.seq,
    })
  }

  function end(key, how) {
    const run = life.runs.get(key)
    if (run === undefined) return
    life.runs.delete(key)
    clearTimeout(run.timer)
    clearTimeout(run.stopTimer)
    life.highest.set(run.task, Math.max(life.highest.get(run.task) ?? 0, run.run))
    life.lastEnd += 1
    life.ends.push([life.lastEnd, run.task, run.run, how, ''])
    onEvent('end', { runner: id, born: life.born, task: run.task, run: run.run, how })
    for (const wake of [...life.waiters]) wake()
  }

  /** Takes a lease; it is at most `hold_max_ms` long and never gets shorter. */
  function extendLease(deadline) {
    if (deadline === undefined) return
    const allowed = Math.min(deadline, clock() + bounds.hold_max_ms)
    if (allowed <= life.deadline) return
    life.deadline = allowed
    clearTimeout(life.leaseTimer)
    const { runs } = life
    life.leaseTimer = setTimeout(() => {
      for (const key of [...runs.keys()]) end(key, 'lapsed')
    }, allowed - clock())
  }

  function refuse(res, reason) {
    sendJson(res, 409, { clock_ms: clock(), born: life.born, reason })
  }

  const handlers = {
    '/v1/run-start': (res, { task, run, spec, deadline_ms: deadline, checkpoint = '' }) => {
      const key = `${task}#${run}`
      if (deadline <= clock()) return refuse(res, 'late')
      extendLease(deadline)
      if (life.runs.has(key)) return sendJson(res, 200, { clock_ms: clock(), born: life.born })
      const isHere = [...life.runs.values()].some(other => other.task === task && other.run >= run)
      if (isHere || run <= (life.highest.get(task) ?? 0)) return refuse(res, 'old')
      const ms = durationMs(task, run)
      const started = { task, run, startedAt: clock(), ms }
      if (ms !== undefined) started.timer = setTimeout(() => end(key, 'done'), ms)
      life.runs.set(key, started)
      onEvent('start', { runner: id, born: life.born, task, run, spec, checkpoint })
      sendJson(res, 200, { clock_ms: clock(), born: life.born })
    },
    '/v1/run-stop': (res, { task, run }) => {
      const key = `${task}#${run}`
      const running = life.runs.get(key)
      if (running === undefined) life.highest.set(task, Math.max(life.highest.get(task) ?? 0, run))
      else running.stopTimer ??= setTimeout(() => end(key, 'stopped'), bounds.stop_ms / 2)
      onEvent('stop', { runner: id, born: life.born, task, run })
      sendJson(res, 200, { clock_ms: clock(), born: life.born })
    },
    '/v1/pace': res => {
      sendJson(res, 200, { clock_ms: clock(), born: life.born })
    },
    '/v1/hold': async (
      res,
      { deadline_ms: deadline, last_seen: lastSeen = 0, wait_ms: waitMs },
    ) => {
      extendLease(deadline)
      const { ends, waiters } = life
      const taken = ends.filter(([number]) => number <= lastSeen)
      for (const [, task, run, how] of taken)
        onEvent('noted', { runner: id, born: life.born, task, run, how })
      life.ends = ends.filter(([number]) => number > lastSeen)
      const present = life
      if (life.ends.length === 0 && waitMs > 0)
        await new Promise(resolve => {
          const wake = () => {
            clearTimeout(timer)
            waiters.delete(wake)
            resolve()
          }
          const timer = setTimeout(wake, Math.min(2_000, waitMs))
          waiters.add(wake)
        })
      if (life !== present) return
      const running = [...life.runs.values()].map(run => [run.task, run.run, '', percentOf(run), 0])
      sendJson(res, 200, {
        clock_ms: clock(),
        born: life.born,
        running,
        ended: life.ends.slice(0, maxListedEnds),
      })
    },
  }

  /** Progress of a run; a task that lasts is at work after a short startup. */
  function percentOf({ startedAt, ms }) {
    const ranMs = clock() - startedAt
    if (ms === undefined) return ranMs >= 300 ? 100 : 0
    return Math.min(99, Math.floor((ranMs / ms) * 100))
  }

  async function handle(req, res) {
    if (req.method === 'GET') {
      sendJson(res, 200, {})
      return
    }
    const body = await readBody(req)
    if (life === undefined) return
    const expected = req.headers['bulrushbridge-expect-instance']
    const handler = handlers[req.url]
    if (expected !== undefined && expected !== id) {
      sendJson(res, 421, {})
      return
    }
    if (handler === undefined) {
      sendJson(res, 404, {})
      return
    }
    const { fence = 0 } = body
    if (fence < life.fence) {
      refuse(res, 'fence')
      return
    }
    life.fence = fence
    runner.onOrder?.(req.url, body)
    await handler(res, body)
  }

  const runner = {
    id,
    service,
    zone,
    labels,
    capacity,
    address: undefined,
    /** Called for each order that the runner accepts by its fencing token. */
    onOrder: undefined,
    get isUp() {
      return life !== undefined
    },
    runs: () => [...(life?.runs.values() ?? [])],
    async start() {
      lastBorn = Math.max(lastBorn + 1, Date.now())
      life = {
        born: lastBorn,
        startedAt: performance.now(),
        seq: 0,
        fence: 0,
        deadline: 0,
        runs: new Map(),
        ends: [],
        lastEnd: 0,
        /** Highest run of each task that was stopped or ended here. */
        highest: new Map(),
        waiters: new Set(),
      }
      server = createServer((req, res) => {
        handle(req, res).catch(() => res.destroy())
      })
      server.keepAliveTimeout = 60_000
      const port = runner.address === undefined ? 0 : Number(runner.address.split(':')[1])
      await new Promise((resolve, reject) => {
        server.on('error', reject)
        server.listen(port, ip, resolve)
      })
      runner.address = `${ip}:${server.address().port}`
      onEvent('runner up', { runner: id, born: life.born })
      beat()
      life.beatTimer = setInterval(beat, heartbeatMs)
    },
    /** Ends everything that runs here as done. */
    finishAll() {
      for (const key of [...(life?.runs.keys() ?? [])]) end(key, 'done')
    },
    /** Ends at once without a word; everything that runs here is gone. */
    crash() {
      if (life === undefined) return
      const { runs, born, beatTimer, leaseTimer, waiters } = life
      clearInterval(beatTimer)
      clearTimeout(leaseTimer)
      for (const { timer, stopTimer } of runs.values()) {
        clearTimeout(timer)
        clearTimeout(stopTimer)
      }
      const lost = [...runs.values()].map(({ task, run }) => `${task}#${run}`)
      life = undefined
      for (const wake of [...waiters]) wake()
      server.closeAllConnections()
      server.close()
      onEvent('runner down', { runner: id, born, lost })
    },
  }
  return runner
}
