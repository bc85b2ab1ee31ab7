// Starts a small deployment on loopback addresses: the platform's stand-in, runners and entry hosts.
// The entry hosts are the project's program, started by the command of the deploy file.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const here = dirname(fileURLToPath(import.meta.url))
const root = join(here, '..', '..')
const maxMs = 115_000
const moveMs = 1_500
const hostRestartMs = 1_000

export const hostName = 'jobs.example'
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Ends with status 2: the case could not run. */
export class CannotRunError extends Error {}

/** Runs a case and exits with 1 if it returns broken rules, 0 if none, and 2 if it could not run. */
export async function runCase(folder, play) {
  const record = join(folder, 'record.txt')
  writeFileSync(record, '')
  const begin = Date.now()
  const deployment = new Deployment((event, fields = {}) => {
    const line = { s: ((Date.now() - begin) / 1_000).toFixed(2), event, ...fields }
    writeFileSync(record, `${JSON.stringify(line)}\n`, { flag: 'a' })
  })
  let status = 2
  const timer = setTimeout(() => {
    deployment.note('result', { status: 2, reason: 'out of time' })
    deployment.close()
    process.exit(2)
  }, maxMs)
  try {
    const broken = await play(deployment, process.env.TROUBLE !== '0')
    status = broken.length > 0 ? 1 : 0
    deployment.note('result', { status, broken })
    for (const text of broken) console.log(`broken: ${text}`)
    if (broken.length === 0) console.log('held')
  } catch (err) {
    deployment.note('result', { status: 2, reason: String(err.stack) })
    console.log(`could not run: ${err.message}`)
  }
  clearTimeout(timer)
  deployment.close()
  process.exit(status)
}

class Deployment {
  /** Events of the runners: `{ at, runner, event, task, run, how }`. */
  runnerEvents = []
  /** Events of the platform: moves that were accepted, and the freeze of a process. */
  platformEvents = []
  hosts = []
  runners = new Map()
  #children = new Set()
  #machines = new Map()
  #spareServices = new Set()
  #folder = mkdtempSync(join(tmpdir(), 'bulrush-review-'))
  #runnerCount = 0
  #isClosed = false

  constructor(note) {
    this.note = note
  }

  async startPlatform() {
    this.store = `127.0.0.1:${await freePort('127.0.0.1')}`
    this.cloud = `127.0.0.1:${await freePort('127.0.0.1')}`
    const child = this.#spawn([join(here, 'platform.mjs'), this.store, this.cloud])
    readLines(child.stdout, line => {
      const event = JSON.parse(line)
      this.platformEvents.push({ at: Date.now(), ...event })
      if (event.event === 'move') void this.#move(event)
    })
    await until(() => isListening(this.store), 5_000, 'the platform to start')
    await until(() => isListening(this.cloud), 5_000, 'the platform to start')
  }

  async configure(cfg) {
    this.note('configuration written', {
      version: cfg.version,
      routes: cfg.routes.map(({ name }) => name),
    })
    await call(this.store, 'POST', '/admin/row', { table: 'op', key: 'config', value: cfg })
  }

