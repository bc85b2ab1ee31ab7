import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import {
  countDescriptors,
  createLoopback,
  limitedCommand,
  peakResidentMb,
} from '@bulrushbridge/testbed'
import type { MemoryStore } from '@bulrushbridge/standins'
import type { Test } from 'tap'
import { createStoreServer } from './store-server.js'

const programPath = fileURLToPath(new URL('../../../../dist/bulrush-host.mjs', import.meta.url))

/**
 * Heap limit of the process under load, in megabytes. It is far below that of a deployment, so that a
 * few clients show unbounded growth within seconds.
 */
const maxHeapMb = 64

/**
 * Limits that are lowered with the heap, to about half of their defaults.
 */
const loweredLimits = {
  BULRUSH_MAX_REQUESTS: '1024',
  BULRUSH_MAX_ADDRESS_REQUESTS: '960',
  BULRUSH_MAX_UNREAD_RESPONSES: '1024',
  BULRUSH_MAX_UNPARSED_BYTES: '4000000',
}

/**
 * Size of the semi-spaces of the heap, in megabytes. With 16, the default, the buffers of bodies that
 * are collected late took up to 50 MB on a busy machine.
 */
const maxSemiSpaceMb = 4

/** Descriptors that the process may open; an entry host has 4,100 or more. */
const maxOpenFiles = 400

/** Most resident memory that the process may have had at any time; it has 140 to 156 MB when idle. */
const maxResidentMb = 200

/** Delay of each read and transaction of the store, in milliseconds. */
const storeDelayMs = 20

/** Time for an ordinary request; it only ends a test whose process hangs. */
const requestTimeoutMs = 15_000

const loopback = createLoopback()

/** A running `bulrush-host` with its stand-in of the store. */
export interface HostProcess {
  readonly ip: string
  readonly pid: number
  readonly ports: { callers: number; readiness: number; metrics: number; relay: number }
  /** Header lines that an ordinary request for the state of a job has. */
  readonly usualHeaders: string
  /** Path of a job that exists. */
  readonly jobPath: string
  /** The rows of its store. */
  readonly storeRows: MemoryStore
  /** Resolves to the status and body of one request. */
  send(port: number, path: string, method?: string, body?: string): Promise<Response>
  /**
   * Checks what holds after any load: the process is alive, its memory and descriptors stayed under
   * their bounds, it is ready, and it answers one ordinary request.
   */
  checkAfterLoad(t: Test): Promise<void>
}

interface Response {
  status: number
  body: string
}

/**
 * Starts `bulrush-host` against a stand-in of the store, with a queue that needs no key. `flags` are
 * settings of the program, `limits` further lines of that table of the settings file.
 */
