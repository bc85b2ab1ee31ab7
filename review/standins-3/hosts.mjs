// Starts the entry hosts with the command of the deploy file.
import { spawn } from 'node:child_process'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { call, sleep } from './http.mjs'

const root = new URL('../..', import.meta.url).pathname

/** The bounds of the settings file of the small deployments. */
export const bounds = {
  contact_ms: 3_000,
  grace_s: 6,
  hold_max_ms: 6_000,
  stop_ms: 400,
  lease_ms: 3_000,
  status_s: 120,
  move_s: 1.5,
  upkeep_s: 2,
}

/** The command of the role `entry`, split at spaces as the platform does it. */
function deployCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const [, command] = /^run = "(.*)"$/m.exec(text) ?? []
  if (command === undefined) throw new Error('the deploy file has no command')
  return command.split(' ')
}

async function freePort(ip) {
  const server = createServer()
  await new Promise((resolve, reject) => {
    server.on('error', reject)
    server.listen(0, ip, resolve)
  })
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/** Returns the first of two free ports in a row. */
async function freePortPair(ip) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const port = await freePort(ip)
    const server = createServer()
    const isFree = await new Promise(resolve => {
      server.on('error', () => resolve(false))
      server.listen(port + 1, ip, () => resolve(true))
    })
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    return port
  }
  throw new Error('no two free ports in a row')
}

/** Creates a host that is not started. Its log goes to `dir`. */
export async function createHost({ name, zone, ip, dir, storeAddress, cloudAddress, onEvent }) {
  mkdirSync(dir, { recursive: true })
  const first = await freePortPair(ip)
  const front = `${ip}:${await freePort(ip)}`
  const ready = `${ip}:${await freePort(ip)}`
  const control = `${ip}:${await freePort(ip)}`
  const settingsPath = join(dir, `${name}.toml`)
  const lines = [
    `node = "${name}"`,
    'role = "entry"',
    'class = "front"',
    'serves = ["front"]',
    `ip = "${ip}"`,
    `zone = "${zone}"`,
    'region = "r"',
    `internal_ports = [${first}, ${first + 1}]`,
    `seeds = ["${control}"]`,
    'heartbeat_ms = 1500',
    'orders = "call"',
    '[listen]',
    `front = "${front}"`,
    `ready = "${ready}"`,
    `control = "${control}"`,
    '[limits]',
    'cpu_share = 0.675',
    'cores = 1',
    'memory_mb = 350',
    'max_fds = 4100',
    'link_mbps = 1000.0',
    '[bounds]',
    ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`),
    'require_fencing = true',
    '[platform]',
    `address = "${storeAddress}"`,
    'form = "table"',
    'writes_per_s = 800',
    'reads_per_s = 2000',
    '[cloud]',
    `address = "${cloudAddress}"`,
    'rate_per_s = 64.0',
    'duties = []',
    'duty_per_s = 64.0',
  ]
  writeFileSync(settingsPath, `${lines.join('\n')}\n`)
  let child
  const host = {
    name,
    front,
    ready,
    get isRunning() {
      return child !== undefined && child.exitCode === null && child.signalCode === null
    },
    start() {
      const [command, ...args] = deployCommand()
      const { PATH, HOME, LANG } = process.env
      const env = { PATH, HOME, BULRUSHBRIDGE_BOOT: settingsPath, ...(LANG ? { LANG } : {}) }
      child = spawn(command, args, { cwd: root, env, stdio: ['ignore', 'pipe', 'pipe'] })
      const started = child
      host.log = ''
      started.stdout.on('data', chunk => (host.log += chunk))
      started.stderr.on('data', chunk => (host.log += chunk))
      started.on('exit', (code, signal) => {
        onEvent('host ended', { host: name, code, signal })
        writeFileSync(join(dir, `${name}-${started.pid}.log`), host.log)
      })
      onEvent('host started', { host: name })
    },
    signal(signal) {
      if (!host.isRunning) return
      onEvent('signal', { host: name, signal })
      child.kill(signal)
    },
    async whenReady(timeoutMs = 15_000) {
      const deadline = performance.now() + timeoutMs
      while (performance.now() < deadline) {
        const { status } = await call({ address: ready, method: 'GET', path: '/v1/ready' })
        if (status === 200) return
        await sleep(100)
      }
      throw new Error(`${name} does not get ready`)
    },
    async stop() {
      if (!host.isRunning) return
      child.kill('SIGKILL')
      await new Promise(resolve => child.on('exit', resolve))
    },
  }
  return host
}
