import type { Clock } from '@bulrushbridge/errors'
import { noShare } from './allocate.js'
import { IndexedHeap, heapHandle, type HeapHandle } from './indexed-heap.js'

/** Options of {@link createFairQueue}. */
export interface FairQueueOptions {
  /** Weight of each team. */
  shares: ReadonlyMap<string, number>
  clock: Clock
  /** Cost assumed for a team that has not finished any request, in slot-milliseconds. */
  initialCostMs?: number
}

/** Request in progress, as {@link FairQueue.started} charged it. */
export interface Charge {
  readonly team: string
  readonly estimateMs: number
  readonly startedAt: number
}

/** The order of teams; requests themselves are held by the admission queue. */
export interface FairQueue {
  /** Marks that a team has waiting requests. */
  activate(team: string): void
  /** Marks that a team has none. */
  deactivate(team: string): void
  /** Takes a team with waiting requests out of the order until {@link unblock}. */
  block(team: string): void
  unblock(team: string): void
  /** The team to serve next, or undefined. */
  next(): string | undefined
  /** Charges the estimated cost of a request that starts now. */
  started(team: string): Charge
  /** Replaces the estimate by the time that the request took. */
  ended(charge: Charge): void
  /** Charges usage that another entry host reported, in slot-milliseconds. */
  charge(team: string, slotMs: number): void
  /** Replaces weights; teams left out keep theirs. */
  setWeights(weights: Iterable<readonly [string, number]>): void
  /** Expected time of a request, in milliseconds. */
  expectedMs(team: string): number
  /** Time that few requests exceed: mean and four times the mean deviation, in milliseconds. */
  boundMs(team: string): number
  /** Number of teams that {@link next} chooses from. */
  readonly ready: number
}

/** Part of a new sample in the average; about the last 16 requests count. */
const costGain = 1 / 16

const defaultCostMs = 100

/**
 * Mean deviations between the mean and the bound. About one request in 20 exceeded two of them,
 * and each one that is started with only the bound left is late.
 */
const boundDeviations = 4

/**
 * A sample counts as at most this many times the bound. One request of 1 s among others of 100 ms
 * raised the bound to 400 ms, at which every queued request was refused for lack of time.
 */
const outlierFactor = 2

interface TeamState {
  readonly team: string
  weight: number
  /** Virtual time at which the team's next request starts. */
  tag: number
  meanMs: number
  deviationMs: number
  samples: number
  waiting: boolean
  blocked: boolean
  readonly handle: HeapHandle<TeamState>
}

/**
 * Start-time weighted fair queueing over teams. The virtual time is the start tag of the latest
 * request; a team that was idle joins there, so it gets no credit for the past. Each operation
 * takes O(log n), except `setWeights` with O(n).
 *
 * @example
 * const queue = createFairQueue({ shares: new Map([['a', 3], ['b', 1]]), clock })
 * queue.activate('a')
 * const charge = queue.started(queue.next() ?? 'a')
 * queue.ended(charge)
 */
export function createFairQueue(opts: FairQueueOptions): FairQueue {
  const initialMs = opts.initialCostMs ?? defaultCostMs
  const states = new Map<string, TeamState>()
  const heap = new IndexedHeap<TeamState>(
    (a, b) => a.tag < b.tag || (a.tag === b.tag && a.team < b.team),
  )
  let virtualTime = 0

  function stateOf(team: string): TeamState {
    const known = states.get(team)
    if (known) return known
    const created = createState(team, opts.shares.get(team) ?? noShare, initialMs)
    states.set(team, created)
    return created
  }

  function advance(state: TeamState, slotMs: number): void {
    state.tag += slotMs / state.weight
    heap.update(state.handle)
  }

  function reweight(state: TeamState, weight: number): void {
    const next = Math.max(weight, noShare)
    // The lead is a debt in slot-milliseconds; unscaled, one request charged at a small weight
    // would keep the team waiting long after its weight rose.
    state.tag = virtualTime + ((state.tag - virtualTime) * state.weight) / next
    state.weight = next
  }

  return {
    activate(team) {
      const state = stateOf(team)
      if (state.waiting) return
      state.waiting = true
      state.tag = Math.max(state.tag, virtualTime)
      if (!state.blocked) heap.push(state.handle)
    },
    deactivate(team) {
      const state = stateOf(team)
      state.waiting = false
      heap.remove(state.handle)
    },
    block(team) {
      const state = stateOf(team)
      state.blocked = true
      heap.remove(state.handle)
    },
    unblock(team) {
      const state = stateOf(team)
      if (!state.blocked) return
      state.blocked = false
      // The place is kept, but slots that the limit forbade are not owed: at most one request.
      state.tag = Math.max(state.tag, virtualTime - state.meanMs / state.weight)
      if (state.waiting) heap.push(state.handle)
    },
    next: () => heap.peek()?.team,
    started(team) {
      const state = stateOf(team)
      if (!state.waiting) state.tag = Math.max(state.tag, virtualTime)
      virtualTime = Math.max(virtualTime, state.tag)
      advance(state, state.meanMs)
      return { team, estimateMs: state.meanMs, startedAt: opts.clock.now() }
    },
    ended({ team, estimateMs, startedAt }) {
      const state = stateOf(team)
      const tookMs = Math.max(0, opts.clock.now() - startedAt)
      advance(state, tookMs - estimateMs)
      learn(state, tookMs)
    },
    charge(team, slotMs) {
      advance(stateOf(team), slotMs)
    },
    setWeights(weights) {
      for (const [team, weight] of weights) reweight(stateOf(team), weight)
      heap.rebuild()
    },
    expectedMs: team => states.get(team)?.meanMs ?? initialMs,
    boundMs(team) {
      const state = states.get(team)
      return state ? boundOf(state) : initialMs
    },
    get ready() {
      return heap.size
    },
  }
}

function createState(team: string, weight: number, meanMs: number): TeamState {
  const state: Omit<TeamState, 'handle'> = {
    team,
    weight: Math.max(weight, noShare),
    tag: 0,
    meanMs,
    deviationMs: 0,
    samples: 0,
    waiting: false,
    blocked: false,
  }
  const full = state as TeamState
  return Object.assign(full, { handle: heapHandle(full) })
}

function boundOf(state: TeamState): number {
  return state.meanMs + boundDeviations * state.deviationMs
}

/** Exponentially weighted mean and mean deviation; the first samples are averaged evenly. */
function learn(state: TeamState, measuredMs: number): void {
  const limitMs = state.samples === 0 ? Number.POSITIVE_INFINITY : outlierFactor * boundOf(state)
  const tookMs = Math.min(measuredMs, limitMs)
  state.samples++
  const gain = Math.max(costGain, 1 / state.samples)
  const error = tookMs - state.meanMs
  state.meanMs += gain * error
  if (state.samples > 1) state.deviationMs += gain * (Math.abs(error) - state.deviationMs)
}
