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

/** The waiting requests of one team, its running count and its measured rate of starts. */
export class TeamLine<R> {
  running = 0
  refusal: StartRefusal | undefined
  readonly first: IndexedHeap<Waiter<R>>
  readonly newest = new IndexedHeap<Waiter<R>>((a, b) => a.seq > b.seq)
  readonly team: string
  #gapMs: number | undefined
  #lastStart: number | undefined

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

  /** Notes a start out of the queue; gaps are measured only while requests wait. */
  noteStart(now: number): void {
    if (this.#lastStart !== undefined) {
      const gap = now - this.#lastStart
      this.#gapMs = this.#gapMs === undefined ? gap : this.#gapMs + gapGain * (gap - this.#gapMs)
    }
    this.#lastStart = this.waiting > 0 ? now : undefined
    if (this.waiting === 0) this.#gapMs = undefined
  }

  /** Estimated wait of a newcomer, in milliseconds; 0 while nothing has been measured. */
  waitMs(now: number): number {
    if (this.#gapMs === undefined || this.#lastStart === undefined) return 0
    // A stalled team's estimate grows with the time since its last start.
    const gap = Math.max(this.#gapMs, (now - this.#lastStart) / stallFactor)
    return (this.waiting + 1) * gap
  }
}

/** Part of a new gap in the average. */
const gapGain = 1 / 16

/** Gaps vary; only a pause of several mean gaps shows that starts have slowed down. */
const stallFactor = 4
