import { isDeepStrictEqual } from 'node:util'
import {
  applyChangeRow,
  emptyConfiguration,
  type Change,
  type ChangeRow,
  type Configuration,
  type Member,
} from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { ObjectStore, TableService } from '@bulrushbridge/store'
import { Acknowledgements } from './acknowledgements.js'
import { ChangeHistory, fromChangeMessages, toChangeMessage } from './change-history.js'
import { Confirmation } from './confirmation.js'
import { parseSnapshot } from './head.js'
import { voteOf, votesOf } from './membership.js'
import type {
  Announcement,
  ConfigReport,
  FetchedChanges,
  PeerAddress,
  PeerConfig,
} from './peer-config.js'
import { awaitVersion, proposeChange, type ProposeOptions } from './propose.js'
import { restrict, type RestrictOptions } from './restrict.js'
import { PeerExchanges } from './peer-exchanges.js'
import { RestrictionCommitter } from './restriction-committer.js'
import { RestrictionSet, type PendingRestriction, type RestrictiveChange } from './restrictions.js'
import { StoreReader } from './store-reader.js'
import { acknowledgeMs, callMs, pollIntervalMs, systemTimers, type Timers } from './timing.js'
import type { ChangeResult, ConfigView, ConfigViewOptions } from './types.js'

/**
 * Starts an entry host's view. It polls the store and exchanges with peers until closed.
 *
 * @example
 * const view = createConfigView({ member, table, objects, peers, clock: systemClock })
 * if (!view.isConfirmed()) throw new RequestError('view-expired')
 */
export function createConfigView(opts: ConfigViewOptions): ConfigView {
  const view = new View(opts)
  view.start()
  return view
}

/** Implementation of {@link ConfigView}; the operations in other files work on it. */
export class View implements ConfigView {
  readonly member: Member
  readonly table: TableService
  readonly objects: ObjectStore
  readonly peers: PeerConfig
  readonly clock: Clock
  readonly timers: Timers
  readonly wallClock: () => string
  readonly reader: StoreReader
  readonly restrictions = new RestrictionSet()
  readonly acknowledgements = new Acknowledgements()
  readonly #committer: RestrictionCommitter
  readonly #exchanges: PeerExchanges
  readonly #confirmation = new Confirmation()
  readonly #history = new ChangeHistory()
  readonly #listeners = new Set<(cfg: Configuration) => void>()
  readonly #onError: (err: unknown) => void
  #committed = emptyConfiguration()
  #current = this.#committed
  #stopTimer: (() => void) | undefined
  #closed = false

  constructor(opts: ConfigViewOptions) {
    this.member = opts.member
    this.table = opts.table
    this.objects = opts.objects
    this.peers = opts.peers
    this.clock = opts.clock
    this.timers = opts.timers ?? systemTimers
    this.wallClock = opts.wallClock ?? (() => new Date().toISOString())
    this.#onError = opts.onError ?? (() => undefined)
    this.reader = new StoreReader(opts.table, opts.objects)
    this.#committer = new RestrictionCommitter(this)
    this.#exchanges = new PeerExchanges(this, this.#confirmation)
  }

