import {
  StoreError,
  type CallOptions,
  type Check,
  type ObjectStore,
  type ScanOptions,
  type TableService,
} from '@bulrushbridge/store'
import { emptyConfiguration, type Member } from '@bulrushbridge/contract'
import { View } from '../src/config-view.js'
import type { LoadState, PeerConfigCalls } from '../src/index.js'

/** A callback due at a virtual time; it is delayed while its owner, a host, is paused. */
interface ScheduledEvent {
  at: number
  order: number
  owner: string
  run: () => void
}

/** Entry hosts and a store on virtual time, with faults that a test switches on and off. */
export class VirtualFleet {
  now = 0
  isStoreDown = false
  lossRate = 0
  maxLatencyMs = 5
  readonly rows = new Map<string, { version: number; value: unknown }>()
  readonly blobs = new Map<string, string>()
  readonly cutLinks = new Set<string>()
  /** Hosts that cannot reach the store. */
  readonly hostsWithoutStore = new Set<string>()
  /** Latency of the responses that a host receives from its peers. */
  readonly responseLatencyMs = new Map<string, number>()
  /** Load that a host reports; idle unless set. */
  readonly loads = new Map<string, LoadState>()
  /** Every exchange that a host began. */
  readonly exchanges: { at: number; from: string; to: string }[] = []
  /** Time until which a paused host handles no events. */
  readonly frozenUntil = new Map<string, number>()
  readonly views = new Map<string, View>()
  /** Committed configuration at each version as JSON, compared over all processes that ever ran. */
  readonly configurationsByVersion = new Map<number, string>()
  #events: ScheduledEvent[] = []
  #nextEventOrder = 0
  #startCount = 0
  #randomState: number

  constructor(seed: number) {
    this.#randomState = seed >>> 0
  }

  random(): number {
    this.#randomState = (Math.imul(this.#randomState, 1664525) + 1013904223) >>> 0
    return this.#randomState / 2 ** 32
  }

  /** Runs a callback after `ms`; returns a function that cancels it. */
  schedule(ms: number, owner: string, run: () => void): () => void {
    const event = { at: this.now + ms, order: this.#nextEventOrder++, owner, run }
    this.#events.push(event)
    return () => {
      this.#events = this.#events.filter(e => e !== event)
    }
  }

  /** Runs until the virtual time `end`; `check` runs every 50 ms. */
  async runUntil(end: number, check: () => void = () => undefined): Promise<void> {
    for (let next = this.now; next <= end; next += 50) {
      await this.#runEvents(next)
      check()
    }
  }

  async #runEvents(end: number): Promise<void> {
    for (;;) {
      await new Promise(resolve => setImmediate(resolve))
      const dueEvents = this.#events.filter(e => e.at <= end)
      const first = dueEvents.sort((a, b) => a.at - b.at || a.order - b.order)[0]
      if (!first) break
      this.now = Math.max(this.now, first.at)
      this.#events = this.#events.filter(e => e !== first)
      const resumesAt = this.frozenUntil.get(first.owner) ?? 0
      if (resumesAt > this.now) this.#events.push({ ...first, at: resumesAt })
      else first.run()
    }
    this.now = end
  }

