import { createHeapHandle, IndexedHeap, type HeapHandle } from '@bulrushbridge/team-share'
import type { AdmissionRequest, AdmittedRequest, StartRefusal } from './types.js'

/** A request that waits in the queue, with its position in each of the queue's orders. */
export interface QueuedRequest<R> {
  readonly req: AdmissionRequest
  readonly seq: number
  readonly resolve: (admitted: AdmittedRequest<R>) => void
  readonly reject: (err: Error) => void
  /** Position in the order in which the team's requests start. */
  readonly startHandle: HeapHandle<QueuedRequest<R>>
  /** Position in the team's order from newest to oldest. */
  readonly newestHandle: HeapHandle<QueuedRequest<R>>
  /** Position in the order of deadlines over all teams. */
  readonly deadlineHandle: HeapHandle<QueuedRequest<R>>
  onAbort?: () => void
}

/** Creates a queued request that is not in any of the orders yet. */
export function createQueuedRequest<R>(
  fields: Pick<QueuedRequest<R>, 'req' | 'seq' | 'resolve' | 'reject'>,
): QueuedRequest<R> {
  const queued = { ...fields } as QueuedRequest<R>
  return Object.assign(queued, {
    startHandle: createHeapHandle(queued),
    newestHandle: createHeapHandle(queued),
    deadlineHandle: createHeapHandle(queued),
  })
}

/** The queued requests of one team, and the number of its running ones. */
export class TeamQueue<R> {
  running = 0
  refusal: StartRefusal | undefined
  readonly startOrder: IndexedHeap<QueuedRequest<R>>
  readonly newestFirst = new IndexedHeap<QueuedRequest<R>>((a, b) => a.seq > b.seq)
  readonly team: string

  constructor(team: string, order: 'deadline' | 'arrival') {
    this.team = team
    this.startOrder = new IndexedHeap<QueuedRequest<R>>(
      order === 'deadline'
        ? (a, b) =>
            a.req.deadline < b.req.deadline || (a.req.deadline === b.req.deadline && a.seq < b.seq)
        : (a, b) => a.seq < b.seq,
    )
  }

  get waiting(): number {
    return this.startOrder.size
  }

  /**
   * Estimates how long a new request of the team would wait, in milliseconds. It assumes that in
   * `meanRunMs`, the mean run time, as many requests start as are running now. The gaps between
   * starts are not measured: starts come in groups, and a pause between two groups was taken for a
   * stalled team.
   */
  estimateWaitMs(meanRunMs: number): number {
    return ((this.waiting + 1) * meanRunMs) / Math.max(1, this.running)
  }
}
