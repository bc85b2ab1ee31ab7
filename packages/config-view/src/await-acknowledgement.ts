import { toChangeMessage } from './change-history.js'
import type { View } from './config-view.js'
import { peersOf, voterOf } from './membership.js'
import type { AcknowledgementCondition } from './acknowledgements.js'
import type { Announcement } from './peer-config-calls.js'
import { callTimeoutMs, delay, retryDelayMs } from './timing.js'

/** Options of {@link awaitAcknowledgement}. */
export interface AwaitAcknowledgementOptions {
  /** Whether a process acknowledges the change. */
  condition: AcknowledgementCondition
  /** Whether enough processes acknowledge the change. */
  isAccepted: () => boolean
  /** When to stop waiting, on the view's clock. */
  deadline: number
  /** Announcement sent to each peer; the newest change by default. */
  message?: Announcement
}

/** Time to wait for further hosts after acceptance, so that fewer are reported as missing. */
const lateAcknowledgementMs = 300

/**
 * Announces a change to every peer. Waits until all acknowledge it, until a short time after
 * `isAccepted` becomes true, or until the deadline.
 */
export async function awaitAcknowledgement(
  view: View,
  opts: AwaitAcknowledgementOptions,
): Promise<void> {
  const lastChange = view.lastChange()
  const message = opts.message ?? { changes: lastChange ? [toChangeMessage(lastChange)] : [] }
  let acceptedAt: number | undefined
  const isDone = () => {
    const now = view.clock.now()
    if (view.acknowledgements.hasAll(view.committed(), opts.condition)) return true
    if (opts.isAccepted()) acceptedAt ??= now
    return acceptedAt !== undefined && now >= acceptedAt + lateAcknowledgementMs
  }
  await announceToPeers(view, opts.deadline, isDone, opts.condition, message)
}

/** Exchanges once with every peer; returns early when `isDone` is true or the deadline passes. */
export async function exchangeWithPeers(
  view: View,
  deadline: number,
  isDone: () => boolean,
): Promise<void> {
  const contacted = new Set<string>()
  const peers = peersOf(view.committed(), view.member.id)
  const isFinished = () => isDone() || peers.every(({ id }) => contacted.has(id))
  await Promise.race([
    Promise.allSettled(
      peers.map(async peer => {
        await view.exchangeWith(peer, deadline)
        contacted.add(peer.id)
      }),
    ),
    waitUntil(view, deadline, isFinished),
  ])
}

/** Repeats the announcement to each peer until it acknowledges, `isDone` is true or time is up. */
async function announceToPeers(
  view: View,
  deadline: number,
  isDone: () => boolean,
  condition: AcknowledgementCondition,
  message: Announcement,
): Promise<void> {
  const tasks = peersOf(view.committed(), view.member.id).map(async peer => {
    const hasAcknowledged = () =>
      view.acknowledgements.acknowledgingVoters(condition).has(voterOf(peer))
    while (!isDone() && !hasAcknowledged() && view.clock.now() < deadline && !view.isClosed) {
      const opts = { deadline: Math.min(deadline, view.clock.now() + callTimeoutMs) }
      await view.peers
        .announce(peer, message, opts)
        // An exchange follows, because the response to the announcement lacks the incarnation that
        // is needed to count the acknowledgement.
        .then(() => view.exchangeWith(peer, opts.deadline))
        .catch(() => undefined)
      if (!hasAcknowledged()) await delay(view.timers, retryDelayMs)
    }
  })
  await Promise.race([Promise.allSettled(tasks), waitUntil(view, deadline, isDone)])
}

async function waitUntil(view: View, deadline: number, isDone: () => boolean): Promise<void> {
  while (!isDone() && view.clock.now() < deadline && !view.isClosed) await delay(view.timers, 10)
}
