import { seededRandom } from '@bulrushbridge/standins'
import { createBalancer, type Balancer } from './balancer.js'
import { closeSystem, resetSystem, startSystem } from './scenario-system.js'
import type { ScenarioSystem, SystemSpec } from './scenario-system.js'
import { until, type TestEntry } from './testbed.js'
import { sendTraffic, type RecordedCall, type WorkKind } from './traffic.js'

/**
 * How callers choose an entry host: any of them at random, one that the balancer finds ready, or
 * the n-th, counted from 1.
 */
export type Route = 'all' | 'balancer' | number

/** Requests that callers of a scenario send; see {@link ScenarioWorld.startTraffic}. */
export interface TrafficSpec {
  team: string
  kind: WorkKind
  /** Number of requests. */
  count: number
  /** Time over which the requests are sent, in milliseconds. */
  durationMs: number
  /** Work time of each request, in milliseconds. */
  workMs: number
  route: Route
  /** Key that the requests present; by default the current key of the team. */
  key?: string
}

/** Deadline of the callers' requests, in milliseconds. */
const callerDeadlineMs = 5_000

/** Bytes that runners add to each response, so that a truncated response ends within its body. */
const fillerBytes = 2_000

/** Longest time for which a request waits for a ready entry host, in milliseconds. */
const readyEntryTimeoutMs = 5_000

/** Longest wait for the background tasks of a scenario, such as timed faults, in milliseconds. */
const backgroundTimeoutMs = 15_000

/** State of one scenario; its system may already have served earlier scenarios of the feature. */
export class ScenarioWorld {
  readonly spec: SystemSpec = {
    seed: 1,
    zones: 3,
    entryHosts: 3,
    runners: 4,
    slots: 8,
    limits: {},
    controlPrograms: 0,
    workers: 0,
    balancerWaitMs: 1_000,
  }
  /**
   * Times of the events to which checks refer, on the clock of `performance.now()`: the acceptance
   * of an operator's order, a cut, its end, or the start of a runner's shutdown.
   */
  readonly eventTimes = new Map<string, number>()
  /** Time at which each order was sent; it may take effect from then on. */
  readonly orderSentTimes = new Map<string, number>()
  /** Upper limit that the accepted promotion set. */
  promotedLimit: number | undefined
  /** Exit statuses of the entry hosts that received SIGTERM. */
  readonly exitStatuses: Promise<number>[] = []
  /** Tasks that run beside the steps, such as the end of a timed fault. */
  readonly backgroundTasks: Promise<unknown>[] = []
  #system: ScenarioSystem | undefined
  #traffic: Promise<RecordedCall[]>[] = []
  #rng: () => number = () => 0
  #balancer: Balancer | undefined

  constructor(private readonly feature: { system: ScenarioSystem | undefined }) {}

  /** Returns the system that the `Given` steps describe; the first call starts or reuses it. */
  async system(): Promise<ScenarioSystem> {
    if (this.#system !== undefined) return this.#system
    const { feature } = this
    const previousSystem = feature.system
    if (
      previousSystem !== undefined &&
      (previousSystem.isUnrecoverable || previousSystem.spec !== JSON.stringify(this.spec))
    ) {
      feature.system = undefined
      await closeSystem(previousSystem)
    }
    feature.system ??= await startSystem(this.spec)
    this.#system = feature.system
    this.#rng = seededRandom(this.spec.seed)
    return this.#system
  }

  /** Starts to send requests in the background. */
  async startTraffic(spec: TrafficSpec): Promise<void> {
    const system = await this.system()
    if (spec.route === 'balancer') this.#balancer ??= createBalancer(() => system.testbed.entries)
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
        send: req => system.testbed.caller.send(req),
      }),
    )
  }

  /**
   * Returns the recorded calls when all requests have ended and all timed faults are over.
   *
   * @throws Error when the faults do not end in time.
   */
  async calls(): Promise<RecordedCall[]> {
    const calls = (await Promise.all(this.#traffic)).flat()
    await this.#waitForBackgroundTasks()
    return calls
  }

  async #waitForBackgroundTasks(): Promise<void> {
    let timer: NodeJS.Timeout | undefined
    const limit = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(
          new Error(
            `the background tasks of the scenario did not end within ${backgroundTimeoutMs} ms`,
          ),
        )
      }, backgroundTimeoutMs)
    })
    await Promise.race([Promise.all(this.backgroundTasks), limit]).finally(() => {
      clearTimeout(timer)
    })
  }

  async #chooseEntries(
    { testbed }: ScenarioSystem,
    route: Route,
    copies: number,
  ): Promise<string[]> {
    const hosts = await this.#findRoutableEntries(testbed.entries, route)
    const first = Math.floor(this.#rng() * hosts.length)
    return Array.from(
      { length: copies },
      (_, n) => hosts[(first + n) % hosts.length]?.callers ?? '',
    )
  }

  async #findRoutableEntries(
    entries: readonly TestEntry[],
    route: Route,
  ): Promise<readonly TestEntry[]> {
    if (typeof route === 'number') return [findEntry(entries, route)]
    if (route === 'all') return entries
    // A balancer delays a request until a host is ready to receive it.
    const findReady = () => this.#balancer?.findReadyEntries() ?? []
    await until(() => findReady().length > 0, readyEntryTimeoutMs)
    return findReady()
  }

  /** Waits for the rest of the scenario and resets the system for the next scenario. */
  async close(): Promise<void> {
    await Promise.all(this.#traffic)
    this.#balancer?.close()
    this.#balancer = undefined
    await Promise.allSettled(this.backgroundTasks)
    if (this.#system === undefined) return
    try {
      await resetSystem(this.#system)
    } catch (err) {
      this.#system.isUnrecoverable = true
      throw err
    }
  }
}

/**
 * Returns the n-th entry host, counted from 1 as in the steps.
 *
 * @throws RangeError when there is none.
 */
export function findEntry(entries: readonly TestEntry[], n: number): TestEntry {
  const entry = entries[n - 1]
  if (entry === undefined) throw new RangeError(`the testbed has no entry host ${n}`)
  return entry
}
