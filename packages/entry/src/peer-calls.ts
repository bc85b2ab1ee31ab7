import { create } from '@bufbuild/protobuf'
import type { PeerConfigCalls } from '@bulrushbridge/config-view'
import type { Clock } from '@bulrushbridge/errors'
import type { PeerLinks } from '@bulrushbridge/peer-link'
import type { PeerPermits } from '@bulrushbridge/team-limit'
import { ExchangeRequestSchema, type Report } from '@bulrushbridge/wire'
import { createLoadStateReader, type LocalLoad } from './peer-load.js'
import { toConfigReport, toReport } from './peer-messages.js'

/** Time allowed for a call without a deadline, in milliseconds. */
const defaultCallTimeoutMs = 1_000

/** Options of {@link createPeerCalls}. */
export interface PeerCallsOptions {
  links: PeerLinks
  /** Returns the load of this entry host; called for each exchange. */
  readLoad(): LocalLoad
  /** Called with each report that a peer returns. */
  onReport(report: Report): void
  clock: Clock
  member: { id: string; incarnation: string }
  /** Peers to ask while this process has no configuration. */
  seeds: { id: string; peerAddress: string }[]
  /** Returns the address of a registered peer. */
  addressOf(id: string): { id: string; peerAddress: string } | undefined
}

/** The calls of this entry host to its peers, grouped by the part that makes them. */
export interface PeerCalls {
  config: PeerConfigCalls
  permits: PeerPermits
}

/**
 * Implements the peer interfaces of the configuration view and of the permits with peer links.
 *
 * @example
 * const calls = createPeerCalls({ links, clock, member, seeds, addressOf, ...loadCallbacks })
 */
export function createPeerCalls(opts: PeerCallsOptions): PeerCalls {
  const callOptions = (deadline?: number) => ({
    timeoutMs:
      deadline === undefined
        ? defaultCallTimeoutMs
        : Math.max(1, Math.ceil(deadline - opts.clock.now())),
  })
  const linkTo = (id: string) => {
    const peer = opts.addressOf(id)
    if (peer === undefined) throw new Error(`the entry host ${id} is not registered`)
    return opts.links.to(peer)
  }
  return {
    config: {
      exchange: async (peer, own, { deadline }) => {
        const req = create(ExchangeRequestSchema, { report: toReport(own, opts.readLoad()) })
        const res = await opts.links.to(peer).calls.exchange(req, callOptions(deadline))
        if (res.report === undefined) throw new Error(`the entry host ${peer.id} sent no report`)
        opts.onReport(res.report)
        return toConfigReport(res.report)
      },
      fetchChanges: async (peer, after, snapshot, { deadline }) => {
        const req = { after: BigInt(after), snapshot }
        const res = await opts.links.to(peer).calls.fetchChanges(req, callOptions(deadline))
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
        const res = await opts.links.to(peer).calls.announce(req, callOptions(deadline))
        return { version: Number(res.version) }
      },
      loadState: createLoadStateReader(opts),
      seeds: () => opts.seeds,
    },
    permits: {
      borrow: async (peer, { team, count, loanId }) => {
        const { id, incarnation } = opts.member
        const req = { member: id, incarnation, team, count, loanId }
        const res = await linkTo(peer).calls.borrow(req, callOptions())
        return { granted: res.granted, validForMs: res.validForMs }
      },
      returnLoan: async (peer, { team, loanId, count }) => {
        const req = { member: opts.member.id, team, loanId, count }
        await linkTo(peer).calls.return(req, callOptions())
      },
    },
  }
}
