import type { View } from './config-view.js'
import type { Confirmation } from './confirmation.js'
import { ExchangeSchedule, type RoundState } from './exchange-schedule.js'
import { isMajority, peersOf, voterOf, votersOf } from './membership.js'
import type { ConfigReport, PeerAddress } from './peer-config-calls.js'
import { callTimeoutMs } from './timing.js'

/** The exchanges of a view with its peers, whichever side begins them. */
export class PeerExchanges {
  readonly #view: View
  readonly #confirmation: Confirmation
  readonly #schedule: ExchangeSchedule

  constructor(view: View, confirmation: Confirmation) {
    this.#view = view
    this.#confirmation = confirmation
    this.#schedule = new ExchangeSchedule(voterOf(view.member))
  }

  /**
   * Exchanges with the registered peers that are due and confirms the view when a majority agrees.
   * While the store does not confirm the view, all peers are due.
   */
  async runRound(): Promise<void> {
    const view = this.#view
    const startedAt = view.clock.now()
    const reportedVersions = new Map<string, number>()
    const confirmIfMajority = () => {
      this.#confirmIfMajority(startedAt, reportedVersions)
    }
    confirmIfMajority()
    await Promise.allSettled(
      this.#duePeers().map(async peer => {
        const report = await this.exchangeWith(peer, startedAt + callTimeoutMs)
        reportedVersions.set(voterOfReport(report), report.version)
        confirmIfMajority()
        if (report.version <= view.committed().version) return
        await view.fetchChangesFrom(peer, startedAt + callTimeoutMs)
        confirmIfMajority()
      }),
    )
  }

  /** Exchanges reports with a peer and merges its restrictions. */
  async exchangeWith(peer: PeerAddress, deadline: number): Promise<ConfigReport> {
    const { peers, clock } = this.#view
    const startedAt = clock.now()
    const { fingerprint } = this.#roundState()
    const report = await peers.exchange(peer, this.#view.report(), { deadline })
    this.#schedule.recordDelivery(voterOfReport(report), startedAt, fingerprint)
    this.#recordReport(report)
    return report
  }

  /** Handles an exchange that a peer began; returns the report for it. */
  handleExchange(report: ConfigReport): ConfigReport {
    this.#recordReport(report)
    const { now, fingerprint } = this.#roundState()
    this.#schedule.recordDelivery(voterOfReport(report), now, fingerprint)
    return this.#view.report()
  }

  #duePeers(): PeerAddress[] {
    const { member, peers } = this.#view
    const committed = this.#view.committed()
    if (committed.version === 0) return peers.seeds().filter(peer => peer.id !== member.id)
    this.#schedule.retain(new Set(votersOf(committed)))
    const state = this.#roundState()
    return peersOf(committed, member.id).filter(peer => this.#schedule.isDue(voterOf(peer), state))
  }

  #roundState(): RoundState {
    const { clock, peers, restrictions } = this.#view
    const now = clock.now()
    const { isBusy, fingerprint } = peers.loadState()
    return {
      now,
      canRelax: this.#confirmation.isStoreConfirming(now) && restrictions.provisional.length === 0,
      isBusy,
      fingerprint: `${this.#view.committed().version}/${fingerprint}`,
    }
  }

  #confirmIfMajority(startedAt: number, reportedVersions: Map<string, number>): void {
    const committed = this.#view.committed()
    if ([...reportedVersions.values()].some(version => version > committed.version)) return
    const voters = new Set([...reportedVersions.keys(), voterOf(this.#view.member)])
    if (isMajority(voters, votersOf(committed))) this.#confirmation.confirmByMajority(startedAt)
  }

  #recordReport(report: ConfigReport): void {
    const { acknowledgements, restrictions } = this.#view
    const voter = voterOfReport(report)
    const ids = report.restrictions.map(({ id }) => id)
    acknowledgements.recordReport(voter, report.version, ids)
    if (restrictions.merge(report.restrictions)) this.#view.refresh()
  }
}

function voterOfReport({ member, incarnation }: ConfigReport): string {
  return voterOf({ id: member, incarnation })
}
