import { heapHandle, IndexedHeap, type HeapHandle } from '@bulrushbridge/team-share'
import type { EntryRequest, Start, StartRefusal } from './types.js'

/** A queued request. */
export interface Waiter<R> {
  readonly req: EntryRequest
  readonly seq: number
  readonly resolve: (start: Start<R>) => void
  readonly reject: (err: Error) => void
  /** Place in the team's order of starting. */
  readonly first: HeapHandle<Waiter<R>>
  /** Place among the team's newest. */
  readonly newest: HeapHandle<Waiter<R>>
  /** Place in the order of deadlines over all teams. */
  readonly expiry: HeapHandle<Waiter<R>>
  onAbort?: () => void
}

/** A waiter outside all orders. */
export function createWaiter<R>(
  fields: Pick<Waiter<R>, 'req' | 'seq' | 'resolve' | 'reject'>,
): Waiter<R> {
  const waiter = { ...fields } as Waiter<R>
  return Object.assign(waiter, {
    first: heapHandle(waiter),
    newest: heapHandle(waiter),
    expiry: heapHandle(waiter),
  })
}

/** The waiting requests of one team and its running count. */
export class TeamLine<R> {
  running = 0
  refusal: StartRefusal | undefined
  readonly first: IndexedHeap<Waiter<R>>
  readonly newest = new IndexedHeap<Waiter<R>>((a, b) => a.seq > b.seq)
  readonly team: string

  constructor(team: string, order: 'deadline' | 'arrival') {
    this.team = team
    this.first = new IndexedHeap<Waiter<R>>(
      order === 'deadline'
        ? (a, b) =>
            a.req.deadline < b.req.deadline || (a.req.deadline === b.req.deadline && a.seq < b.seq)
        : (a, b) => a.seq < b.seq,
    )
  }

  get waiting(): number {
    return this.first.size
  }

  /**
   * Estimated wait of a newcomer when requests take `meanMs` on average, in milliseconds: as many
   * start in that time as are running now. Gaps between starts are not measured, because starts
   * come in groups and a pause between two groups looked like a stalled team.
   */
  waitMs(meanMs: number): number {
    return ((this.waiting + 1) * meanMs) / Math.max(1, this.running)
  }
}
