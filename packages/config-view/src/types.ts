import type { Change, ChangeRow, EnvironmentConfiguration, Member } from '@bulrushbridge/contract'
import type { Clock } from '@bulrushbridge/errors'
import type { ObjectStore, TableService } from '@bulrushbridge/store'
import type {
  Announcement,
  ConfigReport,
  FetchedChanges,
  PeerConfigCalls,
} from './peer-config-calls.js'
import type { ProposeOptions } from './propose.js'
import type { RestrictOptions } from './restrict.js'
import type { ProvisionalRestriction, RestrictiveChange } from './restrictions.js'
import type { ViewTimers } from './timing.js'

/** Options of {@link createConfigView}. */
export interface ConfigViewOptions {
  /** This entry host; its incarnation differs for each start of the process. */
  member: Member
  table: TableService
  objects: ObjectStore
  peers: PeerConfigCalls
  clock: Clock
  timers?: ViewTimers
  /** Returns the wall-clock time that is written into change rows; only people read it. */
  wallClock?: () => string
  /** Called with the errors of background calls, so that they can be logged. */
  onError?: (err: unknown) => void
}

/** Result of a change. */
export interface ChangeResult {
  /** Version that contains the change; 0 for a provisional restriction. */
  version: number
  /** Ids of the registered entry hosts that act on the change. */
  acknowledged: string[]
  /** Ids of the registered entry hosts that are not known to act on it. */
  missing: string[]
  /** True when, from 3 s after this result, no entry host serves without the change. */
  accepted: boolean
}

/** An entry host's view of the configuration. */
export interface ConfigView {
  readonly member: Member
  /** The configuration in force here, with provisional restrictions applied. */
  current(): EnvironmentConfiguration
  /** The configuration without provisional restrictions. */
  committed(): EnvironmentConfiguration
  /** Until when the view is confirmed, that is known to be current, on the view's clock. */
  confirmedUntil(): number
  isConfirmed(): boolean
  /** Restrictions that are not committed yet. */
  provisional(): ProvisionalRestriction[]
  /** The most recent change row that this entry host has applied. */
  lastChange(): ChangeRow | undefined
  /** The last reported version of each registered entry host, by id; 0 without a report. */
  memberVersions(): Record<string, number>
  /**
   * Calls `cb` after each change of {@link ConfigView.current}. Returns a function that unsubscribes
   * it.
   */
  onChange(cb: (cfg: EnvironmentConfiguration) => void): () => void
  /** Commits a change. Throws `version-conflict`, `store-unavailable` or `unknown-object`. */
  propose(change: Change, opts: ProposeOptions): Promise<ChangeResult>
  /** Takes a zone out or withdraws a key provisionally while the store is down. */
  restrict(change: RestrictiveChange, opts: RestrictOptions): Promise<ChangeResult>
  /** Announces the committed version again and waits for the acknowledgements, without a change. */
  reannounce(): Promise<ChangeResult>
  /** Registers this entry host. Rejects with `view-expired` unless the view is confirmed. */
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
