// Stand-in for one runner, as PROTOCOL.md describes it: runs with leases on its own clock, fencing
// tokens, numbered ends, registration in the store.
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { startLink } from './link.mjs'
import { listen } from './store.mjs'

const maxListedEnds = 500

/**
 * Starts a runner. `workMs(task, run)` is how long a run works before it ends `done`; Infinity for a
 * task that lasts. `capacityGuard` is false as in the deployments: it starts all that it is told to.
 */
export async function startRunner(opts) {
  const { store, host, service, zone, rack, capacity, record } = opts
  let { id } = opts
  let labels = opts.labels ?? ['a', rack]
  const holdMaxMs = opts.holdMaxMs ?? 10_000
  const stopMs = opts.stopMs ?? 100
  const heartbeatMs = 1_500
  let life
  let lives = 0
  const sockets = new Set()

  function beginLife() {
    lives += 1
    life = {
      number: lives,
      id,
      born: Date.now(),
      startedAt: performance.now(),
      running: new Map(),
      ended: [],
      lastEnd: 0,
      highestOver: new Map(),
      fence: 0,
      leaseEnd: 0,
      waiters: new Set(),
      timers: new Set(),
      seq: 0,
      state: 'ready',
    }
  }

  const clock = () => Math.floor(performance.now() - life.startedAt)

  function addEnd(current, task, run, how, saved = '') {
    current.running.delete(task)
    current.highestOver.set(task, Math.max(run, current.highestOver.get(task) ?? 0))
    current.lastEnd += 1
    current.ended.push([current.lastEnd, task, run, how, saved])
    record('run ended', { runner: id, life: current.number, task, run, how })
    for (const wake of [...current.waiters]) wake()
  }

  function checkLease(current) {
    if (current !== life || current.running.size === 0 || clock() < current.leaseEnd) return
    for (const [task, { run }] of [...current.running]) addEnd(current, task, run, 'lapsed')
  }

  function extend(deadline) {
    if (deadline === undefined) return
    life.leaseEnd = Math.max(life.leaseEnd, Math.min(deadline, clock() + holdMaxMs))
  }

  function isStale(fence = 0) {
    if (fence < life.fence) return true
    life.fence = fence
    return false
  }

  function start(body) {
    const { task, run, deadline_ms: deadline, fence, spec, checkpoint } = body
    const answer = reason => [409, { clock_ms: clock(), reason }]
    if (isStale(fence)) return answer('fence')
    if (deadline <= clock()) return answer('late')
    extend(deadline)
    if (life.running.get(task)?.run === run) return [200, { clock_ms: clock() }]
    if (run <= (life.highestOver.get(task) ?? 0)) return answer('old')
    if (life.running.has(task)) return answer('old')
    const current = life
    const entry = {
      run,
      startedAt: performance.now(),
      workMs: opts.workMs(task, run),
      stopping: false,
    }
    life.running.set(task, entry)
    const started = {
      runner: id,
      life: life.number,
      task,
      run,
      fence,
      spec: spec?.slice(0, 20),
      ...(checkpoint === undefined ? {} : { checkpoint }),
    }
    record('run started', started)
    opts.onStart?.(started)
    if (Number.isFinite(entry.workMs)) {
      const timer = setTimeout(() => {
        current.timers.delete(timer)
        if (current.running.get(task) === entry) addEnd(current, task, run, 'done')
      }, entry.workMs)
      current.timers.add(timer)
    }
    return [200, { clock_ms: clock() }]
  }

  function stop({ task, run, fence }) {
    if (isStale(fence)) return [409, { clock_ms: clock(), reason: 'fence' }]
    const current = life
    const entry = current.running.get(task)
    current.highestOver.set(task, Math.max(run, current.highestOver.get(task) ?? 0))
    if (entry?.run === run && !entry.stopping) {
      entry.stopping = true
      setTimeout(() => {
        if (current.running.get(task) === entry) addEnd(current, task, run, 'stopped')
      }, stopMs)
    }
    return [200, { clock_ms: clock() }]
  }

  async function hold({
    fence,
    last_seen: lastSeen = 0,
    deadline_ms: deadline,
    wait_ms: waitMs = 0,
  }) {
    if (isStale(fence)) return [409, { clock_ms: clock(), reason: 'fence' }]
    const current = life
    extend(deadline)
    current.ended = current.ended.filter(([number]) => number > lastSeen)
    if (current.ended.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          current.waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(2_000, waitMs))
        current.waiters.add(wake)
      })
    }
    const running = [...current.running].map(([task, { run, startedAt, workMs }]) => {
      const share = Number.isFinite(workMs) ? (performance.now() - startedAt) / workMs : 1
      return [task, run, savedOf(task, startedAt), Math.min(100, Math.floor(100 * share)), 0]
    })
    const body = {
      clock_ms: clock(),
      running,
      ended: current.ended.slice(0, maxListedEnds),
      ...report(current),
    }
    return [200, body]
  }

  /** The checkpoint of a run: a new value with each `saveMs` of work; empty without checkpoints. */
  function savedOf(task, startedAt) {
    if (opts.saveMs === undefined) return ''
    const saves = Math.floor((performance.now() - startedAt) / opts.saveMs)
    if (saves === 0) return ''
    const digest = createHash('sha1').update(`${task} ${saves}`).digest('hex').slice(0, 8)
    return `${(saves * opts.saveMs).toString(16).padStart(8, '0')}${digest}`
  }

  const report = current => ({
    service,
    address: link.address,
    zone,
    version: '1',
    slots: 8,
    state: current.state,
    cold_remaining_ms: 0,
    seq: current.seq,
    capacity,
    labels,
    born: current.born,
  })

  function register() {
    if (life === undefined || life.isDown) return
    life.seq += 1
    store.put('servers', id, report(life))
  }

  /** A start order that the network holds up: it got no answer and is carried out when released. */
  let heldUp

  const handlers = {
    '/v1/run-start': start,
    '/v1/run-stop': stop,
    '/v1/hold': hold,
    '/v1/pace': pace,
  }
  function pace({ fence }) {
    return isStale(fence)
      ? [409, { clock_ms: clock(), reason: 'fence' }]
      : [200, { clock_ms: clock() }]
  }

  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', async () => {
      const handler = handlers[req.url]
      const current = life
      if (current.isDown) return req.socket.destroy()
      let [status, body] = [404, {}]
      if ((req.headers['bulrushbridge-expect-instance'] ?? id) !== id) status = 421
      else if (handler !== undefined) {
        const call = JSON.parse(Buffer.concat(chunks).toString('utf8'))
        if (handler === start && heldUp === undefined && opts.holdUp?.(call)) {
          heldUp = call
          record('start order held up', {
            runner: id,
            life: current.number,
            task: call.task,
            run: call.run,
          })
          return
        }
        ;[status, body] = await handler(call)
      }
      if (current !== life || current.isDown || res.destroyed) return req.socket.destroy()
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    if (life?.isDown) socket.destroy()
  })
  server.keepAliveTimeout = 60_000
  await listen(server, host, opts.port ?? 0)
  const link = await startLink({ host, to: server.address().port })
  beginLife()
  register()
  const heartbeat = setInterval(register, heartbeatMs)
  const leaseTimer = setInterval(() => checkLease(life), 50)

  return {
    get id() {
      return id
    },
    get labels() {
      return labels
    },
    get isDown() {
      return life.isDown === true
    },
    /** Partitions the runner from all that call it; it runs on and still reaches the store. */
    cut() {
      link.cut()
      record('runner cut off', { runner: id })
    },
    heal() {
      link.heal()
      record('runner reachable again', { runner: id })
    },
    get running() {
      return life.running
    },
    get hasHeldUpOrder() {
      return heldUp !== undefined
    },
    /** Carries out the start order that was held up. */
    release() {
      const [status, body] = start(heldUp)
      record('start order carried out late', {
        runner: id,
        life: life.number,
        task: heldUp.task,
        run: heldUp.run,
        fence: heldUp.fence,
        status,
        ...body,
      })
    },
    /** Crashes: all that runs is lost. The runner starts again, under its id, after `downMs`. */
    crash(downMs, nextId = id, { isDark = false, nextLabels = labels } = {}) {
      if (isDark) link.losePower()
      const current = life
      const lost = [...current.running.keys()]
      current.isDown = true
      for (const timer of current.timers) clearTimeout(timer)
      current.running.clear()
      for (const wake of [...current.waiters]) wake()
      for (const socket of sockets) socket.destroy()
      record('runner crashed', {
        runner: id,
        life: current.number,
        lost: lost.length,
        tasks: lost.slice(0, 8),
        downMs,
      })
      // The registry entry of a runner that is silent is removed after three heartbeat intervals.
      const removal = setTimeout(() => store.remove('servers', current.id), 3 * heartbeatMs)
      const lostId = id
      setTimeout(() => {
        clearTimeout(removal)
        if (nextId !== lostId) store.remove('servers', lostId)
        id = nextId
        labels = nextLabels
        link.regainPower()
        beginLife()
        register()
        record('runner started again', { runner: id, life: life.number })
      }, downMs)
    },
    close() {
      clearInterval(heartbeat)
      clearInterval(leaseTimer)
      link.close()
      for (const timer of life.timers) clearTimeout(timer)
      server.closeAllConnections()
      server.close()
    },
  }
}
