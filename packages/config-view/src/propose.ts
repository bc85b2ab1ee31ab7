import { randomUUID } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { applyChange, type Change, type ChangeRow } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'
import { StoreError } from '@bulrushbridge/store'
import { awaitAcknowledgement, meet } from './await-acknowledgement.js'
import type { View } from './config-view.js'
import { changeKey, snapshotName, type Head, type HeadRow } from './head.js'
import { isMembershipChange, votesOf } from './membership.js'
import { isRestrictive } from './restrictions.js'
import { acknowledgeMs, callMs, snapshotInterval } from './timing.js'
import type { ChangeResult } from './types.js'

/** Options of {@link proposeChange}. */
export interface ProposeOptions {
  /** Name of the operator or entry host that orders the change. */
  by: string
  /** Version that the change was made against; required for a promotion. */
  expectedVersion?: number
  /** When to stop waiting, on the view's clock. */
  deadline?: number
  /** Id under which a restrictive change is settled if it must be repeated as a restriction. */
  restrictionId?: string
}

/** Lost races after which a commutative change gives up. */
const maxAttempts = 50

/** Time in which restrictions held by peers are collected before they are revoked. */
const collectMs = 500

/** Commits a change, announces it and waits for the acknowledgements. */
export async function proposeChange(
  view: View,
  change: Change,
  opts: ProposeOptions,
): Promise<ChangeResult> {
  const deadline = opts.deadline ?? view.clock.now() + callMs + acknowledgeMs
  const revokes = change.kind === 'zone-back' || change.kind === 'key-grant'
  // A restriction that a peer holds must be revoked by this change, not committed after it.
  if (revokes) await meet(view, Math.min(deadline, view.clock.now() + collectMs), () => false)
  const { version, previous } = await commitChange(view, change, { ...opts, deadline })
  return awaitVersion(view, version, previous, deadline)
}

/** Announces a version and waits for the majorities of the registered and the previous votes. */
export async function awaitVersion(
  view: View,
  version: number,
  previous: string[],
  deadline: number,
): Promise<ChangeResult> {
  const holds = (known: { version: number }) => known.version >= version
  const isAccepted = () => {
    const votes = votesOf(view.committed())
    const sets = [votes, previous].filter(set => set.length > 0)
    return sets.every(set => view.acknowledgements.hasMajority(set, holds))
  }
  await awaitAcknowledgement(view, { holds, isAccepted, deadline })
  const { acknowledged, missing } = view.acknowledgements.split(view.committed(), holds)
  return { version, acknowledged, missing, accepted: isAccepted() }
}

async function commitChange(
  view: View,
  change: Change,
  opts: ProposeOptions & { deadline: number },
): Promise<{ version: number; previous: string[] }> {
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const headRow = await readHead(view, opts.deadline)
    checkExpected(view, headRow.head, opts)
    const settles = view.restrictions.revokedBy(change)
    if (settles.length === 0 && isInForce(view, change)) {
      return { version: view.committed().version, previous: [] }
    }
    if (isMembershipChange(change)) await checkMembership(view, change, headRow.head, opts.deadline)
    const previous = isMembershipChange(change) ? votesOf(view.committed()) : []
    const row = await tryCommit(view, change, headRow, settles, opts)
    if (!row) continue
    view.apply([row])
    saveSnapshot(view, row.version)
    return { version: row.version, previous }
  }
  throw new RequestError('version-conflict', { message: 'Other changes were committed each time.' })
}

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
  return Math.min(deadline, view.clock.now() + callMs)
}

function checkExpected(view: View, head: Head, { expectedVersion }: ProposeOptions): void {
  if (expectedVersion === undefined || expectedVersion === head.version) return
  const winner = view.lastChange()
  const by = winner ? ` by ${winner.by}` : ''
  throw new RequestError('version-conflict', {
    message: `The configuration is at version ${head.version}, changed${by}, not at ${expectedVersion}.`,
  })
}

/** Whether a repeated change has no effect. A promotion is repeated under its own digest. */
function isInForce(view: View, change: Change): boolean {
  const cfg = view.committed()
  if (change.kind === 'promote') return false
  return cfg.version > 0 && isDeepStrictEqual(applyChange(cfg, change), cfg)
}

/**
 * The settle rule: the previous membership change must be known to one entry host of every majority
 * of those before and after it. Otherwise a host that missed two changes could find a majority of
 * hosts that missed them too. Asking for a majority itself would refuse every later change when one
 * of two hosts vanishes right after a third has joined.
 */
async function checkMembership(
  view: View,
  change: Change,
  head: Head,
  deadline: number,
): Promise<void> {
  // An unconfirmed view may lack a restriction; once registered it would count in majorities.
  if (change.kind === 'member-join' && !view.isConfirmed()) throw new RequestError('view-expired')
  const holds = (known: { version: number }) => known.version >= head.membership.version
  const sets = [head.membership.previous, votesOf(view.committed())].filter(set => set.length > 0)
  const isSettled = () => sets.every(set => view.acknowledgements.meetsEveryMajority(set, holds))
  if (!isSettled()) await meet(view, deadline, isSettled)
  if (isSettled()) return
  throw new RequestError('version-conflict', {
    message: 'The previous membership change is not yet known to enough of the entry hosts.',
  })
}

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
  const own = isRestrictive(change) ? [opts.restrictionId ?? randomUUID()] : []
  const ids = [...new Set([...settles, ...own])]
  const row: ChangeRow = {
    version,
    at: view.wallClock(),
    by: opts.by,
    change,
    ...(ids.length > 0 ? { settles: ids } : {}),
  }
  const next = nextHead(view, head, change, version)
  const tx = {
    checks: [
      { table: 'config', key: 'head', version: rowVersion },
      ...own.map(id => ({ table: 'restrictions', key: id, version: 0 })),
    ],
    writes: [
      { table: 'config', key: 'head', value: next },
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
    const isSettled = cause instanceof StoreError && cause.settled
    throw new RequestError('store-unavailable', {
      cause,
      outcome: isSettled ? 'not-run' : 'unknown',
      ...(isSettled ? {} : { message: 'The table service did not say whether it committed.' }),
    })
  }
}

function nextHead(view: View, head: Head, change: Change, version: number): Head {
  return {
    version,
    digest: change.kind === 'promote' ? change.digest : head.digest,
    documentVersion: change.kind === 'promote' ? version : head.documentVersion,
    membership: isMembershipChange(change)
      ? { version, previous: votesOf(view.committed()) }
      : head.membership,
  }
}

function saveSnapshot(view: View, version: number): void {
  const cfg = view.committed()
  if (version % snapshotInterval !== 0 || cfg.version !== version) return
  const opts = { deadline: view.clock.now() + callMs }
  // A missing snapshot only makes a later start read more changes.
  view.objects.put(snapshotName(version), JSON.stringify(cfg), opts).catch(() => undefined)
}
