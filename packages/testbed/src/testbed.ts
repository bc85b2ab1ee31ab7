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
import { createCaller, type Caller, type CallerResponse, type CallerRequest } from './caller.js'
import { launch, type ProcessLimits, type RunningProgram } from './launch.js'
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

/** Secret with which the entry hosts of a testbed authenticate to each other. */
const peerSecret = 'testbed-peer-secret'

/**
 * Peer port of every entry host with the option `peerLinks`. The links to a host are opened before it
 * starts, so its port must be known. Hosts have different IP addresses.
 */
const peerPort = 7_200

/** Options of {@link createTestbed}. */
export interface TestbedOptions {
  /** Number of entry hosts, 3 by default; the n-th has the id `e<n>` and is in the n-th zone. */
  entryHosts?: number
  /** Names of the availability zones; `a`, `b` and `c` by default. */
  zones?: string[]
  /** Number of runners of the service `finder`, distributed over the zones; 4 by default. */
  runners?: number
  /** Slots of each runner; 8 by default. */
  slots?: number
  /** Work time of a request that sets none, in milliseconds; 5 by default. */
  workMs?: number
  /** Teams of the sample document; by default `lamps` and `mills` with a limit of 100 each. */
  teams?: SampleTeam[]
  /** Time for which an entry host waits for the balancer at a shutdown, in milliseconds. */
  balancerWaitMs?: number
  /** Environment variables of the entry hosts. */
  env?: Record<string, string>
  /** Limits of the processes of the entry hosts; by default those of the test. */
  processLimits?: ProcessLimits
  /** Seed of the runners' random work times; 1 by default. */
  seed?: number
  /** Called when work starts at a runner; see `RunnerOptions.onStart`. */
  onStart?: RunnerOptions['onStart']
  /** Whether each runner is reached through a link, which a test can cut or silence. */
  runnerLinks?: boolean
  /** Whether each entry host reaches each other one through a link, which a test can cut. */
  peerLinks?: boolean
}

/** An entry host of a testbed. */
export interface TestEntry {
  id: string
  zone: string
  program: RunningProgram
  /** `IP:port` of the callers' API. */
  callers: string
  /** `IP:port` of the operators' API. */
  operators: string
  /** Link to the table service, which its control program uses too. */
  storeLink: Link
  /** IP address of its programs. */
  host: string
  /** Environment variables of its programs. */
  env: Record<string, string>
}

/** A running system: the stand-ins run in this process, each entry host in a child process. */
export interface Testbed {
  /** Stand-in of the table service. */
  readonly table: Standin
  /** Stand-in of the object service. */
  readonly objects: Standin
  /** Stand-in of the host list service. */
  readonly hosts: HostListStandin
  /** Stand-ins of the runners. */
  readonly runners: RunnerStandin[]
  /** Links to the runners; empty without the option `runnerLinks`. */
  readonly runnerLinks: Link[]
  /** Links between the entry hosts; undefined without the option `peerLinks`. */
  readonly peerNetwork: PeerNetwork | undefined
  /** The runners as the sample document lists them. */
  readonly sampleRunners: SampleRunner[]
  /** The promoted document with its keys and the operator's credential. */
  readonly sample: SampleDocument
  /** The entry hosts, in the order of their first start. */
  readonly entries: TestEntry[]
  /** The caller whose connections {@link Testbed.send} uses. */
  readonly caller: Caller
  /** Starts an entry host; it replaces one with the same id in `entries`. */
  startEntry(id: string, zone: string): Promise<TestEntry>
  /** Starts a control program on the host of an entry host. */
  startControl(entry: TestEntry): Promise<RunningProgram>
  /**
   * Creates an operator at the n-th entry host, counted from 0.
   *
   * @throws RangeError when there is none.
   */
  operator(n?: number): Operator
  /** Sends a request of a team to its queue at the n-th entry host, counted from 0. */
  send(n: number, team: string, req?: Partial<CallerRequest>): Promise<CallerResponse>
  /**
   * Waits until the given entry hosts are ready, by default all.
   *
   * @throws Error when they are not ready within 30 s.
   */
  waitUntilReady(entries?: TestEntry[]): Promise<void>
  /** Kills all programs and closes the links and stand-ins. */
  close(): Promise<void>
}

/**
 * Starts a system, promotes the sample document and waits until every entry host is ready.
 *
 * @throws Error with the logs of the programs when the system does not start.
 *
 * @example
 * const testbed = await createTestbed({ entryHosts: 3, runners: 4 })
 * const response = await testbed.send(0, 'lamps')
 * await testbed.close()
 */
