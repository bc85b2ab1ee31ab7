import { create } from '@bufbuild/protobuf'
import type { PeerConfig } from '@bulrushbridge/config-view'
import type { Clock } from '@bulrushbridge/errors'
import type { PeerLinks } from '@bulrushbridge/peer-link'
import type { PeerPermits } from '@bulrushbridge/team-limit'
import { ExchangeRequestSchema, type Report } from '@bulrushbridge/wire'
import { createLoadStates, type LocalLoad } from './peer-load.js'
import { toConfigReport, toReport } from './peer-messages.js'

/** Time allowed for a call without a deadline, in milliseconds. */
const defaultCallMs = 1_000

/** Options of {@link createPeerCalls}. */
export interface PeerCallsOptions {
  links: PeerLinks
  /** Load of this entry host, read for each exchange. */
  readLocal(): LocalLoad
  /** Called with each report of a peer. */
  learn(report: Report): void
  clock: Clock
  member: { id: string; incarnation: string }
  /** Peers to ask while no configuration is held. */
  seeds: { id: string; peerAddress: string }[]
  /** Address of a registered peer. */
  addressOf(id: string): { id: string; peerAddress: string } | undefined
}

/** The calls of this entry host to its peers, as its parts need them. */
export interface PeerCalls {
  config: PeerConfig
  permits: PeerPermits
}

/**
 * Adapts the links to the interfaces of the configuration view and of the permits.
 *
 * @example
 * const calls = createPeerCalls({ links, readLocal, learn, clock, member, seeds, addressOf })
 */
export function createPeerCalls(opts: PeerCallsOptions): PeerCalls {
  const timeout = (deadline?: number) => ({
    timeoutMs:
      deadline === undefined ? defaultCallMs : Math.max(1, Math.ceil(deadline - opts.clock.now())),
  })
  const link = (id: string) => {
    const peer = opts.addressOf(id)
    if (peer === undefined) throw new Error(`the entry host ${id} is not registered`)
    return opts.links.to(peer)
  }
  return {
    config: {
      exchange: async (peer, own, { deadline }) => {
        const req = create(ExchangeRequestSchema, { report: toReport(own, opts.readLocal()) })
        const res = await opts.links.to(peer).calls.exchange(req, timeout(deadline))
        if (res.report === undefined) throw new Error(`the entry host ${peer.id} sent no report`)
        opts.learn(res.report)
        return toConfigReport(res.report)
      },
      fetchChanges: async (peer, after, snapshot, { deadline }) => {
        const req = { after: BigInt(after), snapshot }
        const res = await opts.links.to(peer).calls.fetchChanges(req, timeout(deadline))
        return {
          version: Number(res.version),
          changes: res.changes.map(({ version, body }) => ({ version: Number(version), body })),
          ...(res.snapshot === '' ? {} : { snapshot: res.snapshot }),
        }
      },
      announce: async (peer, message, { deadline }) => {
        const changes = message.changes.map(({ version, body }) => ({
          version: BigInt(version),
          body,
        }))
        const { restriction } = message
        const req = restriction === undefined ? { changes } : { changes, restriction }
        const res = await opts.links.to(peer).calls.announce(req, timeout(deadline))
        return { version: Number(res.version) }
      },
      load: createLoadStates(opts),
      seeds: () => opts.seeds,
    },
    permits: {
      borrow: async (peer, { team, count, loanId }) => {
        const { id, incarnation } = opts.member
        const req = { member: id, incarnation, team, count, loanId }
        const res = await link(peer).calls.borrow(req, timeout())
        return { granted: res.granted, validForMs: res.validForMs }
      },
      giveBack: async (peer, { team, loanId, count }) => {
        const req = { member: opts.member.id, team, loanId, count }
        await link(peer).calls.return(req, timeout())
      },
    },
  }
}
