import { randomBytes } from 'node:crypto'
import { createConfigView, type ConfigView, type PeerConfigCalls } from '@bulrushbridge/config-view'
import type { Member } from '@bulrushbridge/contract'
import { createPeerCalls, heartbeatsTable, type HeartbeatRow } from '@bulrushbridge/entry'
import { normalizeError } from '@bulrushbridge/errors'
import { createPeerLinks } from '@bulrushbridge/peer-link'
import type { HeldLease } from '@bulrushbridge/store'
import { request } from 'undici'
import type { ControlContext } from './control-context.js'
import type { DutyTerm } from './duty-task.js'
import { createFencedTable } from './fenced-table.js'
import { createVanishedMemberDetector, type VanishedMemberDetector } from './vanished-members.js'

/** Time allowed for an entry host to answer on its operator port, in milliseconds. */
const probeTimeoutMs = 1_000

/**
 * Begins a term of the duty `membership`, which removes entry hosts that have vanished. A removal is
 * accepted only when enough entry hosts know the previous membership change, which exchanges with
 * them show. The holder therefore runs a configuration view, which is not registered and whose id
 * no entry host can have.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'membership', beginTerm: held => beginMembershipTerm(ctx, held) })
 */
export function beginMembershipTerm(
  ctx: ControlContext,
  held: () => HeldLease | undefined,
): DutyTerm {
  const { cfg, clock } = ctx
  const detector = createVanishedMemberDetector({ clock })
  const links = createPeerLinks({ secret: cfg['peer-secret'] })
  const member: Member = {
    // The id of an entry host contains no dot.
    id: `${cfg.member}.control`,
    zone: cfg.zone,
    peerAddress: '0.0.0.0:0',
    incarnation: randomBytes(6).toString('hex'),
  }
  let isClosed = false
  const peerCalls = createPeerCalls({
    links: {
      ...links,
      to: peer => {
        // Calls of the view that are still in progress must not open links after the end of the term.
        if (isClosed) throw new Error('peer link refused: the membership term has ended')
        return links.to(peer)
      },
    },
    clock,
    member,
    seeds: [],
    addressOf: () => undefined,
    readLoad: () => ({ demand: [], runners: [], spare: [] }),
    onReport: ({ member: id, incarnation }) => {
      detector.recordSignOfLife(`${id}@${incarnation}`)
    },
  })
  const view = createConfigView({
    member,
    table: createFencedTable(ctx.table, held),
    objects: ctx.objects,
    peers: observeExchanges(peerCalls.config, detector),
    clock,
  })
  return {
    runRound: () => runMembershipRound(ctx, view, detector),
    close: () => {
      isClosed = true
      view.close()
      links.close()
    },
  }
}

/** Wraps peer calls so that the answer to each exchange counts as a sign of life. */
function observeExchanges(
  peers: PeerConfigCalls,
  detector: VanishedMemberDetector,
): PeerConfigCalls {
  return {
    ...peers,
    exchange: async (peer, ownReport, opts) => {
      const report = await peers.exchange(peer, ownReport, opts)
      detector.recordSignOfLife(`${report.member}@${report.incarnation}`)
      return report
    },
  }
}

async function runMembershipRound(
  ctx: ControlContext,
  view: ConfigView,
  detector: VanishedMemberDetector,
): Promise<void> {
  const heartbeatRows = await ctx.table.scan<HeartbeatRow>(heartbeatsTable)
  for (const { key, value, version } of heartbeatRows)
    detector.recordHeartbeat(`${key}@${value.incarnation}`, version)
  const registeredMembers = Object.values(view.committed().members)
  const processIds = registeredMembers.map(({ id, incarnation }) => `${id}@${incarnation}`)
  const { probeTargets, vanished } = detector.evaluateRound(processIds)
  await Promise.all(
    probeTargets.map(async processId => {
      const row = heartbeatRows.find(
        ({ key, value }) => `${key}@${value.incarnation}` === processId,
      )
      if (row !== undefined && (await isAnswering(row.value.operators)))
        detector.recordSignOfLife(processId)
    }),
  )
  for (const processId of vanished) {
    const member = registeredMembers.find(
      ({ id, incarnation }) => `${id}@${incarnation}` === processId,
    )
    // The process may have answered meanwhile, for example while another entry host was removed.
    if (member === undefined || !detector.evaluateRound(processIds).vanished.includes(processId))
      continue
    await removeEntryHost(ctx, view, member)
  }
}

async function isAnswering(operatorAddress: string): Promise<boolean> {
  try {
    const res = await request(`http://${operatorAddress}/health/live`, {
      signal: AbortSignal.timeout(probeTimeoutMs),
    })
    await res.body.dump()
    return true
  } catch {
    return false
  }
}

async function removeEntryHost(
  ctx: ControlContext,
  view: ConfigView,
  member: Member,
): Promise<void> {
  const { id, incarnation } = member
  try {
    const { version } = await view.removeMember(id, incarnation)
    ctx.log.info('entry host removed', { member: id, incarnation, version })
    ctx.decisions.record({
      subject: { kind: 'entry-host', id },
      rule: 'member-vanished',
      observed: { incarnation },
      action: 'remove',
    })
  } catch (err) {
    // The previous membership change may not be known to enough entry hosts yet. The next round
    // tries again.
    ctx.log.info('entry host not removed yet', { member: id, error: normalizeError(err).message })
  }
}
