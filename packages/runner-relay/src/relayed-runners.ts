import type { CallResult, PollRequest, RunnerApi } from '@bulrushbridge/scheduler'
import type { FollowableTableService } from '@bulrushbridge/store'
import type { Logger } from '@bulrushbridge/telemetry'
import { chooseRelays } from './choose-relays.js'
import { openRelayConnection, type RelayConnection } from './relay-connection.js'
import { followRelays, type RelayDirectory } from './relay-directory.js'
import {
  orderResultSchema,
  pollResultSchema,
  relayFullReason,
  toOrderResult,
  toPollResult,
  type RelayedCall,
} from './relay-messages.js'

/**
 * Starts a second of the dispatcher's capacity for each runner, below which its calls are relayed.
 * With more, its own calls cost less than the longer way.
 */
const relayedStartsPerRunner = 10

/** Time for which a relay is not used after it failed, in milliseconds. */
const failedRelayPauseMs = 5_000

/**
 * Time within which a relay must return the result of an order, in milliseconds; the relay itself
 * gives a runner 600 ms.
 */
const orderResultMs = 900

/** Time beyond its wait within which a relay must return the result of a poll, in milliseconds. */
const pollResultMarginMs = 900

/** A runner to be called. */
export interface RunnerTarget {
  /** `ip:port` of the runner. */
  address: string
  runnerId: string
  /** Availability zone of the runner. */
  zone: string
}

/** Options of {@link createRelayedRunners}. */
export interface RelayedRunnersOptions {
  store: FollowableTableService
  /** Name of this host, whose own relay is not used. */
  host: string
  /** Starts a second that this host can place without relays. */
  startsPerSecond: number
  /** Creates the client with which this host calls a runner itself. */
  createRunner: (opts: { address: string; runnerId: string }) => RunnerApi
  log: Logger
}

/** Calls the runners of a fleet that is large for this host through hosts in the runners' zones. */
export interface RelayedRunners {
  createRunner(target: RunnerTarget): RunnerApi
  /** Number of hosts that have announced a relay, as every entry host does. */
  hostCount(): number
  close(): Promise<void>
}

/**
 * Starts to follow the relays that hosts announce. A call is made by this host itself while the
 * fleet is small for it and while no relay of the runner's zone is connected. If a relay fails, its
 * pending orders have an unknown outcome, like those whose answer is lost, and its polls are repeated
 * by this host.
 *
 * @example
 * const runners = createRelayedRunners({ store, host: 'front-1', startsPerSecond: 1_350, createRunner, log })
 * const runner = runners.createRunner({ address: '10.128.0.9:8080', runnerId: 'i-7f', zone: 'euw-a' })
 */
export function createRelayedRunners(opts: RelayedRunnersOptions): RelayedRunners {
  return new RelayPool(opts)
}

interface ConnectedRelay {
  instance: string
  connection: RelayConnection
}

class RelayPool implements RelayedRunners {
  readonly #opts: RelayedRunnersOptions
  readonly #directory: RelayDirectory
  /** Connections for new calls, by host. */
  readonly #connected = new Map<string, ConnectedRelay>()
  /** All connections, including those of withdrawn relays whose last results are awaited. */
  readonly #connections = new Set<RelayConnection>()
  /** Hosts whose relay failed, with the time until which it is not used. */
  readonly #failedUntil = new Map<string, number>()
  readonly #runners = new Set<RelayedRunner>()
  readonly #runnersByZone = new Map<string, number>()
  #hostsByZone = new Map<string, string[]>()
  /** When the chosen hosts must be chosen anew. */
  #chooseAgainAt = 0
  #isClosed = false

