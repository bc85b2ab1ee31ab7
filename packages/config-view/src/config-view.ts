import { isDeepStrictEqual } from 'node:util'
import {
  applyChangeRow,
  emptyConfiguration,
  type Change,
  type ChangeRow,
  type EnvironmentConfiguration,
  type Member,
} from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { ObjectStore, TableService } from '@bulrushbridge/store'
import { Acknowledgements } from './acknowledgements.js'
import { ChangeHistory, parseChangeMessages, toChangeMessage } from './change-history.js'
import { Confirmation } from './confirmation.js'
import { parseSnapshot } from './head.js'
import { voterOf, votersOf } from './membership.js'
import type {
  Announcement,
  ConfigReport,
  FetchedChanges,
  PeerAddress,
  PeerConfigCalls,
} from './peer-config-calls.js'
import { awaitVersion, proposeChange, type ProposeOptions } from './propose.js'
import { restrict, type RestrictOptions } from './restrict.js'
import { PeerExchanges } from './peer-exchanges.js'
import { RestrictionCommitter } from './restriction-committer.js'
import {
  RestrictionSet,
  type ProvisionalRestriction,
  type RestrictiveChange,
} from './restrictions.js'
import { StoreReader } from './store-reader.js'
import {
  acknowledgeTimeoutMs,
  callTimeoutMs,
  pollIntervalMs,
  systemTimers,
  type ViewTimers,
} from './timing.js'
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

/** Implementation of {@link ConfigView}, used by the functions in the other files. */
export class View implements ConfigView {
  readonly member: Member
  readonly table: TableService
  readonly objects: ObjectStore
  readonly peers: PeerConfigCalls
  readonly clock: Clock
  readonly timers: ViewTimers
  readonly wallClock: () => string
  readonly reader: StoreReader
  readonly restrictions = new RestrictionSet()
  readonly acknowledgements = new Acknowledgements()
  readonly #committer: RestrictionCommitter
  readonly #exchanges: PeerExchanges
  readonly #confirmation = new Confirmation()
  readonly #history = new ChangeHistory()
  readonly #listeners = new Set<(cfg: EnvironmentConfiguration) => void>()
  readonly #onError: (err: unknown) => void
  #committed = emptyConfiguration()
  #current = this.#committed
  #stopTimer: (() => void) | undefined
  #isClosed = false

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
    if (this.#isClosed) return
    this.#stopTimer = this.timers.set(() => {
      this.start()
    }, pollIntervalMs)
    // Neither call is awaited, because a slow one must not delay the next poll.
    this.#runInBackground(this.pollStore())
    this.#runInBackground(this.#exchanges.runRound())
  }

  close(): void {
    this.#isClosed = true
    this.#stopTimer?.()
  }

  get isClosed(): boolean {
    return this.#isClosed
  }

  current(): EnvironmentConfiguration {
    return this.#current
  }

  committed(): EnvironmentConfiguration {
    return this.#committed
  }

  confirmedUntil(): number {
    return this.#confirmation.confirmedUntil
  }

  isConfirmed(): boolean {
    return this.clock.now() < this.#confirmation.confirmedUntil
  }

  provisional(): ProvisionalRestriction[] {
    return this.restrictions.provisional
  }

  lastChange(): ChangeRow | undefined {
    return this.#history.last()
  }

  memberVersions(): Record<string, number> {
    const members = Object.values(this.#committed.members)
    return Object.fromEntries(members.map(m => [m.id, this.acknowledgements.versionOf(voterOf(m))]))
  }

  onChange(cb: (cfg: EnvironmentConfiguration) => void): () => void {
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
    const deadline = this.clock.now() + acknowledgeTimeoutMs
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

  /** Reads the head, fetches the missing changes and confirms the view. */
  async pollStore(): Promise<void> {
    const read = this.#confirmation.readStarted(this.clock.now())
    const deadline = read.startedAt + callTimeoutMs
    const headRow = await this.reader.head({ deadline })
    const { head } = headRow
    this.#confirmation.readAnswered(read, this.clock.now())
    this.#runInBackground(this.#committer.commitProvisional(headRow))
    await this.catchUp(head.version, deadline)
    if (this.#committed.version < head.version) return
    const isRegistered = votersOf(this.#committed).includes(voterOf(this.member))
    this.#confirmation.readCaughtUp(read, isRegistered)
  }

  /** Exchanges reports with a peer and merges its restrictions. */
  exchangeWith(peer: PeerAddress, deadline: number): Promise<ConfigReport> {
    return this.#exchanges.exchangeWith(peer, deadline)
  }

  /** Fetches and applies missing changes from a peer. */
  async fetchChangesFrom(peer: PeerAddress, deadline: number): Promise<void> {
    const { version } = this.#committed
    const fetched = await this.peers.fetchChanges(peer, version, version === 0, { deadline })
    const snapshot = parseSnapshot(fetched.snapshot)
    if (snapshot) this.installSnapshot(snapshot)
    this.apply(parseChangeMessages(fetched.changes))
  }

  /** Reads missing changes up to `version` from the store; see {@link PeerExchanges} for peers. */
  async catchUp(version: number, deadline: number): Promise<void> {
    if (this.#committed.version >= version) return
    if (this.#committed.version === 0)
      this.installSnapshot(await this.reader.snapshot(version, { deadline }))
    this.apply(await this.reader.changes(this.#committed.version, version, { deadline }))
  }

  /** Applies the rows that directly follow the committed version; others are ignored. */
  apply(rows: readonly ChangeRow[]): void {
    for (const row of rows) {
      if (row.version !== this.#committed.version + 1) continue
      this.#committed = applyChangeRow(this.#committed, row)
      this.#history.push(row)
      this.restrictions.settleByRow(row)
    }
    this.refresh()
  }

  /** Replaces the committed configuration unless the view already has a newer one. */
  installSnapshot(cfg: EnvironmentConfiguration): void {
    if (cfg.version <= this.#committed.version) return
    this.#committed = cfg
    this.#history.clear()
    this.refresh()
  }

  /** Recomputes the configuration in force and notifies the listeners if it differs. */
  refresh(): void {
    this.acknowledgements.recordReport(
      voterOf(this.member),
      this.#committed.version,
      this.#provisionalIds(),
    )
    const next = this.restrictions.applyTo(this.#committed)
    if (next === this.#current || isDeepStrictEqual(next, this.#current)) return
    this.#current = next
    this.#listeners.forEach(cb => {
      cb(next)
    })
  }

  /** The report that exchanges send to peers. */
  report(): ConfigReport {
    return {
      member: this.member.id,
      incarnation: this.member.incarnation,
      version: this.#committed.version,
      restrictions: this.restrictions.messages(),
    }
  }

  handleExchange(report: ConfigReport): ConfigReport {
    return this.#exchanges.handleExchange(report)
  }

  handleFetchChanges(after: number, snapshot: boolean): FetchedChanges {
    const { version } = this.#committed
    const rows = snapshot ? undefined : this.#history.rowsAfter(after, version)
    if (rows) return { version, changes: rows.map(toChangeMessage) }
    return { version, changes: [], snapshot: JSON.stringify(this.#committed) }
  }

  handleAnnounce(message: Announcement): { version: number } {
    if (message.restriction) this.restrictions.merge([message.restriction])
    this.apply(parseChangeMessages(message.changes))
    return { version: this.#committed.version }
  }

  #provisionalIds(): string[] {
    return this.restrictions.provisional.map(({ id }) => id)
  }

  #runInBackground(task: Promise<void>): void {
    task.catch((err: unknown) => {
      this.#onError(err)
    })
  }
}
