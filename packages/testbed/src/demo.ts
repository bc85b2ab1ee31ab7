import { generateTeamKey } from '@bulrushbridge/team-keys'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createCaller } from './caller.js'
import { launch, runToEnd, type RunningProgram } from './launch.js'
import { createLoopback } from './loopback.js'
import { createSampleDocument, type SampleRunner } from './sample-document.js'
import { until } from './testbed.js'

/** Longest time from an accepted restriction to the last start that ignores it, in milliseconds. */
const inForceMs = 3_000

const zones = ['a', 'b', 'c']
const peerSecret = 'demo-peer-secret-0000'

const loopback = createLoopback()
const caller = createCaller()
const dir = mkdtempSync(join(tmpdir(), 'bulrush-demo-'))
const programs: RunningProgram[] = []
let step = 0

function report(text: string): void {
  step += 1
  process.stdout.write(`${String(step).padStart(2)}  ${text}\n`)
}

function hold(condition: boolean, text: string): void {
  if (!condition) throw new Error(`did not hold: ${text}`)
  report(text)
}

async function start(
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
  const program = await start('bulrush-standin', [kind, ...flags({ host: loopback.next() })])
  return program.ready.url ?? ''
}

async function startRunner(n: number): Promise<SampleRunner> {
  const [id, zone] = [`r${n}`, zones[(n - 1) % zones.length] ?? '']
  const settings = { host: loopback.next(), id, zone, 'work-ms': '20' }
  const { ready } = await start('bulrush-standin', ['runner', ...flags(settings)])
  return { id, host: `host-${id}`, zone, address: ready.address ?? '' }
}

async function startsAt(runners: SampleRunner[], key?: string): Promise<number> {
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

async function run(): Promise<void> {
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
        host: loopback.next(),
        'caller-port': '0',
        'operator-port': '0',
        'peer-port': '0',
        'table-url': table,
        'object-url': object,
        'hosts-url': hosts,
        'bootstrap-digest': sample.operator.digest,
        'balancer-wait': '300',
      }
      const program = await start('bulrush-entry', flags(settings), {
        BULRUSH_PEER_SECRET: peerSecret,
      })
      const { callers = '', operators = '' } = program.ready
      return { id: settings.member, zone, program, callers, operators }
    }),
  )
  const [first, second, third] = entries
  if (first === undefined || second === undefined || third === undefined) return
  report(`started ${entries.length} entry hosts in ${zones.length} zones and 6 runners`)

  const operate = async (...args: string[]) => {
    const env = { BULRUSH_CREDENTIAL: sample.operator.credential }
    const entryFlags = entries
      .filter(({ program }) => program.process.exitCode === null)
      .flatMap(({ operators }) => ['--entry', `http://${operators}`])
    const done = await runToEnd('bulrush', [...args, ...entryFlags, '--json'], env)
    if (done.status !== 0)
      throw new Error(`bulrush ${args.join(' ')}: ${done.stdout}${done.stderr}`)
    return JSON.parse(done.stdout) as Record<string, unknown>
  }

  const file = join(dir, 'document.yaml')
  writeFileSync(file, sample.text)
  const trial = await operate('trial', file)
  report(`trial proved document ${String(trial.digest).slice(0, 12)}`)
  await until(async () => {
    const status = await operate('status')
    return Object.keys(status.members as object).length === entries.length
  })
  const { version: before } = await operate('status')
  const promoted = await operate(
    'promote',
    String(trial.digest),
    '--expected-version',
    String(before),
  )
  await until(async () =>
    (await Promise.all(entries.map(e => isReady(e.operators)))).every(Boolean),
  )
  hold(promoted.accepted === true, `promoted as version ${String(promoted.version)}, in force`)

  const ask = (entry: { callers: string }, team: string, more = {}) =>
    caller.send({ entry: entry.callers, queue: team, key: sample.keys[team] ?? '', ...more })
  const answers = await Promise.all(
    Array.from({ length: 60 }, (_, i) =>
      ask(entries[i % entries.length] ?? first, i % 3 === 0 ? 'mills' : 'lamps'),
    ),
  )
  const finished = answers.filter(({ status, outcome }) => status === 200 && outcome === 'finished')
  hold(finished.length === 60, '60 requests of two teams were answered')
  const wrongTeam = await ask(first, 'lamps', { key: sample.keys.mills })
  hold(
    wrongTeam.kind === 'key-wrong-team' && wrongTeam.outcome === 'not-run',
    'a key of another team was refused as not run',
  )

  const merge = { method: 'POST', path: '/merge', body: 'sheet', idempotencyKey: 'merge-1' }
  const merged = await ask(first, 'lamps', merge)
  const repeated = await ask(second, 'lamps', merge)
  const ran = await startsAt(runners, 'merge-1')
  hold(
    merged.status === 200 && repeated.body === merged.body && ran === 1,
    'a merge repeated through another entry host ran once and gave the same answer',
  )

  await operate('key', 'withdraw', 'mills-1')
  const withdrawnAt = performance.now()
  await until(async () => (await ask(third, 'mills')).kind === 'key-invalid', inForceMs)
  hold(
    (await ask(first, 'mills')).kind === 'key-invalid',
    `a withdrawn key was refused everywhere after ${Math.round(performance.now() - withdrawnAt)} ms`,
  )
  const { key, digest } = generateTeamKey('mills-2')
  await operate('key', 'grant', 'mills-2', '--team', 'mills', '--digest', digest)
  await until(async () => (await ask(second, 'mills', { key })).status === 200, inForceMs)
  report('a new key of the same team was granted and works')

  await operate('zone', 'out', 'a')
  await pause(inForceMs)
  const inA = runners.filter(({ zone }) => zone === 'a')
  const startsInA = await startsAt(inA)
  const duringOut = await Promise.all(Array.from({ length: 30 }, () => ask(second, 'lamps')))
  hold(
    duringOut.every(({ status }) => status === 200) && (await startsAt(inA)) === startsInA,
    'zone a was taken out: 30 requests were answered and none started there',
  )
  await operate('zone', 'back', 'a')
  await until(async () => {
    await Promise.all(Array.from({ length: 20 }, () => ask(first, 'lamps')))
    return (await startsAt(inA)) > startsInA
  })
  report('zone a was brought back and serves again')

  third.program.kill('SIGKILL')
  await third.program.ended()
  const afterKill = await Promise.all(
    Array.from({ length: 30 }, (_, i) => ask(i % 2 === 0 ? first : second, 'lamps')),
  )
  hold(
    afterKill.every(({ status }) => status === 200),
    'entry host e3 was killed: the others answered 30 requests',
  )

  const busy = Array.from({ length: 10 }, () => ask(second, 'lamps', { path: '/work?ms=600' }))
  await pause(100)
  second.program.kill('SIGTERM')
  const drained = await Promise.all(busy)
  const status = await second.program.ended()
  hold(
    status === 0 && drained.every(answer => answer.status === 200),
    'entry host e2 was told to stop: it finished its 10 requests and ended with status 0',
  )
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function stopAll(): Promise<void> {
  await caller.close()
  for (const { process: child } of programs) child.kill('SIGKILL')
  await Promise.all(programs.map(program => program.ended()))
  rmSync(dir, { recursive: true })
}

try {
  await run()
  process.stdout.write('demo: every step held\n')
} catch (err) {
  process.exitCode = 1
  process.stderr.write(`demo: ${err instanceof Error ? err.message : String(err)}\n`)
  for (const program of programs) process.stderr.write(program.log().slice(-2_000))
} finally {
  await stopAll()
}
