import { seededRandom } from '@bulrushbridge/standins'
import { StoreError, type Row, type TableService, type Transaction } from '@bulrushbridge/store'
import {
  createPermitReclaimer,
  createTeamPermits,
  ledgerTable,
  type LedgerRow,
  type MemberRef,
  type PeerPermits,
  type Permit,
  type TeamPermits,
} from '../src/index.js'

export const team = 'lumen'

/** Step of the simulated clock in milliseconds. */
const stepMs = 25

/** A host that cannot confirm its configuration is removed after this; a confirmation lasts 2 s. */
const removalMs = 4_000

export interface Host {
  id: string
  incarnation: string
  permits: TeamPermits
  /** Version of the configuration that the host uses. */
  version: number
  confirmedUntil: number
  frozenUntil: number
  cutUntil: number
  isDead: boolean
  lastSeen: number
  starts: number
}

interface WorkItem {
  host: Host
  permit: Permit
  endAt: number
  version: number
  isEnded: boolean
}

export interface FleetOptions {
  seed: number
  hosts: number
  limit: number
  /** Probability that a message is lost or repeated, or that a store answer is lost. */
  loss: number
  /** False keeps configurations confirmed, so that only a loan's deadline stops a borrower. */
  confirmation?: boolean
}

/** Simulates entry hosts, runners, the store and messages on one clock. */
export class Fleet {
  now = 0
  outageUntil = 0
  loss: number
  demand = 0.3
  workMs = 400
  /** Hosts with constant demand while the others have none; undefined for random demand at all. */
  saturatedHosts: ReadonlySet<string> | undefined
  readonly hosts: Host[] = []
  readonly limits: number[] = []
  readonly rng: () => number
  peakRunning = 0
  workItems: WorkItem[] = []
  members: MemberRef[] = []
  transfers = 0
  #timers: { at: number; run: () => void }[] = []
  readonly #rows = new Map<string, Row>()
  readonly #history: { limit: number; members: MemberRef[] }[] = []
  readonly #reclaimer
  #incarnations = 0
  readonly #confirmation: boolean

