import { randomUUID } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { applyChange, type Change, type ChangeRow } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'
import { StoreError } from '@bulrushbridge/store'
import { awaitAcknowledgement, exchangeWithPeers } from './await-acknowledgement.js'
import type { View } from './config-view.js'
import { changeKey, snapshotName, type Head, type HeadRow } from './head.js'
import { isMembershipChange, votersOf } from './membership.js'
import { isRestrictive } from './restrictions.js'
import { acknowledgeTimeoutMs, callTimeoutMs, snapshotIntervalVersions } from './timing.js'
import type { ChangeResult } from './types.js'

/** Options of {@link proposeChange}. */
export interface ProposeOptions {
  /** Name of the operator or entry host that makes the change. */
  by: string
  /** Version that the change is based on; required for a promotion. */
  expectedVersion?: number
  /** When to stop waiting, on the view's clock. */
  deadline?: number
  /**
   * Id for a restrictive change, under which the caller can repeat it as a provisional restriction
   * without effect if it was committed after all.
   */
  restrictionId?: string
}

/** Attempts to commit a change before it is rejected, if another change is committed each time. */
const maxAttempts = 50

/** Time to collect the restrictions that peers hold, before a change revokes them. */
const collectRestrictionsMs = 500

/** Commits a change, announces it and waits for the acknowledgements of the peers. */
export async function proposeChange(
  view: View,
  change: Change,
  opts: ProposeOptions,
): Promise<ChangeResult> {
  const deadline = opts.deadline ?? view.clock.now() + callTimeoutMs + acknowledgeTimeoutMs
  const canRevoke = change.kind === 'zone-back' || change.kind === 'key-grant'
  // Restrictions that only a peer holds must be revoked by this change, not committed after it.
  if (canRevoke)
    await exchangeWithPeers(
      view,
      Math.min(deadline, view.clock.now() + collectRestrictionsMs),
      () => false,
    )
  const { version, previous } = await commitChange(view, change, { ...opts, deadline })
  return awaitVersion(view, version, previous, deadline)
}

/**
 * Announces a version and waits until majorities of the registered and of the `previous` voters
 * acknowledge it.
 */
export async function awaitVersion(
  view: View,
  version: number,
  previous: string[],
  deadline: number,
): Promise<ChangeResult> {
  const condition = (state: { version: number }) => state.version >= version
  const isAccepted = () => {
    const voters = votersOf(view.committed())
    const sets = [voters, previous].filter(set => set.length > 0)
    return sets.every(set => view.acknowledgements.hasMajority(set, condition))
  }
  await awaitAcknowledgement(view, { condition, isAccepted, deadline })
  const { acknowledged, missing } = view.acknowledgements.partitionMembers(
    view.committed(),
    condition,
  )
  return { version, acknowledged, missing, accepted: isAccepted() }
}

/** Commits a change, again with a newer head when another change was committed first. */
async function commitChange(
  view: View,
  change: Change,
  opts: ProposeOptions & { deadline: number },
): Promise<{ version: number; previous: string[] }> {
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const headRow = await readHead(view, opts.deadline)
    checkExpectedVersion(view, headRow.head, opts)
    const settles = view.restrictions.revokedBy(change)
    if (settles.length === 0 && isAlreadyInForce(view, change)) {
      return { version: view.committed().version, previous: [] }
    }
    if (isMembershipChange(change))
      await checkMembershipChange(view, change, headRow.head, opts.deadline)
    const previous = isMembershipChange(change) ? votersOf(view.committed()) : []
    const row = await tryCommit(view, change, headRow, settles, opts)
    if (!row) continue
    view.apply([row])
    saveSnapshot(view, row.version)
    return { version: row.version, previous }
  }
  throw new RequestError('version-conflict', { message: 'Other changes were committed each time.' })
}

/** Reads the head and brings the view up to its version. */
async function readHead(view: View, deadline: number): Promise<HeadRow> {
  try {
    const headRow = await view.reader.head({ deadline: callDeadline(view, deadline) })
    await view.catchUp(headRow.head.version, callDeadline(view, deadline))
    if (view.committed().version >= headRow.head.version) return headRow
  } catch (cause) {
    throw new RequestError('store-unavailable', { cause })
  }
  throw new RequestError('store-unavailable', { message: 'Change rows are missing in the store.' })
}

function callDeadline(view: View, deadline: number): number {
  return Math.min(deadline, view.clock.now() + callTimeoutMs)
}

