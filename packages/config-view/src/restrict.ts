import { randomUUID } from 'node:crypto'
import type { AcknowledgementCondition } from './acknowledgements.js'
import { awaitAcknowledgement } from './await-acknowledgement.js'
import type { View } from './config-view.js'
import { votersOf } from './membership.js'
import { toRestrictionMessage, type RestrictiveChange } from './restrictions.js'
import { acknowledgeTimeoutMs } from './timing.js'
import type { ChangeResult } from './types.js'

/** Options of {@link restrict}. */
export interface RestrictOptions {
  /** Name of the operator that makes the change. */
  by: string
  /** Id of an earlier attempt to commit the same change, so that it is not committed twice. */
  id?: string
  /** When to stop waiting, on the view's clock. */
  deadline?: number
}

/**
 * Puts a restriction in force without the store and waits until the peers hold it.
 *
 * It is reported as accepted only when every registered entry host holds it, because one that was
 * not reached may still be confirmed by the store, which this entry host cannot reach.
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
  const condition: AcknowledgementCondition = state => {
    const settled = view.restrictions.settledVersion(id)
    return state.restrictions.has(id) || (settled !== undefined && state.version >= settled)
  }
  const isAccepted = () => {
    if (!view.restrictions.isSettled(id))
      return view.acknowledgements.hasAll(view.committed(), condition)
    // It was committed in the meantime, so reads of the store show it and a majority is enough.
    return view.acknowledgements.hasMajority(votersOf(view.committed()), condition)
  }
  await awaitAcknowledgement(view, {
    condition,
    isAccepted,
    deadline: opts.deadline ?? view.clock.now() + acknowledgeTimeoutMs,
    message: { changes: [], restriction: toRestrictionMessage(restriction) },
  })
  const { acknowledged, missing } = view.acknowledgements.partitionMembers(
    view.committed(),
    condition,
  )
  const version = view.restrictions.settledVersion(id) ?? 0
  return { version, acknowledged, missing, accepted: isAccepted() }
}
