import { seededRandom } from '@bulrushbridge/standins'
import { createBalancer, type Balancer } from './balancer.js'
import { closeSystem, healSystem, startSystem } from './scenario-system.js'
import type { ScenarioSystem, SystemSpec } from './scenario-system.js'
import { until, type TestEntry } from './testbed.js'
import { sendTraffic, type RecordedCall, type WorkKind } from './traffic.js'

/** How callers choose an entry host. */
export type Route = 'all' | 'balancer' | number

/** What a scenario's callers do; see {@link ScenarioWorld.startTraffic}. */
export interface TrafficSpec {
  team: string
  kind: WorkKind
  count: number
  overMs: number
  workMs: number
  route: Route
  /** Key to present; by default the current one of the team. */
  key?: string
}

/** Deadline that callers give, in milliseconds. */
const callerDeadlineMs = 5_000

/** Bytes that runners add to each answer, so that a cut answer is cut inside its body. */
const fillerBytes = 2_000

/** Longest wait of a request for an entry host that is ready, in milliseconds. */
const balancerHoldMs = 5_000

/** Longest wait at the end of a scenario for faults that heal by themselves, in milliseconds. */
const settleMs = 15_000

/** State of one scenario; the system may have served earlier scenarios of the feature. */
export class ScenarioWorld {
  readonly spec: SystemSpec = {
    seed: 1,
    zones: 3,
    entryHosts: 3,
    runners: 4,
    slots: 8,
    limits: {},
    controls: 0,
    workers: 0,
    balancerWaitMs: 1_000,
  }
  /** Moments at which operators' orders were accepted, on `performance.now()`. */
  readonly acceptedAt = new Map<string, number>()
  /** When each order was sent; it may take effect from then on. */
  readonly orderedAt = new Map<string, number>()
  /** Upper limit that the accepted promotion sets. */
  promotedLimit: number | undefined
  /** Exit statuses of entry hosts that were told to stop. */
  readonly exits: Promise<number>[] = []
  /** Parts of the scenario that go on by themselves, such as the end of a fault. */
  readonly pending: Promise<unknown>[] = []
  #system: ScenarioSystem | undefined
  #traffic: Promise<RecordedCall[]>[] = []
  #rng: () => number = () => 0
  #balancer: Balancer | undefined

  constructor(private readonly feature: { system: ScenarioSystem | undefined }) {}

  /** The system as the `Given` steps describe it, started at the first use. */
  async system(): Promise<ScenarioSystem> {
    if (this.#system !== undefined) return this.#system
    const { feature } = this
    const earlier = feature.system
    if (earlier !== undefined && (earlier.isSpent || earlier.spec !== JSON.stringify(this.spec))) {
      feature.system = undefined
      await closeSystem(earlier)
    }
    feature.system ??= await startSystem(this.spec)
    this.#system = feature.system
    this.#rng = seededRandom(this.spec.seed)
    return this.#system
  }

  /** Sends requests in the background. */
  async startTraffic(spec: TrafficSpec): Promise<void> {
    const system = await this.system()
    if (spec.route === 'balancer') this.#balancer ??= createBalancer(() => system.bed.entries)
    const { team, route } = spec
    this.#traffic.push(
      sendTraffic({
        ...spec,
        name: `${team}-${this.#traffic.length}-${Math.round(performance.now())}`,
        fillerBytes,
        deadlineMs: callerDeadlineMs,
        rng: this.#rng,
        chooseEntries: copies => this.#chooseEntries(system, route, copies),
        isWrongKey: spec.key !== undefined,
        key: () => spec.key ?? system.keys[team]?.key ?? '',
        send: req => system.bed.caller.send(req),
      }),
    )
  }

  /** The recorded calls, after all callers and all faults have ended. */
  async calls(): Promise<RecordedCall[]> {
    const calls = (await Promise.all(this.#traffic)).flat()
    await this.#settle()
    return calls
  }

  async #settle(): Promise<void> {
    let timer: NodeJS.Timeout | undefined
    const limit = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new Error(`the faults did not end within ${settleMs} ms`))
      }, settleMs)
    })
    await Promise.race([Promise.all(this.pending), limit]).finally(() => {
      clearTimeout(timer)
    })
  }

  async #chooseEntries({ bed }: ScenarioSystem, route: Route, copies: number): Promise<string[]> {
    const hosts = await this.#routable(bed.entries, route)
    const first = Math.floor(this.#rng() * hosts.length)
    return Array.from(
      { length: copies },
      (_, n) => hosts[(first + n) % hosts.length]?.callers ?? '',
    )
  }

  async #routable(entries: readonly TestEntry[], route: Route): Promise<readonly TestEntry[]> {
    if (typeof route === 'number') return [entryOf(entries, route)]
    if (route === 'all') return entries
    // A balancer holds a request rather than send it to a host that is not ready.
    const ready = () => this.#balancer?.ready() ?? []
    await until(() => ready().length > 0, balancerHoldMs)
    return ready()
  }

  /** Ends what is left of the scenario and makes the system usable for the next one. */
  async close(): Promise<void> {
    await Promise.all(this.#traffic)
    this.#balancer?.close()
    this.#balancer = undefined
    await Promise.allSettled(this.pending)
    if (this.#system === undefined) return
    try {
      await healSystem(this.#system)
    } catch (err) {
      this.#system.isSpent = true
      throw err
    }
  }
}

/** The n-th entry host, counted from 1 as the steps do. */
export function entryOf(entries: readonly TestEntry[], n: number): TestEntry {
  const entry = entries[n - 1]
  if (entry === undefined) throw new RangeError(`there is no entry host ${n}`)
  return entry
}
