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
import { createVanishedMembers, type VanishedMembers } from './vanished-members.js'

/** Time for an entry host to answer on its operators' port, in milliseconds. */
const askMs = 1_000

/**
 * Begins a term of the duty `membership`: removes entry hosts that have vanished. The settle rule
 * needs exchanges with the registered entry hosts, so the holder runs a configuration view, under
 * an id that no entry host can have and without registering.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'membership', begin: held => beginMembership(context, held) })
 */
export function beginMembership(ctx: ControlContext, held: () => HeldLease | undefined): DutyTerm {
  const { cfg, clock } = ctx
  const members = createVanishedMembers({ clock })
  const links = createPeerLinks({ secret: cfg['peer-secret'] })
  const member: Member = {
    // Ids of entry hosts hold no dot.
    id: `${cfg.member}.control`,
    zone: cfg.zone,
    peerAddress: '0.0.0.0:0',
    incarnation: randomBytes(6).toString('hex'),
  }
  let closed = false
  const calls = createPeerCalls({
    links: {
      ...links,
      to: peer => {
        // The view's calls in progress would otherwise open links after the end of the term.
        if (closed) throw new Error('the duty has ended')
        return links.to(peer)
      },
    },
    clock,
    member,
    seeds: [],
    addressOf: () => undefined,
    readLoad: () => ({ demand: [], runners: [], spare: [] }),
    onReport: ({ member: id, incarnation }) => {
      members.seen(`${id}@${incarnation}`)
    },
  })
  const view = createConfigView({
    member,
    table: createFencedTable(ctx.table, held),
    objects: ctx.objects,
    peers: observedBy(calls.config, members),
    clock,
  })
  return {
    round: () => runRound(ctx, view, members),
    close: () => {
      closed = true
      view.close()
      links.close()
    },
  }
}

/** Exchanges whose answers count as signs of life. */
function observedBy(peers: PeerConfigCalls, members: VanishedMembers): PeerConfigCalls {
  return {
    ...peers,
    exchange: async (peer, own, opts) => {
      const report = await peers.exchange(peer, own, opts)
      members.seen(`${report.member}@${report.incarnation}`)
      return report
    },
  }
}

async function runRound(
  ctx: ControlContext,
  view: ConfigView,
  members: VanishedMembers,
): Promise<void> {
  const rows = await ctx.table.scan<HeartbeatRow>(heartbeatsTable)
  for (const { key, value, version } of rows)
    members.heartbeat(`${key}@${value.incarnation}`, version)
  const registered = Object.values(view.committed().members)
  const votes = registered.map(({ id, incarnation }) => `${id}@${incarnation}`)
  const { ask, vanished } = members.round(votes)
  await Promise.all(
    ask.map(async vote => {
      const row = rows.find(({ key, value }) => `${key}@${value.incarnation}` === vote)
      if (row !== undefined && (await answers(row.value.operators))) members.seen(vote)
    }),
  )
  for (const vote of vanished) {
    const found = registered.find(({ id, incarnation }) => `${id}@${incarnation}` === vote)
    // An answer may have arrived since the round was counted.
    if (found === undefined || !members.round(votes).vanished.includes(vote)) continue
    await remove(ctx, view, found)
  }
}

async function answers(operators: string): Promise<boolean> {
  try {
    const res = await request(`http://${operators}/health/live`, {
      signal: AbortSignal.timeout(askMs),
    })
    await res.body.dump()
    return true
  } catch {
    return false
  }
}

async function remove(ctx: ControlContext, view: ConfigView, member: Member): Promise<void> {
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
    // The settle rule may not be met yet; the next round tries again.
    ctx.log.info('entry host not removed yet', { member: id, error: normalizeError(err).message })
  }
}
