import type { View } from './config-view.js'
import type { Confirmation } from './confirmation.js'
import { ExchangeSchedule, type RoundState } from './exchange-schedule.js'
import { isMajority, peersOf, voteOf, votesOf } from './membership.js'
import type { ConfigReport, PeerAddress } from './peer-config.js'
import { callMs } from './timing.js'

/** The exchanges of a view with its peers, from either side. */
export class PeerExchanges {
  readonly #view: View
  readonly #confirmation: Confirmation
  readonly #schedule: ExchangeSchedule

  constructor(view: View, confirmation: Confirmation) {
    this.#view = view
    this.#confirmation = confirmation
    this.#schedule = new ExchangeSchedule(voteOf(view.member))
  }

  /**
   * Exchanges with the registered peers that are due and confirms the view when a majority agrees.
   * While the store does not confirm the view, all peers are due.
   */
  async round(): Promise<void> {
    const view = this.#view
    const startedAt = view.clock.now()
    const reported = new Map<string, number>()
    const evaluate = () => {
      this.#evaluate(startedAt, reported)
    }
    evaluate()
    await Promise.allSettled(
      this.#duePeers().map(async peer => {
        const report = await this.exchangeWith(peer, startedAt + callMs)
        reported.set(voteOfReport(report), report.version)
        evaluate()
        if (report.version <= view.committed().version) return
        await view.fetchFrom(peer, startedAt + callMs)
        evaluate()
      }),
    )
  }

  /** One exchange; merges the peer's restrictions. */
  async exchangeWith(peer: PeerAddress, deadline: number): Promise<ConfigReport> {
    const { peers, clock } = this.#view
    const startedAt = clock.now()
    const { key } = this.#roundState()
    const report = await peers.exchange(peer, this.#view.report(), { deadline })
    this.#schedule.delivered(voteOfReport(report), startedAt, key)
    this.#learn(report)
    return report
  }

  /** Handles an exchange that a peer began. */
  answer(report: ConfigReport): ConfigReport {
    this.#learn(report)
    const { now, key } = this.#roundState()
    this.#schedule.delivered(voteOfReport(report), now, key)
    return this.#view.report()
  }

  #duePeers(): PeerAddress[] {
    const { member, peers } = this.#view
    const committed = this.#view.committed()
    if (committed.version === 0) return peers.seeds().filter(peer => peer.id !== member.id)
    this.#schedule.retain(new Set(votesOf(committed)))
    const state = this.#roundState()
    return peersOf(committed, member.id).filter(peer => this.#schedule.isDue(voteOf(peer), state))
  }

  #roundState(): RoundState {
    const { clock, peers, restrictions } = this.#view
    const now = clock.now()
    const { busy, key } = peers.load()
    return {
      now,
      steady: this.#confirmation.isStoreConfirming(now) && restrictions.pending.length === 0,
      busy,
      key: `${this.#view.committed().version}/${key}`,
    }
  }

  #evaluate(startedAt: number, reported: Map<string, number>): void {
    const held = this.#view.committed()
    if ([...reported.values()].some(version => version > held.version)) return
    const votes = new Set([...reported.keys(), voteOf(this.#view.member)])
    if (isMajority(votes, votesOf(held))) this.#confirmation.confirmByMajority(startedAt)
  }

  #learn(report: ConfigReport): void {
    const { acknowledgements, restrictions } = this.#view
    const vote = voteOfReport(report)
    const ids = report.restrictions.map(({ id }) => id)
    acknowledgements.report(vote, report.version, ids)
    if (restrictions.merge(report.restrictions)) this.#view.refresh()
  }
}

function voteOfReport({ member, incarnation }: ConfigReport): string {
  return voteOf({ id: member, incarnation })
}