  /** Starts a runner on a machine, as a new life of it. */
  async startRunner(machine, { service, zone = 'zone-a', rack = 'r1' }) {
    this.#runnerCount += 1
    const id = `i-${String(this.#runnerCount).padStart(4, '0')}`
    const ip = `127.0.2.${this.#runnerCount}`
    const address = `${ip}:${await freePort(ip)}`
    const opts = { id, service, address, zone, labels: ['a', rack] }
    const child = this.#spawn([
      join(here, 'runner.mjs'),
      JSON.stringify({ ...opts, store: this.store, holdMaxMs: 10_000, stopMs: 200 }),
    ])
    readLines(child.stdout, line => {
      const event = JSON.parse(line)
      this.runnerEvents.push(event)
      const { runner, event: what, task, run, how, address: listens } = event
      this.note(`runner ${what}`, { runner, task, run, how, address: listens })
    })
    this.runners.set(id, { id, machine, service, zone, rack, child })
    await until(() => isListening(address), 5_000, `runner ${id} to start`)
    await this.#listMachine(id, 'up')
    return id
  }

  /** Lists a machine of a spare pool, which is off. */
  async addSpareMachine(machine, { service, zone = 'zone-a', rack = 'r1' }) {
    this.#spareServices.add(service)
    await this.#list({ machine, service, zone, rack }, 'up', null)
  }

  async #listMachine(id, state) {
    await this.#list(this.runners.get(id), state, id)
  }

  async #list({ machine, service, zone, rack }, state, id) {
    this.#machines.set(machine, { machine, service, zone, rack, id })
    await call(this.cloud, 'POST', '/admin/machine', {
      machine,
      pool: service,
      state,
      zone,
      labels: ['a', rack],
      capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
      id,
    })
  }

  /** Carries out an accepted move: what runs on the machine ends, and a new runner joins the pool. */
  async #move({ machine, pool }) {
    const { zone, rack, id } = this.#machines.get(machine)
    this.note('machine moves', { machine, pool, runner: id })
    if (id !== null) {
      this.#kill(id)
      await call(this.store, 'POST', '/admin/leave', { id })
    }
    await sleep(moveMs)
    if (this.#spareServices.has(pool))
      await this.addSpareMachine(machine, { service: pool, zone, rack })
    else await this.startRunner(machine, { service: pool, zone, rack })
  }

  /** Crashes a runner: it sends nothing more, and its machine is down. */
  async crashRunner(id) {
    this.note('runner killed', { runner: id })
    this.#kill(id)
    await this.#listMachine(id, 'down')
  }

  #kill(id) {
    const runner = this.runners.get(id)
    runner.child.kill('SIGKILL')
    runner.crashedAt = Date.now()
  }

  async startHosts(count) {
    const { command, args } = deployCommand()
    for (let n = 1; n <= count; n++) {
      const ip = `127.0.1.${n}`
      const ports = []
      for (let i = 0; i < 3; i++) ports.push(await freePort(ip))
      const internal = await freePortPair(ip)
      const file = join(this.#folder, `host-${n}.toml`)
      const addresses = {
        front: `${ip}:${ports[0]}`,
        ready: `${ip}:${ports[1]}`,
        control: `${ip}:${ports[2]}`,
      }
      writeFileSync(file, this.#settings(`front-zone-a-${n}`, ip, addresses, internal))
      const metrics = `${ip}:${internal[0]}`
      const host = { name: `front-zone-a-${n}`, ...addresses, metrics, log: [], exits: [] }
      this.hosts.push(host)
      this.#runHost(host, { command, args, file })
    }
    for (const { ready } of this.hosts) {
      await until(
        async () => (await call(ready, 'GET', '/v1/ready').catch(() => ({}))).status === 200,
        15_000,
        'the hosts to be ready',
      )
    }
  }

  /** Starts the process of a host, and again a second after it has ended by itself. */
  #runHost(host, { command, args, file }) {
    host.child = this.#spawn(args, { command, env: { BULRUSHBRIDGE_BOOT: file } })
    readLines(host.child.stdout, line => host.log.push(line))
    host.child.on('exit', (code, signal) => {
      if (this.#isClosed) return
      host.exits.push(Date.now())
      this.note('host ended by itself', { host: host.name, code, signal })
      setTimeout(() => {
        if (!this.#isClosed) this.#runHost(host, { command, args, file })
      }, hostRestartMs)
    })
  }

  /** The host that places work, by its metrics. */
  async leader() {
    for (const host of this.hosts) {
      const { body } = await call(host.metrics, 'GET', '/metrics').catch(() => ({ body: '' }))
      if (/^bulrush_dispatcher 1$/m.test(body)) return host
    }
    return undefined
  }

  /** A call of a client to one of the hosts. */
  async send(method, path, body, host = this.hosts[0]) {
    const res = await call(host.front, method, path, body, {
      host: hostName,
      'bulrushbridge-deadline-ms': '3000',
    })
    this.note('answer', { method, path, status: res.status, body: res.body })
    return res
  }

  close() {
    this.#isClosed = true
    for (const child of this.#children) child.kill('SIGKILL')
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #settings(node, ip, { front, ready, control }, [first, last]) {
    return `node = "${node}"
role = "entry"
class = "front"
serves = ["front"]
ip = "${ip}"
zone = "zone-a"
region = "region-1"
internal_ports = [${first},${last}]
seeds = []
bootstrap = true
heartbeat_ms = 1500
orders = "call"
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","upkeep"]
[zones]
zone-a = "region-1"
[listen]
front = "${front}"
ready = "${ready}"
control = "${control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
[bounds]
grace_s = 6
hold_max_ms = 10000
stop_ms = 200
lease_ms = 3000
status_s = 120
upkeep_s = 2
move_s = 1.5
[platform]
address = "${this.store}"
form = "table"
[cloud]
address = "${this.cloud}"
`
  }

  #spawn(args, { command = process.execPath, env = {} } = {}) {
    const child = spawn(command, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...env },
      stdio: ['ignore', 'pipe', 'ignore'],
    })
    child.stdout.on('error', () => undefined)
    this.#children.add(child)
    child.on('exit', () => this.#children.delete(child))
    return child
  }
}

/** Longest time in which a job that is not done has nothing running, between two times. */
export function longestIdle(events, id, taskCount, from, to) {
  let running = 0
  let done = 0
  let idleSince = from
  let longest = 0
  for (const { event, task, how, at } of events) {
    if (!task?.startsWith(`${id}.`) || at > to) continue
    if (event === 'started') {
      if (running === 0 && at > from) longest = Math.max(longest, at - idleSince)
      running += 1
    } else {
      running -= 1
      if (how === 'done') done += 1
      idleSince = Math.max(from, at)
    }
    if (done === taskCount) return longest
  }
  return running > 0 ? longest : Math.max(longest, to - idleSince)
}

/** The command of the role in the deploy file. */
function deployCommand() {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8')
  const run = /^run = "(.*)"$/m.exec(text)?.[1]
  if (run === undefined) throw new CannotRunError('the deploy file has no command')
  const [command, ...args] = run.split(' ')
  return { command, args }
}

export function call(address, method, path, body, headers = {}) {
  const [host, port] = address.split(':')
  const text = body === undefined ? '' : JSON.stringify(body)
  return new Promise((resolve, reject) => {
    const req = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...(text === ''
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers,
        },
      },
      async res => {
        const chunks = []
        for await (const chunk of res) chunks.push(chunk)
        resolve({ status: res.statusCode, body: Buffer.concat(chunks).toString('utf8') })
      },
    )
    req.setTimeout(6_000, () => req.destroy(new Error('no answer in 6 s')))
    req.on('error', reject)
    req.end(text)
  })
}

