import { generateTeamKey } from '@bulrushbridge/team-keys'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createCaller } from './caller.js'
import { launch, runToEnd, type RunningProgram } from './launch.js'
import { createLoopback } from './loopback.js'
import { createSampleDocument, type SampleRunner } from './sample-document.js'
import { until } from './testbed.js'

/** Time within which an accepted restriction is in force on all entry hosts, in milliseconds. */
const maxInForceDelayMs = 3_000

const zones = ['a', 'b', 'c']
const peerSecret = 'demo-peer-secret-0000'

const loopback = createLoopback()
const caller = createCaller()
const tempDir = mkdtempSync(join(tmpdir(), 'bulrush-demo-'))
const programs: RunningProgram[] = []
let stepCount = 0

function printStep(text: string): void {
  stepCount += 1
  process.stdout.write(`${String(stepCount).padStart(2)}  ${text}\n`)
}

function verifyStep(condition: boolean, text: string): void {
  if (!condition) throw new Error(`step failed: ${text}`)
  printStep(text)
}

async function startProgram(
  name: Parameters<typeof launch>[0],
  args: string[],
  env?: Record<string, string>,
): Promise<RunningProgram> {
  const program = await launch(name, args, env)
  programs.push(program)
  return program
}

function flags(settings: Record<string, string>): string[] {
  return Object.entries(settings).flatMap(([name, value]) => [`--${name}`, value])
}

async function startStandin(kind: 'table' | 'object' | 'hosts'): Promise<string> {
  const program = await startProgram('bulrush-standin', [
    kind,
    ...flags({ host: loopback.nextAddress() }),
  ])
  return program.readyOutput.url ?? ''
}

async function startRunner(n: number): Promise<SampleRunner> {
  const [id, zone] = [`r${n}`, zones[(n - 1) % zones.length] ?? '']
  const settings = { host: loopback.nextAddress(), id, zone, 'work-ms': '20' }
  const { readyOutput } = await startProgram('bulrush-standin', ['runner', ...flags(settings)])
  return { id, host: `host-${id}`, zone, address: readyOutput.address ?? '' }
}

async function countStarts(runners: SampleRunner[], key?: string): Promise<number> {
  const counts = await Promise.all(
    runners.map(async ({ address }) => {
      const res = await fetch(`http://${address}/stats`)
      const stats = (await res.json()) as {
        startsByKey: Record<string, number>
        startedAt: number[]
      }
      return key === undefined ? stats.startedAt.length : (stats.startsByKey[key] ?? 0)
    }),
  )
  return counts.reduce((sum, count) => sum + count, 0)
}

async function isReady(operators: string): Promise<boolean> {
  const res = await fetch(`http://${operators}/health/ready`).catch(() => undefined)
  return res?.status === 200
}