export async function createTestbed(opts: TestbedOptions = {}): Promise<Testbed> {
  const zones = opts.zones ?? ['a', 'b', 'c']
  const loopback = createLoopback()
  const table = await createTableStandin({ host: loopback.nextAddress(), port: 0 })
  const objects = await createObjectStandin({ host: loopback.nextAddress(), port: 0 })
  const hosts = await createHostListStandin({ host: loopback.nextAddress(), port: 0 })
  const openLinks: Link[] = []
  const runners: RunnerStandin[] = []
  const runnerLinks: Link[] = []
  const sampleRunners: SampleRunner[] = []
  for (let n = 1; n <= (opts.runners ?? 4); n++) {
    const [id, zone] = [`r${n}`, zones[(n - 1) % zones.length] ?? '']
    const runner = await createRunnerStandin({
      host: loopback.nextAddress(),
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
      const link = await createLink({ host: loopback.nextAddress(), target: address })
      openLinks.push(link)
      runnerLinks.push(link)
      address = link.address
    }
    sampleRunners.push({ id, host: `host-${id}`, zone, address })
  }
  const teams = opts.teams ?? [
    { name: 'lamps', share: 2, limit: 100 },
    { name: 'mills', share: 1, limit: 100 },
  ]
  const sample = createSampleDocument({
    zones,
    teams,
    runners: sampleRunners,
    ...(opts.slots === undefined ? {} : { slots: opts.slots }),
  })
  const entries: TestEntry[] = []
  const programs: RunningProgram[] = []
  const caller = createCaller()
  const peerNetwork = opts.peerLinks === true ? createPeerNetwork() : undefined

  const startEntry = async (id: string, zone: string): Promise<TestEntry> => {
    const host = loopback.nextAddress()
    const storeLink = await createLink({ host, target: new URL(table.url).host })
    openLinks.push(storeLink)
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
      peers: entries.map(other => `${other.id}=${other.program.readyOutput.peers ?? ''}`).join(','),
    }
    const program = await launch('bulrush-entry', flags(settings), env, opts.processLimits)
    programs.push(program)
    const { callers = '', operators = '' } = program.readyOutput
    const entry = { id, zone, program, callers, operators, storeLink, host, env }
    const index = entries.findIndex(other => other.id === id)
    if (index === -1) entries.push(entry)
    else entries[index] = entry
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
    if (entry === undefined) throw new RangeError(`the testbed has no entry host with index ${n}`)
    return entry
  }

  const testbed: Testbed = {
    table,
    objects,
    hosts,
    runners,
    runnerLinks,
    peerNetwork,
    sampleRunners,
    sample,
    entries,
    caller,
    startEntry,
    startControl,
    operator: (n = 0) => createOperator(entryAt(n).operators, sample.operator.credential),
    send: (n, team, req = {}) =>
      caller.send({
        entryAddress: entryAt(n).callers,
        queue: team,
        key: sample.keys[team] ?? '',
        ...req,
      }),
    waitUntilReady: async (selected = entries) => {
      await until(async () => (await Promise.all(selected.map(isReady))).every(Boolean))
    },
    close: async () => {
      await caller.close()
      for (const { process: child } of programs) child.kill('SIGKILL')
      await Promise.all(programs.map(program => program.waitForExit()))
      await Promise.all([
        ...openLinks.map(link => link.close()),
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
    await until(async () => (await testbed.operator().promote(sample.text)).status === 200)
    await testbed.waitUntilReady()
  } catch (err) {
    const logs = programs.map(program => program.log()).join('\n')
    await testbed.close()
    throw new Error(`the testbed did not start; logs of its programs: ${logs}`, { cause: err })
  }
  return testbed
}

function flags(settings: Record<string, string>): string[] {
  return Object.entries(settings).flatMap(([name, value]) => [`--${name}`, value])
}

async function isReady(entry: TestEntry): Promise<boolean> {
  try {
    const res = await fetch(`http://${entry.operators}/health/ready`, {
      signal: AbortSignal.timeout(readinessTimeoutMs),
    })
    return res.status === 200
  } catch {
    return false
  }
}

/** Timeout of one readiness check, in milliseconds, so that a host that hangs cannot block the wait. */
const readinessTimeoutMs = 5_000

/** Default timeout of {@link until}, in milliseconds. */
const conditionTimeoutMs = 30_000

/** Pause between two checks of {@link until}, in milliseconds. */
const conditionPollMs = 50

/**
 * Waits until a condition holds; it is checked every 50 ms.
 *
 * @throws Error when the condition does not hold within `timeoutMs`.
 */
export async function until(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = conditionTimeoutMs,
): Promise<void> {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    if (await condition()) return
    await new Promise(resolve => setTimeout(resolve, conditionPollMs))
  }
  throw new Error(`the condition did not hold within ${timeoutMs} ms`)
}
