import { toChangeMessage } from './change-history.js'
import type { View } from './config-view.js'
import { peersOf, voteOf } from './membership.js'
import type { Acknowledged } from './acknowledgements.js'
import type { Announcement } from './peer-config.js'
import { callMs, pause, retryMs } from './timing.js'

/** Options of {@link awaitAcknowledgement}. */
export interface AwaitOptions {
  holds: Acknowledged
  isAccepted: () => boolean
  deadline: number
  /** Sent to each peer; the newest change unless given. */
  message?: Announcement
}

/** Time in which hosts beyond the majority may still acknowledge, so that fewer are named. */
const stragglerMs = 300

/**
 * Announces a change to every peer and waits until all acknowledge it, until `isAccepted` and a
 * short time more, or until the deadline.
 */
export async function awaitAcknowledgement(view: View, opts: AwaitOptions): Promise<void> {
  const row = view.lastChange()
  const message = opts.message ?? { changes: row ? [toChangeMessage(row)] : [] }
  let acceptedAt: number | undefined
  const isDone = () => {
    const now = view.clock.now()
    if (view.acknowledgements.hasAll(view.committed(), opts.holds)) return true
    if (opts.isAccepted()) acceptedAt ??= now
    return acceptedAt !== undefined && now >= acceptedAt + stragglerMs
  }
  await contact(view, opts.deadline, isDone, opts.holds, message)
}

/** Exchanges with every peer until `isDone` or the deadline. */
export async function meet(view: View, deadline: number, isDone: () => boolean): Promise<void> {
  const asked = new Set<string>()
  const peers = peersOf(view.committed(), view.member.id)
  const all = () => isDone() || peers.every(({ id }) => asked.has(id))
  await Promise.race([
    Promise.allSettled(
      peers.map(async peer => {
        await view.exchangeWith(peer, deadline)
        asked.add(peer.id)
      }),
    ),
    until(view, deadline, all),
  ])
}

async function contact(
  view: View,
  deadline: number,
  isDone: () => boolean,
  holds: Acknowledged,
  message: Announcement,
): Promise<void> {
  const tasks = peersOf(view.committed(), view.member.id).map(async peer => {
    const isHeld = () => view.acknowledgements.votes(holds).has(voteOf(peer))
    while (!isDone() && !isHeld() && view.clock.now() < deadline && !view.closed) {
      const opts = { deadline: Math.min(deadline, view.clock.now() + callMs) }
      await view.peers
        .announce(peer, message, opts)
        // The response to the announcement lacks the incarnation, which decides whether it counts.
        .then(() => view.exchangeWith(peer, opts.deadline))
        .catch(() => undefined)
      if (!isHeld()) await pause(view.timers, retryMs)
    }
  })
  await Promise.race([Promise.allSettled(tasks), until(view, deadline, isDone)])
}

async function until(view: View, deadline: number, isDone: () => boolean): Promise<void> {
  while (!isDone() && view.clock.now() < deadline && !view.closed) await pause(view.timers, 10)
}
