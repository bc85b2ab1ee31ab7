import {
  createHostListStandin,
  createObjectStandin,
  createRunnerStandin,
  createTableStandin,
  type HostListStandin,
  type RunnerOptions,
  type RunnerStandin,
  type Standin,
} from '@bulrushbridge/standins'
import { createCaller, type Caller, type CallerAnswer, type CallerRequest } from './caller.js'
import { launch, type RunningProgram } from './launch.js'
import { createLink, type Link } from './link.js'
import { createLoopback } from './loopback.js'
import { createOperator, type Operator } from './operator.js'
import { createPeerNetwork, type PeerNetwork } from './peer-network.js'
import {
  createSampleDocument,
  type SampleDocument,
  type SampleRunner,
  type SampleTeam,
} from './sample-document.js'

/** Secret of the peers in tests. */
const peerSecret = 'testbed-peer-secret'

/** Peer port with `peerLinks`: the links must exist before the host starts. Each has its own IP. */
const peerPort = 7_200

/** Options of {@link createTestbed}. */
export interface TestbedOptions {
  /** Entry hosts; the n-th is `e<n>` in the n-th zone. */
  entryHosts?: number
  zones?: string[]
  /** Runners of the service `finder`, spread over the zones. */
  runners?: number
  slots?: number
  /** Work time of a request that names none, in milliseconds. */
  workMs?: number
  teams?: SampleTeam[]
  /** Milliseconds that an entry host waits for the balancer at a shutdown. */
  balancerWaitMs?: number
  /** Environment variables of the entry hosts. */
  env?: Record<string, string>
  seed?: number
  /** Told of each start at the runners; see `RunnerOptions.onStart`. */
  onStart?: RunnerOptions['onStart']
  /** Puts a link before each runner, so that a test can cut or silence it. */
  runnerLinks?: boolean
  /** Puts a link between each two entry hosts, for each direction. */
  peerLinks?: boolean
}

/** An entry host of a testbed. */
export interface TestEntry {
  id: string
  zone: string
  program: RunningProgram
  callers: string
  operators: string
  /** Its link to the table service, which its control program uses too. */
  storeLink: Link
  /** Address that its programs use. */
  host: string
  /** Environment of its programs. */
  env: Record<string, string>
}

/** A whole system: stand-ins in this process, entry hosts as processes of their own. */
export interface Testbed {
  readonly table: Standin
  readonly objects: Standin
  readonly hosts: HostListStandin
  readonly runners: RunnerStandin[]
  /** Links to the runners, with the option `runnerLinks`. */
  readonly runnerLinks: Link[]
  /** Links between the entry hosts, with the option `peerLinks`. */
  readonly peerNetwork: PeerNetwork | undefined
  readonly runnerEntries: SampleRunner[]
  readonly sample: SampleDocument
  readonly entries: TestEntry[]
  readonly caller: Caller
  /** Starts an entry host, or a replacement of one with the same id. */
  startEntry(id: string, zone: string): Promise<TestEntry>
  /** Starts a control program beside an entry host. */
  startControl(entry: TestEntry): Promise<RunningProgram>
  /** An operator at the n-th entry host. */
  operator(n?: number): Operator
  /** Sends a request of a team to the n-th entry host on the team's own queue. */
  send(n: number, team: string, req?: Partial<CallerRequest>): Promise<CallerAnswer>
  /** Waits until all listed entry hosts are ready. */
  ready(entries?: TestEntry[]): Promise<void>
  close(): Promise<void>
}

/**
 * Starts a system, promotes the sample document and waits until every entry host is ready.
 *
 * @example
 * const bed = await createTestbed({ entryHosts: 3, runners: 4 })
 * const answer = await bed.send(0, 'lamps')
 * await bed.close()
 */
