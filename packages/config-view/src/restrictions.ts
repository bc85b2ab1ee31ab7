import {
  applyChange,
  changeSchema,
  type Change,
  type ChangeRow,
  type Configuration,
} from '@bulrushbridge/contract'
import { z } from 'zod'
import type { RestrictionMessage } from './peer-config.js'

/** Changes that may be ordered while the store is down. */
export type RestrictiveChange = Extract<Change, { kind: 'zone-out' | 'key-withdraw' }>

/** A restriction that is not committed yet. */
export interface PendingRestriction {
  id: string
  by: string
  at: string
  change: RestrictiveChange
}

const bodySchema = z.object({ by: z.string(), at: z.string(), change: changeSchema })

/** Whether a change may be ordered while the store is down. */
export function isRestrictive(change: Change): change is RestrictiveChange {
  return change.kind === 'zone-out' || change.kind === 'key-withdraw'
}

/** Provisional restrictions held in memory, and the ids of those that are settled. */
export class RestrictionSet {
  readonly #pending = new Map<string, PendingRestriction>()
  /** Kept so that a peer which lags behind does not bring a settled restriction back. */
  readonly #settled = new Map<string, number>()

  get pending(): PendingRestriction[] {
    return [...this.#pending.values()]
  }

  has(id: string): boolean {
    return this.#pending.has(id)
  }

  isSettled(id: string): boolean {
    return this.#settled.has(id)
  }

  /** Version that committed or revoked the restriction. */
  settledAt(id: string): number | undefined {
    return this.#settled.get(id)
  }

  /** Adds a restriction; false when it is already known or settled. */
  add(restriction: PendingRestriction): boolean {
    if (this.#settled.has(restriction.id) || this.#pending.has(restriction.id)) return false
    this.#pending.set(restriction.id, restriction)
    return true
  }

  /** Merges restrictions reported by a peer; malformed ones are ignored. */
  merge(messages: readonly RestrictionMessage[]): boolean {
    return messages.map(message => this.#mergeOne(message)).includes(true)
  }

  #mergeOne(message: RestrictionMessage): boolean {
    if (this.has(message.id) || this.isSettled(message.id)) return false
    const restriction = fromMessage(message)
    return restriction !== undefined && this.add(restriction)
  }

  settle(id: string, version: number): void {
    this.#pending.delete(id)
    this.#settled.set(id, version)
  }

  settleRow(row: ChangeRow): void {
    row.settles?.forEach(id => {
      this.settle(id, row.version)
    })
  }

  /** The configuration with all pending restrictions. */
  applyTo(cfg: Configuration): Configuration {
    return this.pending.reduce((c, { change }) => applyChange(c, change), cfg)
  }

  /** Ids of the restrictions that `change` revokes. */
  revokedBy(change: Change): string[] {
    return this.pending.filter(({ change: held }) => revokes(change, held)).map(({ id }) => id)
  }

  messages(): RestrictionMessage[] {
    return this.pending.map(toMessage)
  }
}

function revokes(change: Change, held: RestrictiveChange): boolean {
  if (change.kind === 'zone-back') return held.kind === 'zone-out' && held.zone === change.zone
  if (change.kind === 'key-grant') return held.kind === 'key-withdraw' && held.id === change.key.id
  return false
}

/** A restriction as it is sent to peers. */
export function toMessage({ id, by, at, change }: PendingRestriction): RestrictionMessage {
  return { id, change: JSON.stringify({ by, at, change }) }
}

function fromMessage(message: RestrictionMessage): PendingRestriction | undefined {
  try {
    const { by, at, change } = bodySchema.parse(JSON.parse(message.change))
    return isRestrictive(change) ? { id: message.id, by, at, change } : undefined
  } catch {
    return undefined
  }
}