async function runDemo(): Promise<void> {
  const [table, object, hosts] = await Promise.all([
    startStandin('table'),
    startStandin('object'),
    startStandin('hosts'),
  ])
  const runners = await Promise.all([1, 2, 3, 4, 5, 6].map(startRunner))
  const sample = createSampleDocument({
    zones,
    runners,
    teams: [
      { name: 'lamps', share: 2, limit: 40 },
      { name: 'mills', share: 1, limit: 20 },
    ],
  })
  const entries = await Promise.all(
    zones.map(async (zone, n) => {
      const settings = {
        member: `e${n + 1}`,
        zone,
        host: loopback.nextAddress(),
        'caller-port': '0',
        'operator-port': '0',
        'peer-port': '0',
        'table-url': table,
        'object-url': object,
        'hosts-url': hosts,
        'bootstrap-digest': sample.operator.digest,
        'balancer-wait': '300',
      }
      const program = await startProgram('bulrush-entry', flags(settings), {
        BULRUSH_PEER_SECRET: peerSecret,
      })
      const { callers = '', operators = '' } = program.readyOutput
      return { id: settings.member, zone, program, callers, operators }
    }),
  )
  const [first, second, third] = entries
  if (first === undefined || second === undefined || third === undefined) return
  printStep(`started ${entries.length} entry hosts in ${zones.length} zones and 6 runners`)

  const runCommand = async (...args: string[]) => {
    const env = { BULRUSH_CREDENTIAL: sample.operator.credential }
    const entryFlags = entries
      .filter(({ program }) => program.process.exitCode === null)
      .flatMap(({ operators }) => ['--entry', `http://${operators}`])
    const result = await runToEnd('bulrush', [...args, ...entryFlags, '--json'], env)
    if (result.status !== 0)
      throw new Error(`bulrush ${args.join(' ')}: ${result.stdout}${result.stderr}`)
    return JSON.parse(result.stdout) as Record<string, unknown>
  }

  const file = join(tempDir, 'document.yaml')
  writeFileSync(file, sample.text)
  const trial = await runCommand('trial', file)
  printStep(`the trial proved document ${String(trial.digest).slice(0, 12)}`)
  await until(async () => {
    const status = await runCommand('status')
    return Object.keys(status.members as object).length === entries.length
  })
  const { version: expectedVersion } = await runCommand('status')
  const promoted = await runCommand(
    'promote',
    String(trial.digest),
    '--expected-version',
    String(expectedVersion),
  )
  await until(async () =>
    (await Promise.all(entries.map(entry => isReady(entry.operators)))).every(Boolean),
  )
  verifyStep(
    promoted.accepted === true,
    `the document was promoted and is in force as version ${String(promoted.version)}`,
  )

  const sendRequest = (entry: { callers: string }, team: string, overrides = {}) =>
    caller.send({
      entryAddress: entry.callers,
      queue: team,
      key: sample.keys[team] ?? '',
      ...overrides,
    })
  const responses = await Promise.all(
    Array.from({ length: 60 }, (_, i) =>
      sendRequest(entries[i % entries.length] ?? first, i % 3 === 0 ? 'mills' : 'lamps'),
    ),
  )
  const finished = responses.filter(
    ({ status, outcome }) => status === 200 && outcome === 'finished',
  )
  verifyStep(finished.length === 60, '60 requests of two teams succeeded')
  const wrongTeamResponse = await sendRequest(first, 'lamps', { key: sample.keys.mills })
  verifyStep(
    wrongTeamResponse.kind === 'key-wrong-team' && wrongTeamResponse.outcome === 'not-run',
    'a request with the key of another team was refused as not run',
  )

  const merge = { method: 'POST', path: '/merge', body: 'sheet', idempotencyKey: 'merge-1' }
  const mergeResponse = await sendRequest(first, 'lamps', merge)
  const repeatedResponse = await sendRequest(second, 'lamps', merge)
  const startCount = await countStarts(runners, 'merge-1')
  verifyStep(
    mergeResponse.status === 200 &&
      repeatedResponse.body === mergeResponse.body &&
      startCount === 1,
    'a merge that was repeated through another entry host ran once and returned the same response',
  )

  await runCommand('key', 'withdraw', 'mills-1')
  const withdrawnAt = performance.now()
  await until(
    async () => (await sendRequest(third, 'mills')).kind === 'key-invalid',
    maxInForceDelayMs,
  )
  verifyStep(
    (await sendRequest(first, 'mills')).kind === 'key-invalid',
    `two entry hosts refused the withdrawn key after ${Math.round(performance.now() - withdrawnAt)} ms`,
  )
  const { key, digest } = generateTeamKey('mills-2')
  await runCommand('key', 'grant', 'mills-2', '--team', 'mills', '--digest', digest)
  await until(
    async () => (await sendRequest(second, 'mills', { key })).status === 200,
    maxInForceDelayMs,
  )
  printStep('a new key of the same team was granted and accepted')

  await runCommand('zone', 'out', 'a')
  await pause(maxInForceDelayMs)
  const zoneRunners = runners.filter(({ zone }) => zone === 'a')
  const startsInZone = await countStarts(zoneRunners)
  const responsesDuringZoneOut = await Promise.all(
    Array.from({ length: 30 }, () => sendRequest(second, 'lamps')),
  )
  verifyStep(
    responsesDuringZoneOut.every(({ status }) => status === 200) &&
      (await countStarts(zoneRunners)) === startsInZone,
    'zone a was taken out: 30 requests succeeded and none started in it',
  )
  await runCommand('zone', 'back', 'a')
  await until(async () => {
    await Promise.all(Array.from({ length: 20 }, () => sendRequest(first, 'lamps')))
    return (await countStarts(zoneRunners)) > startsInZone
  })
  printStep('zone a was brought back and serves requests again')

  third.program.kill('SIGKILL')
  await third.program.waitForExit()
  const responsesAfterKill = await Promise.all(
    Array.from({ length: 30 }, (_, i) => sendRequest(i % 2 === 0 ? first : second, 'lamps')),
  )
  verifyStep(
    responsesAfterKill.every(({ status }) => status === 200),
    'entry host e3 was killed: 30 requests through the others succeeded',
  )

  const longRequests = Array.from({ length: 10 }, () =>
    sendRequest(second, 'lamps', { path: '/work?ms=600' }),
  )
  await pause(100)
  second.program.kill('SIGTERM')
  const drainedResponses = await Promise.all(longRequests)
  const status = await second.program.waitForExit()
  verifyStep(
    status === 0 && drainedResponses.every(response => response.status === 200),
    'entry host e2 received SIGTERM: it finished its 10 requests and exited with status 0',
  )
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function stopAll(): Promise<void> {
  await caller.close()
  for (const { process: child } of programs) child.kill('SIGKILL')
  await Promise.all(programs.map(program => program.waitForExit()))
  rmSync(tempDir, { recursive: true })
}

try {
  await runDemo()
  process.stdout.write('demo: all steps passed\n')
} catch (err) {
  process.exitCode = 1
  process.stderr.write(`demo: ${err instanceof Error ? err.message : String(err)}\n`)
  for (const program of programs) process.stderr.write(program.log().slice(-2_000))
} finally {
  await stopAll()
}