export async function until(check, ms, what) {
  const deadline = Date.now() + ms
  for (;;) {
    const found = await check()
    if (found) return found
    if (Date.now() > deadline) throw new CannotRunError(`waited in vain for ${what}`)
    await sleep(25)
  }
}

function readLines(stream, onLine) {
  let rest = ''
  stream.setEncoding('utf8')
  stream.on('data', text => {
    const lines = (rest + text).split('\n')
    rest = lines.pop()
    for (const line of lines) onLine(line)
  })
}

function isListening(address) {
  return call(address, 'GET', '/none').then(
    () => true,
    () => false,
  )
}

function listenOn(host, port) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(port, host, () => {
      const { port: found } = server.address()
      server.close(() => resolve(found))
    })
  })
}

/** Ports that were handed out, as `ip:port`; they are not bound yet. */
const givenPorts = new Set()

async function freePort(host) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const port = await listenOn(host, 0)
    if (givenPorts.has(`${host}:${port}`)) continue
    givenPorts.add(`${host}:${port}`)
    return port
  }
  throw new CannotRunError('no free port')
}

async function freePortPair(host) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const first = await freePort(host)
    const second = `${host}:${first + 1}`
    const isFree = await listenOn(host, first + 1).then(
      () => !givenPorts.has(second),
      () => false,
    )
    if (!isFree) continue
    givenPorts.add(second)
    return [first, first + 1]
  }
  throw new CannotRunError('no two free ports in a row')
}