export async function startHost(t: Test, flags: string[] = [], limits = ''): Promise<HostProcess> {
  if (!existsSync(programPath)) throw new Error('dist/bulrush-host.mjs is missing; run the build')
  const ip = loopback.nextAddress()
  // Ordinary requests come from another address than those of the load.
  const localAddress = loopback.nextAddress()
  const store = await createStoreServer(loopback.nextAddress(), storeDelayMs)
  await store.rows.commit({
    checks: [],
    writes: [{ table: 'op', key: 'config', value: configurationOf(ip) }],
  })
  const ports = { callers: 7_000, readiness: 7_001, metrics: 7_002, relay: 7_003 }
  const folder = mkdtempSync(join(tmpdir(), 'bulrush-clients-'))
  const settingsPath = join(folder, 'settings.toml')
  writeFileSync(settingsPath, settingsText(ip, ports, store.address, limits))
  const processLimits = { maxHeapMb, maxSemiSpaceMb, maxOpenFiles }
  const child = spawn(...limitedCommand([programPath, ...flags], processLimits), {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH: process.env.PATH, ...loweredLimits, BULRUSHBRIDGE_BOOT: settingsPath },
  })
  let log = ''
  for (const output of [child.stdout, child.stderr])
    output.on('data', (chunk: Buffer) => (log = (log + chunk.toString()).slice(-3_000)))
  const ended = once(child, 'exit')
  const pid = child.pid ?? 0
  t.teardown(async () => {
    child.kill('SIGKILL')
    await ended
    store.close()
    rmSync(folder, { recursive: true })
  })
  const send = (port: number, path: string, method = 'GET', body = '') =>
    sendRequest({ host: ip, port, path, method, localAddress }, body)
  const isReady = () =>
    send(ports.readiness, '/v1/ready').then(
      ({ status }) => status === 200,
      () => false,
    )
  const isRunning = () => child.exitCode === null && child.signalCode === null
  // A host whose event loop was busy is not ready until it has followed the store again.
  const becomesReady = async () => {
    const deadline = performance.now() + requestTimeoutMs
    while (isRunning() && performance.now() < deadline) {
      if (await isReady()) return true
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    return false
  }
  if (!(await becomesReady())) throw new Error(`the host did not start: ${log}`)
  const jobPath = '/jobs/00000000000000a1'
  const step = { cpu: 100, mem_mb: 10, gpu: 0, count: 1, estimate_ms: 100 }
  const submission = await send(ports.callers, jobPath, 'POST', JSON.stringify({ steps: [step] }))
  if (submission.status !== 200) throw new Error(`the job was not accepted: ${submission.body}`)
  // A request may be rejected as not run while the machine is busy with the end of the load.
  const answersOrdinaryRequest = async (t: Test) => {
    const deadline = performance.now() + requestTimeoutMs
    while (isRunning() && performance.now() < deadline) {
      const { status, body } = await send(ports.callers, jobPath).catch((err: unknown) => ({
        status: 0,
        body: String(err),
      }))
      if (status === 200) return true
      t.comment(`ordinary request: status ${status}, ${body}`)
      if (status !== 0 && status !== 429 && status !== 503) return false
      await new Promise(resolve => setTimeout(resolve, 250))
    }
    return false
  }
  const idleMb = peakResidentMb(pid)
  return {
    ip,
    pid,
    ports,
    usualHeaders: `host: ${ip}\r\nauthorization: Token none\r\nbulrushbridge-deadline-ms: 3000\r\n`,
    jobPath,
    storeRows: store.rows,
    send,
    checkAfterLoad: async t => {
      if (!isRunning()) {
        t.fail('the process has ended', { exit: await ended, log })
        return
      }
      const peakMb = peakResidentMb(pid)
      t.comment(
        `peak of resident memory: ${peakMb} MB (${idleMb} MB before the load), descriptors: ${countDescriptors(pid)}`,
      )
      t.ok(peakMb < maxResidentMb, `the peak of resident memory is under ${maxResidentMb} MB`, {
        peakMb,
      })
      t.ok(countDescriptors(pid) < maxOpenFiles - 10, 'some descriptors are free')
      t.ok(await becomesReady(), 'the host is ready')
      t.ok(
        await answersOrdinaryRequest(t),
        'an ordinary request for the state of a job is answered',
      )
      t.ok(isRunning(), 'the process is alive')
      if (!isRunning()) t.comment(log)
    },
  }
}

function sendRequest(
  target: { host: string; port: number; path: string; method: string; localAddress: string },
  body: string,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    const req = request({ ...target, agent: false }, res => {
      let text = ''
      res.on('data', (chunk: Buffer) => (text += chunk.toString()))
      res.on('end', () => {
        resolve({ status: res.statusCode ?? 0, body: text })
      })
      res.on('error', reject)
    })
    req.setTimeout(requestTimeoutMs, () => req.destroy(new Error('no response in time')))
    req.on('error', reject)
    req.end(body)
  })
}

/** One queue, which needs no key. */
function configurationOf(host: string) {
  const queue = { name: 'jobs', host, path_prefix: '/jobs/', service: 'pool' }
  return {
    version: 1,
    routes: [{ ...queue, allow_anonymous: true }],
    services: [{ name: 'pool' }],
    tenants: [],
  }
}

function settingsText(
  ip: string,
  ports: HostProcess['ports'],
  store: string,
  limits: string,
): string {
  return `node = "h1"
zone = "zone-a"
ip = "${ip}"
internal_ports = [${ports.metrics}, ${ports.relay}]
[listen]
front = "${ip}:${ports.callers}"
ready = "${ip}:${ports.readiness}"
[limits]
cpu_share = 0.5
${limits}
[bounds]
grace_s = 2
hold_max_ms = 10000
[platform]
address = "${store}"
`
}
