// A small deployment on loopback: the store, the runners, and the project's own program started with
// the command of the deploy file, one process for each entry host.
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { listen, startStore } from './store.mjs'
import { startRunner } from './runner.mjs'

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** Longest time of a case, in milliseconds. */
const maxCaseMs = 112_000

/** Exit status of a case that could not run. */
export const couldNotRun = 2

/** The command of the deploy file, as words. */
function runCommand() {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8')
  const match = /^run = "([^"]*)"$/m.exec(text)
  if (match === null) throw new Error('the deploy file has no run line')
  return match[1].split(' ')
}

/** Writes `record.txt` in the folder of the case. */
export function createRecord(folder) {
  const lines = []
  const startedAt = performance.now()
  const record = (what, fields = {}) => {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)
    lines.push(`${at} ${what} ${JSON.stringify(fields)}`)
  }
  return {
    record,
    seconds: () => (performance.now() - startedAt) / 1_000,
    write: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  }
}

/** Starts a deployment; `configuration` is the first one of the operator. */
export async function startDeployment(opts) {
  const { record, hosts = 3, configuration, runners: runnerOpts, bounds = {} } = opts
  const command = runCommand()
  const script = command.find(word => word.endsWith('.mjs'))
  if (script === undefined || !existsSync(join(root, script)))
    throw new Error(`${script} is missing; run the build line of deploy/system.toml`)
  const folder = mkdtempSync(join(tmpdir(), 'bulrush-review-'))
  const store = await startStore({ host: '127.0.0.1', record })
  store.put('op', 'config', configuration)
  const runners = []
  for (const each of runnerOpts) {
    runners.push(await startRunner({ ...each, store, record, host: '127.0.0.1' }))
  }
  const cloud = await startCloud({ runners, runnerOpts, bounds, holdUp: opts.holdUp, record })
  const processes = []
  for (let n = 1; n <= hosts; n++) processes.push(await createHost(n))

  async function createHost(n) {
    const name = `front-z${n}-1`
    const ip = `127.0.0.${10 + n}`
    const [frontPort, readyPort, controlPort, metricsPort] = await freePorts(ip, 4)
    const settings = join(folder, `${name}.toml`)
    writeFileSync(
      settings,
      settingsText({
        name,
        n,
        ip,
        frontPort,
        readyPort,
        controlPort,
        metricsPort,
        store,
        cloud,
        bounds,
      }),
    )
    const host = { name, ip, frontPort, readyPort, settings, child: undefined, log: '' }
    host.start = () => {
      const [program, ...args] = command
      const child = spawn(program, args, {
        cwd: root,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          BULRUSHBRIDGE_BOOT: settings,
        },
      })
      const keep = chunk => (host.log = (host.log + chunk.toString()).slice(-4_000_000))
      child.stdout.on('data', keep)
      child.stderr.on('data', keep)
      child.on('exit', (code, signal) => record('process ended', { host: name, code, signal }))
      host.child = child
      record('process started', { host: name, pid: child.pid })
    }
    return host
  }

  async function close() {
    for (const { child } of processes) {
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await new Promise(resolve => child.once('exit', resolve))
    }
    for (const runner of runners) runner.close()
    cloud.close()
    store.close()
    rmSync(folder, { recursive: true, force: true })
  }

  for (const host of processes) host.start()
  try {
    await waitFor(
      async () => (await Promise.all(processes.map(isReady))).every(Boolean),
      20_000,
      'the hosts to be ready',
    )
  } catch (err) {
    await close()
    throw err
  }
  record('all hosts are ready')
  return {
    store,
    runners,
    hosts: processes,
    cloud,
    /** Signals a process that this script started. */
    signal(host, signal) {
      record('signal sent', { host: host.name, signal })
      host.child.kill(signal)
    },
    /** The log lines of all hosts that contain a text. */
    logLines: text =>
      processes.flatMap(({ name, log }) =>
        log
          .split('\n')
          .filter(line => line.includes(text))
          .map(line => `${name}: ${line}`),
      ),
    close,
  }
}

/**
 * The machine service. It takes upkeeps with the checks that PROTOCOL.md describes; moves are refused
 * as busy, as there is no pool to move to. `holdUp(order)` tells whether an order is held up: it gets
 * no answer, and is carried out when the case releases it.
 */
