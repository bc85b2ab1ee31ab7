import type { Member } from '@bulrushbridge/contract'
import type { CallOptions } from '@bulrushbridge/store'
import type { LoadState } from './exchange-schedule.js'

/** A provisional restriction as sent to peers: `change` is JSON of its other fields. */
export interface RestrictionMessage {
  id: string
  change: string
}

/** A committed change as sent to peers: `body` is the JSON of a change row. */
export interface ChangeMessage {
  version: number
  body: string
}

/** The part of an exchange that concerns the configuration. */
export interface ConfigReport {
  member: string
  incarnation: string
  version: number
  restrictions: RestrictionMessage[]
}

/** Request of `Announce`. */
export interface Announcement {
  changes: ChangeMessage[]
  restriction?: RestrictionMessage
}

/** Response of `FetchChanges`; `snapshot` is the JSON of a Configuration. */
export interface FetchedChanges {
  version: number
  changes: ChangeMessage[]
  snapshot?: string
}

/** Id and address of an entry host; enough to call it before any configuration is known. */
export type PeerAddress = Pick<Member, 'id' | 'peerAddress'>

/**
 * Calls to other entry hosts about the configuration. Every call rejects by its deadline when no
 * response arrives.
 */
export interface PeerConfigCalls {
  exchange(peer: PeerAddress, report: ConfigReport, opts: CallOptions): Promise<ConfigReport>
  fetchChanges(
    peer: PeerAddress,
    after: number,
    snapshot: boolean,
    opts: CallOptions,
  ): Promise<FetchedChanges>
  announce(
    peer: PeerAddress,
    message: Announcement,
    opts: CallOptions,
  ): Promise<{ version: number }>
  /** State of the load that the next exchange would report. */
  loadState(): LoadState
  /** Entry hosts to call when the store is down and this entry host has no configuration yet. */
  seeds(): PeerAddress[]
}
