import type { View } from './config-view.js'
import type { Confirmation } from './confirmation.js'
import { isMajority, peersOf, voteOf, votesOf } from './membership.js'
import type { ConfigReport, PeerAddress } from './peer-config.js'
import { callMs } from './timing.js'

/** The exchanges of a view with its peers, from either side. */
export class PeerExchanges {
  readonly #view: View
  readonly #confirmation: Confirmation

  constructor(view: View, confirmation: Confirmation) {
    this.#view = view
    this.#confirmation = confirmation
  }

  /** Exchanges with every registered peer and confirms the view when a majority agrees. */
  async round(): Promise<void> {
    const view = this.#view
    const startedAt = view.clock.now()
    const reported = new Map<string, number>()
    const evaluate = () => {
      this.#evaluate(startedAt, reported)
    }
    evaluate()
    await Promise.allSettled(
      this.#peers().map(async peer => {
        const report = await this.exchangeWith(peer, startedAt + callMs)
        reported.set(voteOf({ id: report.member, incarnation: report.incarnation }), report.version)
        evaluate()
        if (report.version <= view.committed().version) return
        await view.fetchFrom(peer, startedAt + callMs)
        evaluate()
      }),
    )
  }

  /** One exchange; merges the peer's restrictions. */
  async exchangeWith(peer: PeerAddress, deadline: number): Promise<ConfigReport> {
    const { peers } = this.#view
    const report = await peers.exchange(peer, this.#view.report(), { deadline })
    this.#learn(report)
    return report
  }

  /** Handles an exchange that a peer began. */
  answer(report: ConfigReport): ConfigReport {
    this.#learn(report)
    return this.#view.report()
  }

  #peers(): PeerAddress[] {
    const { member, peers } = this.#view
    const committed = this.#view.committed()
    const registered = peersOf(committed, member.id)
    if (registered.length > 0 || committed.version > 0) return registered
    return peers.seeds().filter(peer => peer.id !== member.id)
  }

  #evaluate(startedAt: number, reported: Map<string, number>): void {
    const held = this.#view.committed()
    if ([...reported.values()].some(version => version > held.version)) return
    const votes = new Set([...reported.keys(), voteOf(this.#view.member)])
    if (isMajority(votes, votesOf(held))) this.#confirmation.confirmByMajority(startedAt)
  }

  #learn(report: ConfigReport): void {
    const { acknowledgements, restrictions } = this.#view
    const vote = voteOf({ id: report.member, incarnation: report.incarnation })
    const ids = report.restrictions.map(({ id }) => id)
    acknowledgements.report(vote, report.version, ids)
    if (restrictions.merge(report.restrictions)) this.#view.refresh()
  }
}