async function startCloud({ runners, runnerOpts, bounds, holdUp = () => false, record }) {
  const upkeepMs = (bounds.upkeep_s ?? 2) * 1_000
  const machines = runnerOpts.map((each, n) => ({
    name: `m-${each.id}`,
    spec: each,
    runner: runners[n],
    fence: 0,
    waves: new Set(),
    isInUpkeep: false,
  }))
  const stateOf = machine => (machine.isInUpkeep ? 'upkeep' : machine.runner.isDown ? 'down' : 'up')

  function carryOut({ machine: name, wave, holder, fence }) {
    const machine = machines.find(each => each.name === name)
    if (machine === undefined) return [400, {}]
    if (fence < machine.fence) return [409, { reason: 'fence' }]
    machine.fence = fence
    if (machine.waves.has(wave)) return [200, {}]
    if (stateOf(machine) !== 'up') return [409, { reason: 'busy' }]
    const inUpkeep = machines.filter(each => each.isInUpkeep).map(each => each.name)
    const entry = { machine: name, wave, holder, fence, alreadyInUpkeep: inUpkeep }
    record('upkeep begins', entry)
    cloud.onUpkeep?.(entry)
    machine.waves.add(wave)
    machine.isInUpkeep = true
    machine.since = performance.now()
    machine.runner.crash(upkeepMs, `${machine.runner.id}u`)
    setTimeout(() => {
      machine.isInUpkeep = false
      record('upkeep ends', { machine: name })
    }, upkeepMs)
    return [200, {}]
  }

  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      const send = (status, body) =>
        res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
      if (req.method === 'GET') {
        const list = machines.map(machine => ({
          machine: machine.name,
          pool: machine.spec.service,
          state: stateOf(machine),
          zone: machine.spec.zone,
          labels: ['a', machine.spec.rack],
          capacity: machine.spec.capacity,
          ...(stateOf(machine) === 'up' ? { id: machine.runner.id } : {}),
        }))
        return send(200, { machines: list })
      }
      if (req.url !== '/v1/machine-upkeep') return send(409, { reason: 'busy' })
      const order = {
        ...JSON.parse(Buffer.concat(chunks).toString('utf8')),
        holder: req.headers['bulrushbridge-lease-holder'],
        fence: Number(req.headers['bulrushbridge-fencing-token']),
      }
      if (!holdUp(order)) return send(...carryOut(order))
      record('upkeep order held up', order)
    })
  })
  await listen(server, '127.0.0.1', 0)
  const cloud = {
    address: `127.0.0.1:${server.address().port}`,
    machines,
    onUpkeep: undefined,
    /** Carries out an order that was held up. */
    release(order) {
      const [status, body] = carryOut(order)
      record('upkeep order carried out late', {
        machine: order.machine,
        fence: order.fence,
        status,
        ...body,
      })
    },
    close() {
      server.closeAllConnections()
      server.close()
    },
  }
  return cloud
}

/** Settings as on the page DEPLOY.md, with its bounds. */
function settingsText({
  name,
  n,
  ip,
  frontPort,
  readyPort,
  controlPort,
  metricsPort,
  store,
  cloud,
  bounds,
}) {
  const allBounds = {
    contact_ms: 3000,
    ack_ms: 4000,
    drain_ms: 2000,
    grace_s: 6,
    config_ms: 2000,
    max_stretch_ms: 5000,
    evacuate_ms: 5000,
    recover_s: 12,
    hold_max_ms: 10000,
    stop_ms: 200,
    gang_ms: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    far_factor: 1.5,
    save_s: 0.5,
    restore_ms: 600,
    notice_ms: 4500,
    move_s: 1.5,
    upkeep_s: 2,
    require_fencing: true,
    lease_ms: 3000,
    thaw_ms: 300,
    pace_ms: 100,
    harm_ms: 4000,
    ...bounds,
  }
  const lines = Object.entries(allBounds).map(([key, value]) => `${key} = ${value}`)
  return `node = "${name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "${ip}"
zone = "z${n}"
region = "r"
internal_ports = [${metricsPort},${metricsPort + 15}]
seeds = []
bootstrap = true
failure_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","upkeep"]
orders = "call"
[listen]
front = "${ip}:${frontPort}"
ready = "${ip}:${readyPort}"
control = "${ip}:${controlPort}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
${lines.join('\n')}
[platform]
address = "${store.address}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
partition_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud]
address = "${cloud.address}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`
}

/** Free ports of an address; the last one starts a range that the host's own processes use. */
async function freePorts(ip, count) {
  const servers = []
  for (let n = 0; n < count; n++) {
    const server = createServer()
    await listen(server, ip, 0)
    servers.push(server)
  }
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

async function isReady({ ip, readyPort }) {
  try {
    return (
      (await send({ host: ip, port: readyPort, method: 'GET', path: '/v1/ready' })).status === 200
    )
  } catch {
    return false
  }
}

const agent = new Agent({ keepAlive: true })

/** Sends one HTTP request; rejects when there is no whole answer within `timeoutMs`. */
export function send({ host, port, method, path, headers = {}, body, timeoutMs = 3_000 }) {
  return new Promise((resolve, reject) => {
    const req = request({ host, port, method, path, headers, agent }, res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8')
        resolve({ status: res.statusCode, text })
      })
      res.on('error', reject)
    })
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer in time')))
    req.on('error', reject)
    req.end(body === undefined ? undefined : JSON.stringify(body))
  })
}

/** Calls one host as a client does: with the queue's host name, a key and a deadline. */
export function call(host, queue, method, id, body, { key, deadlineMs = 3_000 } = {}) {
  return send({
    host: host.ip,
    port: host.frontPort,
    method,
    path: `${queue.path_prefix}${id}`,
    headers: {
      host: queue.host,
      'bulrushbridge-deadline-ms': String(deadlineMs),
      ...(key === undefined ? {} : { authorization: `Token ${key}` }),
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    },
    body,
    timeoutMs: deadlineMs,
  })
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Waits until a condition holds. */
export async function waitFor(condition, timeoutMs, what) {
  const deadline = performance.now() + timeoutMs
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`waited in vain for ${what}`)
    await sleep(100)
  }
}

/** Runs a case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(folder, play) {
  const { record, seconds, write } = createRecord(folder)
  const isTrouble = process.env.TROUBLE !== '0'
  record('case begins', { trouble: isTrouble })
  let status = couldNotRun
  let deployment
  const stop = async reason => {
    record('the case was ended', { reason })
    await deployment?.close()
    write()
    process.exit(couldNotRun)
  }
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => void stop(signal))
  setTimeout(() => void stop('it took too long'), maxCaseMs).unref()
  try {
    status = (await play({
      record,
      seconds,
      isTrouble,
      start: async opts => (deployment = await startDeployment({ ...opts, record })),
    }))
      ? 0
      : 1
  } catch (err) {
    record('the case could not run', { reason: err.stack })
    console.error(err)
  } finally {
    await deployment?.close()
    record('case ends', { status })
    write()
  }
  console.log(`${folder}: status ${status}`)
  process.exit(status)
}
