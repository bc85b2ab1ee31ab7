import { randomUUID } from 'node:crypto'
import type { Acknowledged } from './acknowledgements.js'
import { awaitAcknowledgement } from './await-acknowledgement.js'
import type { View } from './config-view.js'
import { votesOf } from './membership.js'
import { toMessage, type RestrictiveChange } from './restrictions.js'
import { acknowledgeMs } from './timing.js'
import type { ChangeResult } from './types.js'

/** Options of {@link restrict}. */
export interface RestrictOptions {
  /** Name of the operator that orders the restriction. */
  by: string
  /** Id of an attempt to commit the same change, so that it is not committed twice. */
  id?: string
  /** When to stop waiting, on the view's clock. */
  deadline?: number
}

/**
 * Puts a restriction in force without the store and waits until the peers hold it.
 *
 * It is reported as accepted only when every registered entry host holds it: one that was not
 * reached may be serving on the strength of a store that this entry host cannot reach.
 */
export async function restrict(
  view: View,
  change: RestrictiveChange,
  opts: RestrictOptions,
): Promise<ChangeResult> {
  const id = opts.id ?? randomUUID()
  const restriction = { id, by: opts.by, at: view.wallClock(), change }
  view.restrictions.add(restriction)
  view.refresh()
  const holds: Acknowledged = known => {
    const settledAt = view.restrictions.settledAt(id)
    return known.restrictions.has(id) || (settledAt !== undefined && known.version >= settledAt)
  }
  const isAccepted = () => {
    if (!view.restrictions.isSettled(id))
      return view.acknowledgements.hasAll(view.committed(), holds)
    // Committed meanwhile, so a read of the store shows it and a majority is enough.
    return view.acknowledgements.hasMajority(votesOf(view.committed()), holds)
  }
  await awaitAcknowledgement(view, {
    holds,
    isAccepted,
    deadline: opts.deadline ?? view.clock.now() + acknowledgeMs,
    message: { changes: [], restriction: toMessage(restriction) },
  })
  const { acknowledged, missing } = view.acknowledgements.split(view.committed(), holds)
  const version = view.restrictions.settledAt(id) ?? 0
  return { version, acknowledged, missing, accepted: isAccepted() }
}