export async function createTestbed(opts: TestbedOptions = {}): Promise<Testbed> {
  const zones = opts.zones ?? ['a', 'b', 'c']
  const loopback = createLoopback()
  const table = await createTableStandin({ host: loopback.next(), port: 0 })
  const objects = await createObjectStandin({ host: loopback.next(), port: 0 })
  const hosts = await createHostListStandin({ host: loopback.next(), port: 0 })
  const links: Link[] = []
  const runners: RunnerStandin[] = []
  const runnerLinks: Link[] = []
  const runnerEntries: SampleRunner[] = []
  for (let n = 1; n <= (opts.runners ?? 4); n++) {
    const [id, zone] = [`r${n}`, zones[(n - 1) % zones.length] ?? '']
    const runner = await createRunnerStandin({
      host: loopback.next(),
      port: 0,
      id,
      zone,
      slots: opts.slots ?? 8,
      workMs: opts.workMs ?? 5,
      seed: (opts.seed ?? 1) + n,
      ...(opts.onStart === undefined ? {} : { onStart: opts.onStart }),
    })
    runners.push(runner)
    let { address } = runner
    if (opts.runnerLinks === true) {
      const link = await createLink({ host: loopback.next(), target: address })
      links.push(link)
      runnerLinks.push(link)
      address = link.address
    }
    runnerEntries.push({ id, host: `host-${id}`, zone, address })
  }
  const teams = opts.teams ?? [
    { name: 'lamps', share: 2, limit: 100 },
    { name: 'mills', share: 1, limit: 100 },
  ]
  const sample = createSampleDocument({
    zones,
    teams,
    runners: runnerEntries,
    ...(opts.slots === undefined ? {} : { slots: opts.slots }),
  })
  const entries: TestEntry[] = []
  const programs: RunningProgram[] = []
  const caller = createCaller()
  const peerNetwork = opts.peerLinks === true ? createPeerNetwork() : undefined

  const startEntry = async (id: string, zone: string): Promise<TestEntry> => {
    const host = loopback.next()
    const storeLink = await createLink({ host, target: new URL(table.url).host })
    links.push(storeLink)
    const env = {
      BULRUSH_PEER_SECRET: peerSecret,
      ...(await peerNetwork?.join({ id, host, peerPort })),
      ...opts.env,
    }
    const settings: Record<string, string> = {
      member: id,
      zone,
      host,
      'caller-port': '0',
      'operator-port': '0',
      'peer-port': String(peerNetwork === undefined ? 0 : peerPort),
      'table-url': `http://${storeLink.address}`,
      'object-url': objects.url,
      'hosts-url': hosts.url,
      'bootstrap-digest': sample.operator.digest,
      'balancer-wait': String(opts.balancerWaitMs ?? 200),
      peers: entries.map(each => `${each.id}=${each.program.ready.peers ?? ''}`).join(','),
    }
    const program = await launch('bulrush-entry', flags(settings), env)
    programs.push(program)
    const { callers = '', operators = '' } = program.ready
    const entry = { id, zone, program, callers, operators, storeLink, host, env }
    const at = entries.findIndex(each => each.id === id)
    if (at === -1) entries.push(entry)
    else entries[at] = entry
    return entry
  }

  const startControl = async ({ id, zone, host, env, storeLink }: TestEntry) => {
    const settings = {
      member: id,
      zone,
      host,
      'table-url': `http://${storeLink.address}`,
      'object-url': objects.url,
      'hosts-url': hosts.url,
    }
    const program = await launch('bulrush-control', flags(settings), env)
    programs.push(program)
    return program
  }

  const entryAt = (n: number): TestEntry => {
    const entry = entries[n]
    if (entry === undefined) throw new RangeError(`there is no entry host ${n}`)
    return entry
  }

  const bed: Testbed = {
    table,
    objects,
    hosts,
    runners,
    runnerLinks,
    peerNetwork,
    runnerEntries,
    sample,
    entries,
    caller,
    startEntry,
    startControl,
    operator: (n = 0) => createOperator(entryAt(n).operators, sample.operator.credential),
    send: (n, team, req = {}) =>
      caller.send({
        entry: entryAt(n).callers,
        queue: team,
        key: sample.keys[team] ?? '',
        ...req,
      }),
    ready: async (listed = entries) => {
      await until(async () => (await Promise.all(listed.map(isReady))).every(Boolean))
    },
    close: async () => {
      await caller.close()
      for (const { process: child } of programs) child.kill('SIGKILL')
      await Promise.all(programs.map(program => program.ended()))
      await Promise.all([
        ...links.map(link => link.close()),
        peerNetwork?.close(),
        ...runners.map(runner => runner.close()),
        table.close(),
        objects.close(),
        hosts.close(),
      ])
    },
  }
  try {
    for (let n = 1; n <= (opts.entryHosts ?? 3); n++) {
      await startEntry(`e${n}`, zones[(n - 1) % zones.length] ?? '')
    }
    await until(async () => (await bed.operator().promote(sample.text)).status === 200)
    await bed.ready()
  } catch (err) {
    const logs = programs.map(program => program.log()).join('\n')
    await bed.close()
    throw new Error(`the testbed did not start: ${logs}`, { cause: err })
  }
  return bed
}

function flags(settings: Record<string, string>): string[] {
  return Object.entries(settings).flatMap(([name, value]) => [`--${name}`, value])
}

async function isReady(entry: TestEntry): Promise<boolean> {
  try {
    const res = await fetch(`http://${entry.operators}/health/ready`, {
      signal: AbortSignal.timeout(readyMs),
    })
    return res.status === 200
  } catch {
    return false
  }
}

/** Time for one readiness check: a host that hangs must fail the wait, not prolong it. */
const readyMs = 5_000

/** Longest wait of {@link until}, in milliseconds. */
const untilMs = 30_000

/** Pause between two checks of {@link until}, in milliseconds. */
const untilPauseMs = 50

/**
 * Waits until a condition holds.
 *
 * @throws Error when it does not hold in time.
 */
export async function until(
  condition: () => boolean | Promise<boolean>,
  limitMs = untilMs,
): Promise<void> {
  const deadline = performance.now() + limitMs
  while (performance.now() < deadline) {
    if (await condition()) return
    await new Promise(resolve => setTimeout(resolve, untilPauseMs))
  }
  throw new Error(`the condition did not hold within ${limitMs} ms`)
}
