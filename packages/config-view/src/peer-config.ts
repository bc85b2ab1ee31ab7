import type { Member } from '@bulrushbridge/contract'
import type { CallOptions } from '@bulrushbridge/store'
import type { LoadState } from './exchange-schedule.js'

/** A restriction on the wire: `change` is the JSON of a {@link PendingRestriction}. */
export interface RestrictionMessage {
  id: string
  change: string
}

/** A committed change on the wire: `body` is the JSON of a change row. */
export interface ChangeMessage {
  version: number
  body: string
}

/** The configuration's part of an exchange. */
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

/** Address of an entry host that may be asked before any configuration is known. */
export type PeerAddress = Pick<Member, 'id' | 'peerAddress'>

/** Calls to other entry hosts. Every call rejects by its deadline when no response arrives. */
export interface PeerConfig {
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
  /** State of the load that the next exchange reports. */
  load(): LoadState
  /** Entry hosts to ask when the store is down and no configuration is held yet. */
  seeds(): PeerAddress[]
}
