import {
  applyChange,
  changeSchema,
  type Change,
  type ChangeRow,
  type EnvironmentConfiguration,
} from '@bulrushbridge/contract'
import { z } from 'zod'
import type { RestrictionMessage } from './peer-config-calls.js'

/** Changes that operators may make while the store is down. */
export type RestrictiveChange = Extract<Change, { kind: 'zone-out' | 'key-withdraw' }>

/** A restrictive change that is in force at entry hosts but not committed yet. */
export interface ProvisionalRestriction {
  id: string
  by: string
  at: string
  change: RestrictiveChange
}

const bodySchema = z.object({ by: z.string(), at: z.string(), change: changeSchema })

/** Whether operators may make a change while the store is down. */
export function isRestrictive(change: Change): change is RestrictiveChange {
  return change.kind === 'zone-out' || change.kind === 'key-withdraw'
}

/** Provisional restrictions in memory, and the ids of settled (committed or revoked) ones. */
export class RestrictionSet {
  readonly #provisional = new Map<string, ProvisionalRestriction>()
  /** Versions that settled restrictions, by id; a peer that lags behind must not add them again. */
  readonly #settled = new Map<string, number>()

  get provisional(): ProvisionalRestriction[] {
    return [...this.#provisional.values()]
  }

  has(id: string): boolean {
    return this.#provisional.has(id)
  }

  isSettled(id: string): boolean {
    return this.#settled.has(id)
  }

  /** Version that committed or revoked the restriction. */
  settledVersion(id: string): number | undefined {
    return this.#settled.get(id)
  }

  /** Adds a restriction; returns false when it is already present or settled. */
  add(restriction: ProvisionalRestriction): boolean {
    if (this.#settled.has(restriction.id) || this.#provisional.has(restriction.id)) return false
    this.#provisional.set(restriction.id, restriction)
    return true
  }

  /** Adds the restrictions that a peer reports; ignores malformed ones. True when any was new. */
  merge(messages: readonly RestrictionMessage[]): boolean {
    return messages.map(message => this.#mergeOne(message)).includes(true)
  }

  #mergeOne(message: RestrictionMessage): boolean {
    if (this.has(message.id) || this.isSettled(message.id)) return false
    const restriction = parseRestrictionMessage(message)
    return restriction !== undefined && this.add(restriction)
  }

  settle(id: string, version: number): void {
    this.#provisional.delete(id)
    this.#settled.set(id, version)
  }

  /** Settles the restrictions that a committed change row names. */
  settleByRow(row: ChangeRow): void {
    row.settles?.forEach(id => {
      this.settle(id, row.version)
    })
  }

  /** The configuration with all provisional restrictions applied. */
  applyTo(cfg: EnvironmentConfiguration): EnvironmentConfiguration {
    return this.provisional.reduce((c, { change }) => applyChange(c, change), cfg)
  }

  /** Ids of the restrictions that `change` revokes. */
  revokedBy(change: Change): string[] {
    return this.provisional
      .filter(({ change: restriction }) => revokes(change, restriction))
      .map(({ id }) => id)
  }

  messages(): RestrictionMessage[] {
    return this.provisional.map(toRestrictionMessage)
  }
}

/** Whether `change` is the opposite of a restriction. */
function revokes(change: Change, restriction: RestrictiveChange): boolean {
  if (change.kind === 'zone-back')
    return restriction.kind === 'zone-out' && restriction.zone === change.zone
  if (change.kind === 'key-grant')
    return restriction.kind === 'key-withdraw' && restriction.id === change.key.id
  return false
}

/** Converts a restriction to the form that is sent to peers. */
export function toRestrictionMessage({
  id,
  by,
  at,
  change,
}: ProvisionalRestriction): RestrictionMessage {
  return { id, change: JSON.stringify({ by, at, change }) }
}

function parseRestrictionMessage(message: RestrictionMessage): ProvisionalRestriction | undefined {
  try {
    const { by, at, change } = bodySchema.parse(JSON.parse(message.change))
    return isRestrictive(change) ? { id: message.id, by, at, change } : undefined
  } catch {
    return undefined
  }
}
