import { pollIntervalMs, relaxedExchangeMs } from './timing.js'

/** The load that the next exchange would report. */
export interface LoadState {
  /** True while work is running or waiting here; peers need such reports every interval. */
  busy: boolean
  /** Differs whenever peers should learn of a change at once. */
  key: string
}

/** What the schedule needs to know of the view, read once per round. */
export interface RoundState extends LoadState {
  now: number
  /** Whether the store confirms the view and no provisional restriction is held. */
  steady: boolean
}

interface Contact {
  /** Start of an exchange that this host began, or arrival of one that it answered. */
  at: number
  /** Key of the report that the peer received. */
  key: string
}

/**
 * Difference from the interval at which either side of a pair begins. The side with the lower id is
 * early, because rounds run on a timer and the exchange before may seem a little too young. The
 * other side is late, so that two hosts in step do not both begin.
 */
const slackMs = pollIntervalMs / 2

/**
 * Decides with which processes an exchange is due. An exchange delivers the reports of both sides,
 * so one that the peer began counts as well.
 *
 * While the store does not confirm the view, every process is due in every round, because only
 * contacts that this host begins itself confirm the view.
 */
export class ExchangeSchedule {
  readonly #self: string
  readonly #contacts = new Map<string, Contact>()

  /** @param self Vote of this process. */
  constructor(self: string) {
    this.#self = self
  }

  /** Registers that a process received the report with `key`. */
  delivered(vote: string, at: number, key: string): void {
    const known = this.#contacts.get(vote)
    // An answer may arrive after that of a later exchange.
    if (known === undefined || at >= known.at) this.#contacts.set(vote, { at, key })
  }

  isDue(vote: string, { now, steady, busy, key }: RoundState): boolean {
    const contact = this.#contacts.get(vote)
    if (!steady || contact?.key !== key) return true
    const interval = busy ? pollIntervalMs : relaxedExchangeMs
    return now - contact.at >= interval + (this.#self < vote ? -slackMs : slackMs)
  }

  /** Forgets processes that are not registered. */
  retain(votes: ReadonlySet<string>): void {
    for (const vote of this.#contacts.keys()) if (!votes.has(vote)) this.#contacts.delete(vote)
  }
}