  #canReachStore(owner: string): boolean {
    return !this.isStoreDown && !this.hostsWithoutStore.has(owner)
  }

  #latency(): number {
    return 1 + this.random() * this.maxLatencyMs
  }

  /** A call that takes effect after one latency and is answered after a second one, or never. */
  #call<T>(owner: string, deadline: number, isUp: () => boolean, effect: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
      const rejectAtDeadline = (isResultKnown: boolean) => {
        const error = new StoreError('no answer', { isResultKnown })
        this.schedule(Math.max(0, deadline - this.now), owner, () => {
          reject(error)
        })
      }
      this.schedule(this.#latency(), 'network', () => {
        if (!isUp()) {
          rejectAtDeadline(true)
          return
        }
        const value = effect()
        const latency = this.#latency()
        if (this.random() < this.lossRate || this.now + latency > deadline) rejectAtDeadline(false)
        else
          this.schedule(latency, owner, () => {
            resolve(value)
          })
      })
    })
  }

  table(owner: string): TableService {
    const call = <T>(opts: { deadline?: number } | undefined, effect: () => T) =>
      this.#call(owner, opts?.deadline ?? this.now + 2000, () => this.#canReachStore(owner), effect)
    return {
      read: (table: string, key: string, opts?: CallOptions) =>
        call(opts, () => {
          const row = this.rows.get(`${table}/${key}`)
          return row && { key, version: row.version, value: row.value as never }
        }),
      scan: (table: string, opts: ScanOptions = {}) =>
        call(opts, () =>
          [...this.rows]
            .filter(([key]) => key.startsWith(`${table}/`))
            .map(([key, row]) => ({
              key: key.slice(table.length + 1),
              ...row,
              value: row.value as never,
            }))
            .filter(({ key }) => key >= (opts.from ?? '') && key < (opts.to ?? '~'))
            .sort((a, b) => (a.key < b.key ? -1 : 1))
            .slice(0, opts.limit),
        ),
      commit: (tx, opts) =>
        call(opts, () => {
          const versionOf = (c: Check) => this.rows.get(`${c.table}/${c.key}`)?.version ?? 0
          const failed = tx.checks.filter(c => versionOf(c) !== c.version)
          if (failed.length > 0) return { committed: false as const, failed }
          for (const { table, key, value } of tx.writes) {
            const id = `${table}/${key}`
            if (table === 'changes' && this.rows.has(id)) throw new Error(`second change ${key}`)
            this.rows.set(id, { version: (this.rows.get(id)?.version ?? 0) + 1, value })
          }
          return { committed: true as const }
        }),
      close: () => Promise.resolve(),
    }
  }

  objects(owner: string): ObjectStore {
    const isUp = () => this.#canReachStore(owner)
    return {
      put: (name, body, opts) =>
        this.#call(owner, opts?.deadline ?? this.now + 2000, isUp, () => {
          this.blobs.set(name, body)
        }),
      get: (name, opts) =>
        this.#call(owner, opts?.deadline ?? this.now + 2000, isUp, () => this.blobs.get(name)),
      close: () => Promise.resolve(),
    }
  }

  #peers(self: string, ids: readonly string[]): PeerConfigCalls {
    const call = <T>(to: string, deadline: number | undefined, effect: (view: View) => T) =>
      new Promise<T>((resolve, reject) => {
        const end = deadline ?? this.now + 2000
        const rejectAtDeadline = () => {
          this.schedule(Math.max(0, end - this.now), self, () => {
            reject(new Error('no answer'))
          })
        }
        const isCut = () => this.cutLinks.has([self, to].sort().join('-'))
        this.schedule(this.#latency(), to, () => {
          const view = this.views.get(to)
          if (isCut() || !view) {
            rejectAtDeadline()
            return
          }
          const value = structuredClone(effect(view))
          // A response that the peer has sent arrives even if the link is cut afterwards.
          this.schedule(this.responseLatencyMs.get(self) ?? this.#latency(), self, () => {
            if (this.now > end) rejectAtDeadline()
            else resolve(value)
          })
        })
      })
    return {
      exchange: (peer, report, opts) => {
        this.exchanges.push({ at: this.now, from: self, to: peer.id })
        return call(peer.id, opts.deadline, v => v.handleExchange(report))
      },
      fetchChanges: (peer, after, snapshot, opts) =>
        call(peer.id, opts.deadline, v => v.handleFetchChanges(after, snapshot)),
      announce: (peer, message, opts) =>
        call(peer.id, opts.deadline, v => v.handleAnnounce(message)),
      loadState: () => this.loads.get(self) ?? { isBusy: false, fingerprint: '' },
      seeds: () => ids.map(id => ({ id, peerAddress: id })),
    }
  }

  /** Starts or restarts an entry host; a restarted one has lost its state in memory. */
  start(id: string, ids: readonly string[]): View {
    this.stop(id)
    const incarnation = String(++this.#startCount)
    const member: Member = { id, zone: 'a', peerAddress: '127.0.0.1:1', incarnation }
    const owner = `${id}#${incarnation}`
    const view = new View({
      member,
      table: this.table(id),
      objects: this.objects(id),
      peers: this.#peers(id, ids),
      clock: { now: () => this.now },
      timers: { set: (run, ms) => this.schedule(ms, id, run) },
      wallClock: () => owner,
    })
    this.views.set(id, view)
    view.start()
    return view
  }

  stop(id: string): void {
    this.views.get(id)?.close()
    this.views.delete(id)
  }

  /** Starts all hosts, then registers them one after the other. */
  async registerAll(ids: readonly string[]): Promise<void> {
    const views = ids.map(id => this.start(id, ids))
    await this.runUntil(this.now + 4000)
    for (const view of views) {
      await this.runUntilSettled(view.join())
    }
  }

  /** Advances virtual time until a promise settles, for at most 60 s. */
  async runUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false
    const markSettled = () => {
      isSettled = true
    }
    promise.then(markSettled, markSettled)
    const end = this.now + 60_000
    const isDone = () => isSettled || this.now >= end
    while (!isDone()) await this.runUntil(this.now + 50)
    return promise
  }

  /** Describes the first version whose configuration differs between two views. */
  findDisagreement(): string | undefined {
    for (const view of this.views.values()) {
      const cfg = view.committed()
      if (cfg.version === 0) continue
      const text = JSON.stringify(cfg, Object.keys(emptyConfiguration()).sort())
      const known = this.configurationsByVersion.get(cfg.version)
      if (known !== undefined && known !== text) return `views differ at version ${cfg.version}`
      this.configurationsByVersion.set(cfg.version, text)
    }
    return undefined
  }
}