function checkExpectedVersion(view: View, head: Head, { expectedVersion }: ProposeOptions): void {
  if (expectedVersion === undefined || expectedVersion === head.version) return
  const lastChange = view.lastChange()
  const by = lastChange ? ` by ${lastChange.by}` : ''
  throw new RequestError('version-conflict', {
    message: `The configuration is at version ${head.version}, changed${by}, not at ${expectedVersion}.`,
  })
}

/**
 * Whether the change has no effect, as when it is repeated. False for every promotion, because the
 * operator API recognises a repeated promotion by its digest.
 */
function isAlreadyInForce(view: View, change: Change): boolean {
  const cfg = view.committed()
  if (change.kind === 'promote') return false
  return cfg.version > 0 && isDeepStrictEqual(applyChange(cfg, change), cfg)
}

/**
 * Rejects a membership change until the previous one has propagated: every majority of the entry
 * hosts before it, and every majority of the present ones, must contain a host that knows it.
 * Otherwise a host that missed two changes could find a majority of hosts that missed them too.
 * Requiring that a majority knows it would be too strict: if one of two hosts vanished right after
 * a third had joined, every later membership change would be rejected.
 */
async function checkMembershipChange(
  view: View,
  change: Change,
  head: Head,
  deadline: number,
): Promise<void> {
  // An unconfirmed view may lack a restriction, and a registered process counts in majorities.
  if (change.kind === 'member-join' && !view.isConfirmed()) throw new RequestError('view-expired')
  const condition = (state: { version: number }) => state.version >= head.membership.version
  const sets = [head.membership.previous, votersOf(view.committed())].filter(set => set.length > 0)
  const isPropagated = () =>
    sets.every(set => view.acknowledgements.intersectsEveryMajority(set, condition))
  if (!isPropagated()) await exchangeWithPeers(view, deadline, isPropagated)
  if (isPropagated()) return
  throw new RequestError('version-conflict', {
    message: 'The previous membership change is not yet known to enough of the entry hosts.',
  })
}

/** Commits one change; undefined when another change was committed first. */
async function tryCommit(
  view: View,
  change: Change,
  { head, rowVersion }: HeadRow,
  settles: string[],
  opts: ProposeOptions & { deadline: number },
): Promise<ChangeRow | undefined> {
  const cfg = view.committed()
  if (cfg.version !== head.version) return undefined
  const version = head.version + 1
  const ownIds = isRestrictive(change) ? [opts.restrictionId ?? randomUUID()] : []
  const ids = [...new Set([...settles, ...ownIds])]
  const row: ChangeRow = {
    version,
    at: view.wallClock(),
    by: opts.by,
    change,
    ...(ids.length > 0 ? { settles: ids } : {}),
  }
  const newHead = createNextHead(view, head, change, version)
  const tx = {
    checks: [
      { table: 'config', key: 'head', version: rowVersion },
      ...ownIds.map(id => ({ table: 'restrictions', key: id, version: 0 })),
    ],
    writes: [
      { table: 'config', key: 'head', value: newHead },
      { table: 'changes', key: changeKey(version), value: row },
      ...ids.map(id => ({ table: 'restrictions', key: id, value: { version } })),
    ],
  }
  return (await commit(view, tx, opts.deadline)) ? row : undefined
}

async function commit(
  view: View,
  tx: Parameters<View['table']['commit']>[0],
  deadline: number,
): Promise<boolean> {
  try {
    const result = await view.table.commit(tx, { deadline: callDeadline(view, deadline) })
    return result.committed
  } catch (cause) {
    const isOutcomeKnown = cause instanceof StoreError && cause.isResultKnown
    throw new RequestError('store-unavailable', {
      cause,
      outcome: isOutcomeKnown ? 'not-run' : 'unknown',
      ...(isOutcomeKnown ? {} : { message: 'The table service did not say whether it committed.' }),
    })
  }
}

function createNextHead(view: View, head: Head, change: Change, version: number): Head {
  return {
    version,
    digest: change.kind === 'promote' ? change.digest : head.digest,
    documentVersion: change.kind === 'promote' ? version : head.documentVersion,
    membership: isMembershipChange(change)
      ? { version, previous: votersOf(view.committed()) }
      : head.membership,
  }
}

function saveSnapshot(view: View, version: number): void {
  const cfg = view.committed()
  if (version % snapshotIntervalVersions !== 0 || cfg.version !== version) return
  const opts = { deadline: view.clock.now() + callTimeoutMs }
  // Without this snapshot, a process that starts later only has to read more changes.
  view.objects.put(snapshotName(version), JSON.stringify(cfg), opts).catch(() => undefined)
}
