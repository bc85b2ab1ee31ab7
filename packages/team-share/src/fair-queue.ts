import type { Clock } from '@bulrushbridge/errors'
import { weightWithoutShare } from './allocate.js'
import { IndexedHeap, createHeapHandle, type HeapHandle } from './indexed-heap.js'

/** Options of {@link createFairQueue}. */
export interface FairQueueOptions {
  /** Weight of each team. */
  shares: ReadonlyMap<string, number>
  clock: Clock
  /** Cost assumed for a team that has not finished any request, in slot-milliseconds. */
  initialCostMs?: number
}

/** Estimated cost that {@link FairQueue.recordStart} charged for a request in progress. */
export interface Charge {
  readonly team: string
  readonly estimateMs: number
  readonly startedAt: number
}

/** Order in which teams are served. The requests themselves are held by the admission queue. */
export interface FairQueue {
  /** Marks that a team has waiting requests. */
  activate(team: string): void
  /** Marks that a team has no waiting requests. */
  deactivate(team: string): void
  /** Removes a team from the order until {@link unblock}, even while it has waiting requests. */
  block(team: string): void
  unblock(team: string): void
  /** Returns the team to serve next, or undefined when no team is ready. */
  next(): string | undefined
  /** Charges the estimated cost of a request that starts now. */
  recordStart(team: string): Charge
  /** Replaces the estimated cost by the time that the request took. */
  recordEnd(charge: Charge): void
  /** Charges usage that another entry host reported, in slot-milliseconds. */
  charge(team: string, slotMs: number): void
  /** Replaces weights; teams left out keep theirs. */
  setWeights(weights: Iterable<readonly [string, number]>): void
  /** Expected time of a request, in milliseconds. */
  expectedMs(team: string): number
  /** Time that few requests exceed: the mean plus four mean deviations, in milliseconds. */
  boundMs(team: string): number
  /** Number of teams that {@link next} chooses from. */
  readonly readyCount: number
}

/** Weight of a new sample in the moving average, which covers about the last 16 requests. */
const sampleGain = 1 / 16

const defaultCostMs = 100

/**
 * Number of mean deviations between the mean and the bound. With two, about one request in 20
 * exceeded the bound; a request that starts with only the bound left before its deadline is then
 * late.
 */
const boundDeviations = 4

/**
 * A sample counts as at most this many times the bound. Without the cap, one request of 1 s among
 * others of 100 ms raised the bound to 400 ms, and every queued request was refused for lack of
 * time.
 */
const outlierFactor = 2

interface TeamState {
  readonly team: string
  weight: number
  /** Virtual time at which the team's next request starts. */
  startTag: number
  meanMs: number
  deviationMs: number
  samples: number
  hasWaiting: boolean
  isBlocked: boolean
  readonly handle: HeapHandle<TeamState>
}

/**
 * Creates a weighted start-time fair queue over teams. The virtual time is the start tag of the
 * latest request. A team that was idle continues from the virtual time, so it gets no credit for
 * its idle time. Each operation takes O(log n), except `setWeights`, which takes O(n).
 *
 * @example
 * const queue = createFairQueue({ shares: new Map([['a', 3], ['b', 1]]), clock })
 * queue.activate('a')
 * const charge = queue.recordStart(queue.next() ?? 'a')
 * queue.recordEnd(charge)
 */
export function createFairQueue(opts: FairQueueOptions): FairQueue {
  const initialMs = opts.initialCostMs ?? defaultCostMs
  const states = new Map<string, TeamState>()
  const heap = new IndexedHeap<TeamState>(
    (a, b) => a.startTag < b.startTag || (a.startTag === b.startTag && a.team < b.team),
  )
  let virtualTime = 0

  function stateOf(team: string): TeamState {
    const known = states.get(team)
    if (known) return known
    const created = createState(team, opts.shares.get(team) ?? weightWithoutShare, initialMs)
    states.set(team, created)
    return created
  }

  function advanceStartTag(state: TeamState, slotMs: number): void {
    state.startTag += slotMs / state.weight
    heap.update(state.handle)
  }

  function changeWeight(state: TeamState, weight: number): void {
    const next = Math.max(weight, weightWithoutShare)
    // The distance from the virtual time is a cost divided by the weight, so it is scaled to the
    // new weight. Otherwise one request charged at a small weight would keep the team waiting long
    // after its weight was raised.
    state.startTag = virtualTime + ((state.startTag - virtualTime) * state.weight) / next
    state.weight = next
  }

  return {
    activate(team) {
      const state = stateOf(team)
      if (state.hasWaiting) return
      state.hasWaiting = true
      state.startTag = Math.max(state.startTag, virtualTime)
      if (!state.isBlocked) heap.push(state.handle)
    },
    deactivate(team) {
      const state = stateOf(team)
      state.hasWaiting = false
      heap.remove(state.handle)
    },
    block(team) {
      const state = stateOf(team)
      state.isBlocked = true
      heap.remove(state.handle)
    },
    unblock(team) {
      const state = stateOf(team)
      if (!state.isBlocked) return
      state.isBlocked = false
      // The team keeps its place but gets credit for at most one request, because it is not
      // compensated for slots that its limit withheld.
      state.startTag = Math.max(state.startTag, virtualTime - state.meanMs / state.weight)
      if (state.hasWaiting) heap.push(state.handle)
    },
    next: () => heap.peek()?.team,
    recordStart(team) {
      const state = stateOf(team)
      if (!state.hasWaiting) state.startTag = Math.max(state.startTag, virtualTime)
      virtualTime = Math.max(virtualTime, state.startTag)
      advanceStartTag(state, state.meanMs)
      return { team, estimateMs: state.meanMs, startedAt: opts.clock.now() }
    },
    recordEnd({ team, estimateMs, startedAt }) {
      const state = stateOf(team)
      const tookMs = Math.max(0, opts.clock.now() - startedAt)
      advanceStartTag(state, tookMs - estimateMs)
      recordSample(state, tookMs)
    },
    charge(team, slotMs) {
      advanceStartTag(stateOf(team), slotMs)
    },
    setWeights(weights) {
      for (const [team, weight] of weights) changeWeight(stateOf(team), weight)
      heap.rebuild()
    },
    expectedMs: team => states.get(team)?.meanMs ?? initialMs,
    boundMs(team) {
      const state = states.get(team)
      return state ? boundOf(state) : initialMs
    },
    get readyCount() {
      return heap.size
    },
  }
}

function createState(team: string, weight: number, meanMs: number): TeamState {
  const state: Omit<TeamState, 'handle'> = {
    team,
    weight: Math.max(weight, weightWithoutShare),
    startTag: 0,
    meanMs,
    deviationMs: 0,
    samples: 0,
    hasWaiting: false,
    isBlocked: false,
  }
  const completed = state as TeamState
  return Object.assign(completed, { handle: createHeapHandle(completed) })
}

function boundOf(state: TeamState): number {
  return state.meanMs + boundDeviations * state.deviationMs
}

/**
 * Updates the exponentially weighted mean and mean deviation. The first samples have equal weight.
 */
function recordSample(state: TeamState, measuredMs: number): void {
  const limitMs = state.samples === 0 ? Number.POSITIVE_INFINITY : outlierFactor * boundOf(state)
  const tookMs = Math.min(measuredMs, limitMs)
  state.samples++
  const gain = Math.max(sampleGain, 1 / state.samples)
  const error = tookMs - state.meanMs
  state.meanMs += gain * error
  if (state.samples > 1) state.deviationMs += gain * (Math.abs(error) - state.deviationMs)
}