  constructor(opts: RelayedRunnersOptions) {
    this.#opts = opts
    this.#directory = followRelays({
      ...opts,
      onChange: () => {
        this.#chooseAgainAt = 0
        this.#retireOutdated()
      },
    })
  }

  createRunner(target: RunnerTarget): RunnerApi {
    const runner = new RelayedRunner(target, this.#opts.createRunner(target), this)
    this.#runners.add(runner)
    this.#countRunner(target.zone, 1)
    return runner
  }

  hostCount(): number {
    return this.#directory.relays.size
  }

  forget(runner: RelayedRunner): void {
    if (!this.#runners.delete(runner)) return
    this.#countRunner(runner.target.zone, -1)
    for (const connection of this.#connections) connection.abandon(runner.target.runnerId)
  }

  /** The connection for a call to a runner; undefined if this host is to make the call itself. */
  connectionFor({ target, slot }: RelayedRunner): RelayConnection | undefined {
    const startsPerRunner = this.#opts.startsPerSecond / this.#runners.size
    if (startsPerRunner > relayedStartsPerRunner || this.#isClosed) return undefined
    if (performance.now() > this.#chooseAgainAt) this.#chooseHosts()
    const hosts = this.#hostsByZone.get(target.zone) ?? []
    const host = hosts[slot % hosts.length]
    if (host === undefined) return undefined
    const { connection } = this.#connected.get(host) ?? this.#connect(host) ?? {}
    return connection?.isOpen === true ? connection : undefined
  }

  /** Number that spreads the runners of a zone over its relays. */
  nextSlot(zone: string): number {
    return this.#runnersByZone.get(zone) ?? 0
  }

  async close(): Promise<void> {
    this.#isClosed = true
    for (const connection of [...this.#connections]) connection.close('the term ends')
    await this.#directory.close()
  }

  #countRunner(zone: string, change: 1 | -1): void {
    this.#runnersByZone.set(zone, (this.#runnersByZone.get(zone) ?? 0) + change)
    this.#chooseAgainAt = 0
  }

  #chooseHosts(): void {
    const now = performance.now()
    for (const [host, until] of this.#failedUntil) if (now >= until) this.#failedUntil.delete(host)
    this.#hostsByZone = chooseRelays({
      relays: this.#directory.relays,
      runnersByZone: this.#runnersByZone,
      excluded: new Set([this.#opts.host, ...this.#failedUntil.keys()]),
    })
    this.#chooseAgainAt = Math.min(Number.POSITIVE_INFINITY, ...this.#failedUntil.values())
  }

  #connect(host: string): ConnectedRelay | undefined {
    const relay = this.#directory.relays.get(host)
    if (relay === undefined) return undefined
    const { address, instance } = relay
    const { log } = this.#opts
    const connected = {
      instance,
      connection: openRelayConnection({
        host,
        address,
        instance,
        onOpen: () => {
          log.info('relay connected', { host, address })
        },
        onClosed: (reason, pendingCalls) => {
          this.#connections.delete(connected.connection)
          if (this.#isClosed) return
          if (this.#connected.get(host) !== connected) return
          log.warn('relay lost', { host, address, reason, pendingCalls })
          this.#connected.delete(host)
          this.#failedUntil.set(host, performance.now() + failedRelayPauseMs)
          this.#chooseAgainAt = 0
        },
      }),
    }
    this.#connections.add(connected.connection)
    this.#connected.set(host, connected)
    return connected
  }

  /** Ends the use of relays whose host has withdrawn them or has restarted. */
  #retireOutdated(): void {
    for (const [host, { instance, connection }] of [...this.#connected]) {
      if (this.#directory.relays.get(host)?.instance === instance) continue
      this.#connected.delete(host)
      this.#opts.log.info('relay withdrawn', { host })
      // The results of its pending calls still arrive; then it is closed by its host.
      setTimeout(() => {
        connection.close('withdrawn')
      }, failedRelayPauseMs).unref()
    }
    for (const host of [...this.#failedUntil.keys()])
      if (!this.#directory.relays.has(host)) this.#failedUntil.delete(host)
  }
}

/** One runner of the pool, with the client for calls that are not relayed. */
class RelayedRunner implements RunnerApi {
  readonly target: RunnerTarget
  readonly slot: number
  readonly #direct: RunnerApi
  readonly #pool: RelayPool
  #isClosed = false

  constructor(target: RunnerTarget, direct: RunnerApi, pool: RelayPool) {
    this.target = target
    this.slot = pool.nextSlot(target.zone)
    this.#direct = direct
    this.#pool = pool
  }

  start(order: Parameters<RunnerApi['start']>[0]): ReturnType<RunnerApi['start']> {
    const { ticket, ...rest } = order
    const relayed = { ...rest, ...(ticket === undefined ? {} : { ticket }) }
    return this.#order({ kind: 'start', order: relayed }, () => this.#direct.start(order))
  }

  stop(order: Parameters<RunnerApi['stop']>[0]): ReturnType<RunnerApi['stop']> {
    return this.#order({ kind: 'stop', order }, () => this.#direct.stop(order))
  }

  pace(order: Parameters<RunnerApi['pace']>[0]): ReturnType<RunnerApi['pace']> {
    return this.#order({ kind: 'pace', order }, () => this.#direct.pace(order))
  }

  async poll(request: PollRequest): ReturnType<RunnerApi['poll']> {
    const connection = this.#pool.connectionFor(this)
    if (connection === undefined) return this.#direct.poll(request)
    const { leaseDeadline, ...rest } = request
    const order = { ...rest, ...(leaseDeadline === undefined ? {} : { leaseDeadline }) }
    const { address, runnerId } = this.target
    const result = await connection.call(
      { kind: 'poll', address, runnerId, order },
      pollResultSchema,
      performance.now() + request.waitMs + pollResultMarginMs,
    )
    if (result !== undefined && isRelayFull(result)) return this.#direct.poll(request)
    if (result !== undefined) return toPollResult(result)
    // A second poll later must not acknowledge ends, as the runner may have restarted since.
    if (this.#isClosed || request.acknowledged > 0) return unknownOutcome(connection.host)
    // A poll may be made twice, and this one may have been made without an answer.
    return this.#direct.poll({ ...request, waitMs: 0 })
  }

  async close(): Promise<void> {
    this.#isClosed = true
    this.#pool.forget(this)
    await this.#direct.close()
  }

  async #order(
    call: OrderCall,
    callDirectly: () => ReturnType<RunnerApi['start']>,
  ): ReturnType<RunnerApi['start']> {
    const connection = this.#pool.connectionFor(this)
    if (connection === undefined) return callDirectly()
    const { address, runnerId } = this.target
    const result = await connection.call(
      { ...call, address, runnerId },
      orderResultSchema,
      performance.now() + orderResultMs,
    )
    if (result !== undefined && isRelayFull(result)) return callDirectly()
    return result === undefined ? unknownOutcome(connection.host) : toOrderResult(result)
  }
}

type KindAndOrder<C> = C extends RelayedCall ? Pick<C, 'kind' | 'order'> : never
type OrderCall = KindAndOrder<Extract<RelayedCall, { kind: 'start' | 'stop' | 'pace' }>>

/** Whether a relay has not made a call because it is at one of its bounds. */
function isRelayFull(result: { outcome: string; reason?: string }): boolean {
  return result.outcome === 'not-done' && result.reason === relayFullReason
}

function unknownOutcome(host: string): CallResult<never> {
  return { outcome: 'unknown', reason: `the relay at ${host} did not return a result` }
}