  start(): void {
    if (this.#closed) return
    this.#stopTimer = this.timers.set(() => {
      this.start()
    }, pollIntervalMs)
    // Neither call is awaited: a slow one must not delay the next poll.
    this.#background(this.pollStore())
    this.#background(this.#exchanges.round())
  }

  close(): void {
    this.#closed = true
    this.#stopTimer?.()
  }

  get closed(): boolean {
    return this.#closed
  }

  current(): Configuration {
    return this.#current
  }

  committed(): Configuration {
    return this.#committed
  }

  confirmedUntil(): number {
    return this.#confirmation.until
  }

  isConfirmed(): boolean {
    return this.clock.now() < this.#confirmation.until
  }

  provisional(): PendingRestriction[] {
    return this.restrictions.pending
  }

  lastChange(): ChangeRow | undefined {
    return this.#history.last()
  }

  memberVersions(): Record<string, number> {
    const members = Object.values(this.#committed.members)
    return Object.fromEntries(members.map(m => [m.id, this.acknowledgements.versionOf(voteOf(m))]))
  }

  onChange(cb: (cfg: Configuration) => void): () => void {
    this.#listeners.add(cb)
    return () => this.#listeners.delete(cb)
  }

  propose(change: Change, opts: ProposeOptions): Promise<ChangeResult> {
    return proposeChange(this, change, opts)
  }

  restrict(change: RestrictiveChange, opts: RestrictOptions): Promise<ChangeResult> {
    return restrict(this, change, opts)
  }

  reannounce(): Promise<ChangeResult> {
    const deadline = this.clock.now() + acknowledgeMs
    return awaitVersion(this, this.#committed.version, [], deadline)
  }

  join(): Promise<ChangeResult> {
    return this.propose({ kind: 'member-join', member: this.member }, { by: this.member.id })
  }

  leave(): Promise<ChangeResult> {
    return this.removeMember(this.member.id, this.member.incarnation)
  }

  removeMember(id: string, incarnation: string): Promise<ChangeResult> {
    return this.propose({ kind: 'member-leave', id, incarnation }, { by: this.member.id })
  }

  /** Reads the head, catches up with it and confirms the view. */
  async pollStore(): Promise<void> {
    const read = this.#confirmation.readStarted(this.clock.now())
    const deadline = read.startedAt + callMs
    const headRow = await this.reader.head({ deadline })
    const { head } = headRow
    this.#confirmation.readAnswered(read, this.clock.now())
    this.#background(this.#committer.run(headRow))
    await this.catchUp(head.version, deadline)
    if (this.#committed.version < head.version) return
    const isRegistered = votesOf(this.#committed).includes(voteOf(this.member))
    this.#confirmation.readCaughtUp(read, isRegistered)
  }

  /** One exchange; merges the peer's restrictions. */
  exchangeWith(peer: PeerAddress, deadline: number): Promise<ConfigReport> {
    return this.#exchanges.exchangeWith(peer, deadline)
  }

  /** Fetches missing changes from a peer. */
  async fetchFrom(peer: PeerAddress, deadline: number): Promise<void> {
    const { version } = this.#committed
    const fetched = await this.peers.fetchChanges(peer, version, version === 0, { deadline })
    const snapshot = parseSnapshot(fetched.snapshot)
    if (snapshot) this.adopt(snapshot)
    this.apply(fromChangeMessages(fetched.changes))
  }

  /** Brings the view to `version` from the store; peers supply it in {@link PeerExchanges.round}. */
  async catchUp(version: number, deadline: number): Promise<void> {
    if (this.#committed.version >= version) return
    if (this.#committed.version === 0) this.adopt(await this.reader.snapshot(version, { deadline }))
    this.apply(await this.reader.changes(this.#committed.version, version, { deadline }))
  }

  /** Applies the rows that follow the held version; others are left out. */
  apply(rows: readonly ChangeRow[]): void {
    for (const row of rows) {
      if (row.version !== this.#committed.version + 1) continue
      this.#committed = applyChangeRow(this.#committed, row)
      this.#history.push(row)
      this.restrictions.settleRow(row)
    }
    this.refresh()
  }

  /** Takes over a whole configuration unless the view already holds a newer one. */
  adopt(cfg: Configuration): void {
    if (cfg.version <= this.#committed.version) return
    this.#committed = cfg
    this.#history.clear()
    this.refresh()
  }

  /** Recomputes the configuration in force and tells the listeners if it differs. */
  refresh(): void {
    this.acknowledgements.report(voteOf(this.member), this.#committed.version, this.#heldIds())
    const next = this.restrictions.applyTo(this.#committed)
    if (next === this.#current || isDeepStrictEqual(next, this.#current)) return
    this.#current = next
    this.#listeners.forEach(cb => {
      cb(next)
    })
  }

  report(): ConfigReport {
    return {
      member: this.member.id,
      incarnation: this.member.incarnation,
      version: this.#committed.version,
      restrictions: this.restrictions.messages(),
    }
  }

  handleExchange(report: ConfigReport): ConfigReport {
    return this.#exchanges.answer(report)
  }

  handleFetchChanges(after: number, snapshot: boolean): FetchedChanges {
    const { version } = this.#committed
    const rows = snapshot ? undefined : this.#history.after(after, version)
    if (rows) return { version, changes: rows.map(toChangeMessage) }
    return { version, changes: [], snapshot: JSON.stringify(this.#committed) }
  }

  handleAnnounce(message: Announcement): { version: number } {
    if (message.restriction) this.restrictions.merge([message.restriction])
    this.apply(fromChangeMessages(message.changes))
    return { version: this.#committed.version }
  }

  #heldIds(): string[] {
    return this.restrictions.pending.map(({ id }) => id)
  }

  #background(task: Promise<void>): void {
    task.catch((err: unknown) => {
      this.#onError(err)
    })
  }
}
