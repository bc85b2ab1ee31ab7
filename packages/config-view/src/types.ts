import type { Change, ChangeRow, Configuration, Member } from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { ObjectStore, TableService } from '@bulrushbridge/store'
import type { Announcement, ConfigReport, FetchedChanges, PeerConfig } from './peer-config.js'
import type { ProposeOptions } from './propose.js'
import type { RestrictOptions } from './restrict.js'
import type { PendingRestriction, RestrictiveChange } from './restrictions.js'
import type { Timers } from './timing.js'

/** Options of {@link createConfigView}. */
export interface ConfigViewOptions {
  /** This entry host; the incarnation differs for each start of the process. */
  member: Member
  table: TableService
  objects: ObjectStore
  peers: PeerConfig
  clock: Clock
  timers?: Timers
  /** Wall-clock time written into change rows, for people only. */
  wallClock?: () => string
  /** Told of failures in the background, for the log. */
  onError?: (err: unknown) => void
}

/** What became of a change. */
export interface ChangeResult {
  /** Version that contains the change; 0 for a provisional restriction. */
  version: number
  /** Ids of the registered entry hosts that act on the change. */
  acknowledged: string[]
  /** Ids of the registered entry hosts that are not known to act on it. */
  missing: string[]
  /** True when no entry host serves without the change 3 s from now. */
  accepted: boolean
}

/** An entry host's view of the configuration. */
export interface ConfigView {
  readonly member: Member
  /** The configuration in force here, with provisional restrictions applied. */
  current(): Configuration
  /** The configuration without provisional restrictions. */
  committed(): Configuration
  /** Until when the view is confirmed, on the view's clock. */
  confirmedUntil(): number
  isConfirmed(): boolean
  /** Restrictions that are not committed yet. */
  provisional(): PendingRestriction[]
  /** The most recent change row that this entry host has seen. */
  lastChange(): ChangeRow | undefined
  /** What is known of each registered entry host: the version it acts on. */
  memberVersions(): Record<string, number>
  /** Calls `cb` after each change of {@link ConfigView.current}; the result ends it. */
  onChange(cb: (cfg: Configuration) => void): () => void
  /** Commits a change. Throws `version-conflict`, `store-unavailable` or `unknown-object`. */
  propose(change: Change, opts: ProposeOptions): Promise<ChangeResult>
  /** Orders a zone out or a key withdrawn while the store is down. */
  restrict(change: RestrictiveChange, opts: RestrictOptions): Promise<ChangeResult>
  /** Announces the held version again and waits for the acknowledgements, without a change. */
  reannounce(): Promise<ChangeResult>
  /** Registers this entry host. Needs a confirmed view. */
  join(): Promise<ChangeResult>
  /** Removes this entry host's registration. */
  leave(): Promise<ChangeResult>
  /** Removes an entry host that has vanished. */
  removeMember(id: string, incarnation: string): Promise<ChangeResult>
  handleExchange(report: ConfigReport): ConfigReport
  handleFetchChanges(after: number, snapshot: boolean): FetchedChanges
  handleAnnounce(message: Announcement): { version: number }
  close(): void
}