  constructor(opts: FleetOptions) {
    this.rng = seededRandom(opts.seed)
    this.loss = opts.loss
    this.#confirmation = opts.confirmation ?? true
    this.#commitConfiguration(opts.limit)
    this.#reclaimer = createPermitReclaimer({
      table: this.#table(undefined),
      dutyChecks: () => [],
      isSettled: (member, incarnation) => this.#isSettled(member, incarnation),
    })
    for (let i = 0; i < opts.hosts; i++) this.startHost(`h${i}`)
  }

  get version(): number {
    return this.#history.length - 1
  }

  setLimit(limit: number): void {
    this.#commitConfiguration(limit)
  }

  startHost(id: string): void {
    const incarnation = `i${this.#incarnations++}`
    const host = { id, incarnation, version: -1, starts: 0, isDead: false } as Host
    Object.assign(host, { confirmedUntil: 0, frozenUntil: 0, cutUntil: 0, lastSeen: this.now })
    host.permits = createTeamPermits({
      member: id,
      incarnation,
      table: this.#table(host),
      peers: this.#peers(host),
      isSettled: (member, incarnation) => this.#isSettled(member, incarnation),
      clock: { now: () => this.now },
      rng: this.rng,
    })
    this.hosts.push(host)
    this.members = [...this.members.filter(m => m.id !== id), { id, incarnation }]
    this.#commitConfiguration(this.limits.at(-1) ?? 0)
  }

  removeMember(host: Host): void {
    this.members = this.members.filter(m => m.incarnation !== host.incarnation)
    this.#commitConfiguration(this.limits.at(-1) ?? 0)
  }

  isMember(host: Host): boolean {
    return this.members.some(m => m.incarnation === host.incarnation)
  }

  liveHosts(): Host[] {
    return this.hosts.filter(host => !host.isDead)
  }

  ledger(): LedgerRow | undefined {
    return this.#rows.get(`${ledgerTable}|${team}`)?.value as LedgerRow | undefined
  }

  /** Returns the highest limit that a confirmed host or running work still uses. */
  bound(): number {
    const confirmedHosts = this.liveHosts().filter(host => this.now < host.confirmedUntil)
    const running = this.workItems.filter(work => !work.isEnded)
    const versions = [...confirmedHosts, ...running].map(({ version }) => version)
    return Math.max(...this.limits.slice(Math.min(this.version, ...versions)))
  }

  runningCount(): number {
    return this.workItems.filter(work => !work.isEnded).length
  }

  async run(ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end;) await this.#step()
  }

  async #step(): Promise<void> {
    this.now += stepMs
    const due = this.#timers.filter(timer => timer.at <= this.now).sort((a, b) => a.at - b.at)
    this.#timers = this.#timers.filter(timer => timer.at > this.now)
    for (const timer of due) {
      timer.run()
      await new Promise(setImmediate)
    }
    this.#endWorkItems()
    for (const host of this.liveHosts()) this.#stepHost(host)
    if (this.#confirmation && this.now % 1_000 === 0) {
      this.#reclaimer.configure({ version: this.version, members: this.members })
      this.#reclaimer.run().catch(() => undefined)
    }
    await new Promise(setImmediate)
    const running = this.runningCount()
    this.peakRunning = Math.max(this.peakRunning, running)
    if (running > this.bound()) throw new Error(`${running} running, limit ${this.bound()}`)
  }

  #stepHost(host: Host): void {
    const { now, rng } = this
    const isCut = now < host.cutUntil
    const isRemoved = !this.isMember(host)
    if (now >= host.frozenUntil && !isCut) host.lastSeen = now
    if (!isRemoved && now - host.lastSeen > removalMs) this.removeMember(host)
    if (now < host.frozenUntil) return
    if (host.permits.isRemoved() || (isRemoved && !isCut && this.#confirmation)) {
      host.isDead = true
      this.startHost(host.id)
      return
    }
    if (!isCut && rng() < stepMs / 500) {
      host.version = this.version
      host.permits.configure(this.#configuration())
      host.confirmedUntil = this.#confirmation ? now + 2_000 : Infinity
      host.permits.setConfirmedUntil(host.confirmedUntil)
      for (const peer of this.liveHosts())
        host.permits.recordPeerSpare(peer.id, peer.permits.spare())
    }
    host.permits.tick()
    const hasDemand = this.saturatedHosts ? this.saturatedHosts.has(host.id) : rng() < this.demand
    if (hasDemand) while (this.#start(host)) if (rng() < 0.5 && !this.saturatedHosts) break
  }

  #start(host: Host): boolean {
    const permit = host.permits.tryAcquire(team)
    if (!permit) return false
    host.starts++
    const endAt = this.now + this.workMs * (0.5 + this.rng() * (this.rng() < 0.1 ? 10 : 1))
    this.workItems.push({ host, permit, endAt, version: host.version, isEnded: false })
    return true
  }

  #endWorkItems(): void {
    this.workItems = this.workItems.filter(work => {
      work.isEnded ||= work.endAt <= this.now
      if (!work.isEnded) return true
      if (work.host.isDead) return false
      if (this.now < work.host.frozenUntil) return true
      work.permit.release()
      return false
    })
  }

  #configuration() {
    const limits = new Map([[team, this.limits[this.version] ?? 0]])
    return { version: this.version, limits, members: this.members }
  }

  #commitConfiguration(limit: number): void {
    this.limits.push(limit)
    this.#history.push({ limit, members: this.members })
  }

  async #isSettled(member: string, incarnation: string): Promise<boolean> {
    await this.#delay(20)
    return !this.workItems.some(({ host, isEnded }) => {
      return !isEnded && host.id === member && host.incarnation === incarnation
    })
  }

  #delay(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.#timers.push({ at: this.now + ms, run: resolve })
    })
  }

  /** Waits until the host's process is not frozen; never resolves when it is dead. */
  async #waitUntilRunning(host: Host | undefined): Promise<void> {
    while (host && this.now < host.frozenUntil) await this.#delay(host.frozenUntil - this.now)
    if (host?.isDead) await new Promise(() => undefined)
  }

  #latency(): number {
    return this.rng() < this.loss ? 100 + this.rng() * 3_000 : this.rng() * 20
  }

  #peers(from: Host): PeerPermits {
    const call = async <T>(peer: string, handle: (to: Host) => T): Promise<T> => {
      if (this.rng() < this.loss) await new Promise(() => undefined)
      const deliver = async (): Promise<T> => {
        await this.#delay(this.#latency())
        const to = this.liveHosts().find(host => host.id === peer)
        if (!to || this.now < to.cutUntil || this.now < from.cutUntil)
          throw new Error('unreachable')
        await this.#waitUntilRunning(to)
        const answer = handle(to)
        await this.#delay(this.#latency())
        if (this.rng() < this.loss) await new Promise(() => undefined)
        await this.#waitUntilRunning(from)
        return answer
      }
      if (this.rng() < this.loss) deliver().catch(() => undefined)
      return deliver()
    }
    return {
      borrow: (peer, req) => call(peer, to => to.permits.handlers.onBorrow(req)),
      returnLoan: (peer, req) => {
        this.transfers++
        return call(peer, to => {
          to.permits.handlers.onReturn(req)
        })
      },
    }
  }

  #table(host: Host | undefined): TableService {
    const access = async <T>(op: () => T): Promise<T> => {
      await this.#delay(this.#latency())
      if (this.now < this.outageUntil) throw new StoreError('the table service does not answer')
      const answer = structuredClone(op())
      const isLost = this.rng() < this.loss
      await this.#delay(this.#latency())
      await this.#waitUntilRunning(host)
      if (isLost) throw new StoreError('the result is unknown', { isResultKnown: false })
      return answer
    }
    const scan = (table: string) =>
      [...this.#rows].filter(([key]) => key.startsWith(`${table}|`)).map(([, row]) => row)
    return {
      read: <T>(table: string, key: string) =>
        access(() => this.#rows.get(`${table}|${key}`) as Row<T> | undefined),
      scan: <T>(table: string) => access(() => scan(table) as Row<T>[]),
      commit: tx => {
        const apply = () => this.#apply(structuredClone(tx))
        // A transaction whose result is unknown may also take effect later.
        if (this.rng() < this.loss) {
          void access(apply).catch(() => undefined)
          return this.#delay(10).then(() => {
            throw new StoreError('the result is unknown', { isResultKnown: false })
          })
        }
        return access(apply)
      },
      close: () => Promise.resolve(),
    }
  }

  #apply(tx: Transaction) {
    const versionOf = (id: string): number => this.#rows.get(id)?.version ?? 0
    const failed = tx.checks.filter(c => versionOf(`${c.table}|${c.key}`) !== c.version)
    if (failed.length > 0) return { committed: false as const, failed }
    for (const { table, key, value } of tx.writes) {
      const id = `${table}|${key}`
      if (value === null) this.#rows.delete(id)
      else this.#rows.set(id, { key, version: versionOf(id) + 1, value })
    }
    const row = this.ledger()
    const counts = Object.values(row?.holders ?? {}).reduce((sum, { count }) => sum + count, 0)
    if (row && counts > row.limit) throw new Error(`ledger counts ${counts}, limit ${row.limit}`)
    return { committed: true as const }
  }
}
