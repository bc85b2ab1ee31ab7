import { pollIntervalMs, relaxedExchangeIntervalMs } from './timing.js'

/** State of the load that the next exchange would report. */
export interface LoadState {
  /** True while work is running or waiting here; peers then need a report per poll interval. */
  isBusy: boolean
  /** Changes whenever the load has changed in a way that peers should learn at once. */
  fingerprint: string
}

/** State of the view on which the schedule decides, read once per round. */
export interface RoundState extends LoadState {
  now: number
  /** True while the store confirms the view and this host holds no provisional restriction. */
  canRelax: boolean
}

/** The latest exchange in which a process received a report of this one. */
interface Delivery {
  /** Start of the exchange if this host began it, or arrival if this host answered it. */
  at: number
  /** State of the report that the process received; see {@link LoadState.fingerprint}. */
  fingerprint: string
}

/**
 * Deviation from the interval after which a host of a pair begins the next exchange. The host with
 * the lower voter id begins this much early, because rounds run on a timer and the last exchange
 * may be slightly younger than the interval. The other begins this much late, so that two hosts
 * whose rounds coincide do not both begin.
 */
const slackMs = pollIntervalMs / 2

/**
 * Decides with which processes an exchange is due. An exchange delivers the reports of both sides,
 * so one that the peer began counts as well.
 *
 * While the store does not confirm the view, every process is due in every round, because only
 * exchanges that this host begins itself confirm the view.
 */
export class ExchangeSchedule {
  readonly #ownVoter: string
  readonly #deliveries = new Map<string, Delivery>()

  /** @param ownVoter Voter id of this process. */
  constructor(ownVoter: string) {
    this.#ownVoter = ownVoter
  }

  /** Records that a process received a report; `fingerprint` identifies its content. */
  recordDelivery(voter: string, at: number, fingerprint: string): void {
    const latest = this.#deliveries.get(voter)
    // The answer to an exchange may arrive after the answer to a later one.
    if (latest === undefined || at >= latest.at) this.#deliveries.set(voter, { at, fingerprint })
  }

  /** Whether an exchange with the process is due. */
  isDue(voter: string, { now, canRelax, isBusy, fingerprint }: RoundState): boolean {
    const latest = this.#deliveries.get(voter)
    if (!canRelax || latest?.fingerprint !== fingerprint) return true
    const interval = isBusy ? pollIntervalMs : relaxedExchangeIntervalMs
    return now - latest.at >= interval + (this.#ownVoter < voter ? -slackMs : slackMs)
  }

  /** Removes processes that are not in `voters`. */
  retain(voters: ReadonlySet<string>): void {
    for (const voter of this.#deliveries.keys())
      if (!voters.has(voter)) this.#deliveries.delete(voter)
  }
}
