// Stand-in of one runner, as a process of its own.
// Usage: node runner.mjs '{"id","service","address","zone","labels","store","holdMaxMs","stopMs"}'
// The payload of a task says what the runner does: `work MS` ends as done, `fail MS` as failed after
// that time, `last` runs until it is stopped, and `last-once MS` fails once on its first run.
import { createServer } from 'node:http'

const opts = JSON.parse(process.argv[2])
const born = Date.now()
const startedAt = performance.now()
const clockMs = () => Math.floor(performance.now() - startedAt)
const capacity = { cpu: 16_000, mem_mb: 65_536, gpu: 0 }

const running = new Map() // task -> { run, since, spec, timer }
const highestEnded = new Map() // task -> highest run that was stopped or ended
const waiters = new Set()
let ended = []
let lastEnd = 0
let highestFence = 0
let leaseDeadline = 0

function log(event, fields) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), runner: opts.id, event, ...fields })}\n`)
}

function end(task, how) {
  const entry = running.get(task)
  if (entry === undefined) return
  clearTimeout(entry.timer)
  running.delete(task)
  highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, entry.run))
  lastEnd += 1
  ended.push([lastEnd, task, entry.run, how, ''])
  log('ended', { task, run: entry.run, how })
  for (const wake of [...waiters]) wake()
}

function scheduleEnd(task, run, spec) {
  const [kind, ms] = spec.split(' ')
  if (kind === 'work') return setTimeout(() => end(task, 'done'), Number(ms))
  if (kind === 'fail') return setTimeout(() => end(task, 'failed'), Number(ms))
  if (kind === 'last-once' && run === 1) return setTimeout(() => end(task, 'failed'), Number(ms))
  return undefined
}

function extendLease(deadline) {
  if (typeof deadline !== 'number') return
  leaseDeadline = Math.max(leaseDeadline, Math.min(deadline, clockMs() + opts.holdMaxMs))
}

function start({ task, run, spec, deadline_ms: deadline }) {
  if (running.get(task)?.run === run) return [200, {}]
  const isOld = run <= (highestEnded.get(task) ?? 0) || run < (running.get(task)?.run ?? 0)
  if (isOld) {
    extendLease(deadline)
    return [409, { reason: 'old' }]
  }
  if (deadline <= clockMs()) return [409, { reason: 'late' }]
  extendLease(deadline)
  running.set(task, { run, spec, since: clockMs(), timer: scheduleEnd(task, run, spec) })
  log('started', { task, run })
  return [200, {}]
}

function stop({ task, run }) {
  if (running.get(task)?.run === run) setTimeout(() => end(task, 'stopped'), opts.stopMs / 2)
  else highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run))
  return [200, {}]
}

async function hold({ last_seen: lastSeen = 0, deadline_ms: deadline, wait_ms: waitMs = 0 }) {
  extendLease(deadline)
  ended = ended.filter(([number]) => number > lastSeen)
  if (ended.length === 0 && waitMs > 0) {
    await new Promise(resolve => {
      const timer = setTimeout(finish, waitMs)
      function finish() {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
      waiters.add(finish)
    })
  }
  const list = [...running].map(([task, { run, since, spec }]) => {
    const percent = spec.startsWith('last')
      ? Number(clockMs() - since > 200) * 100
      : Math.min(99, Math.floor(((clockMs() - since) / Number(spec.split(' ')[1])) * 100))
    return [task, run, '', percent, 0]
  })
  return [200, { running: list, ended: ended.slice(0, 500), born }]
}

const handlers = {
  '/v1/run-start': start,
  '/v1/run-stop': stop,
  '/v1/hold': hold,
  '/v1/pace': () => [200, {}],
}

const [host, port] = opts.address.split(':')
const server = createServer(async (req, res) => {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  const respond = (status, value) => {
    const text = JSON.stringify({ clock_ms: clockMs(), ...value })
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    res.end(text)
  }
  const handler = handlers[req.url]
  if (handler === undefined) return respond(404, {})
  if ((req.headers['bulrushbridge-expect-instance'] ?? opts.id) !== opts.id) return respond(421, {})
  const body = JSON.parse(Buffer.concat(chunks).toString('utf8'))
  const fence = body.fence ?? 0
  if (fence < highestFence) return respond(409, { reason: 'fence' })
  highestFence = fence
  respond(...(await handler(body)))
})
server.keepAliveTimeout = 65_000
server.listen(Number(port), host, () => {
  log('up', { address: opts.address })
  void beat()
})

// Everything that runs is killed when the lease ends.
setInterval(() => {
  if (running.size === 0 || clockMs() < leaseDeadline) return
  for (const task of [...running.keys()]) end(task, 'lapsed')
}, 20)

let seq = 0
async function beat() {
  seq += 1
  const entry = {
    service: opts.service,
    address: opts.address,
    zone: opts.zone,
    version: 'v1',
    slots: 8,
    state: 'ready',
    cold_remaining_ms: 0,
    capacity,
    labels: opts.labels,
    born,
    clock_ms: clockMs(),
    seq,
  }
  await fetch(`http://${opts.store}/admin/heartbeat`, {
    method: 'POST',
    body: JSON.stringify({ id: opts.id, entry }),
  }).catch(() => undefined)
  setTimeout(beat, 1_500)
}
