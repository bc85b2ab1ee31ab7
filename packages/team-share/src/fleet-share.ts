import type { Clock } from '@bulrushbridge/errors'
import { allocate, type Allocation } from './allocate.js'
import type { FairQueue } from './fair-queue.js'
import { PoolDemand, type TeamDemand } from './pool-demand.js'

/** Options of {@link createFleetShare}. */
export interface FleetShareOptions {
  /** Id of this entry host. */
  member: string
  /** Order whose weights follow the allocation. */
  queue: FairQueue
  clock: Clock
  /** Slots of the pool's runners in service. */
  slots: () => number
  /** A map that is replaced, never changed, when the shares change; so are the limits. */
  shares: () => ReadonlyMap<string, number>
  limits?: () => ReadonlyMap<string, number>
  /** Demand of this entry host, read at each update. */
  demand: () => readonly TeamDemand[]
  /** Number of the rounding period; should be the same at every entry host. */
  rotation?: () => number
}

/** This entry host's part of a pool. */
export interface FleetShare {
  /** Stores what a peer reported; replaces its earlier report. */
  report(member: string, demand: readonly TeamDemand[]): void
  /** Drops a member that left. */
  forget(member: string): void
  /**
   * Computes the allocation and sets the queue's weights; call after reports and often. While
   * neither the demand, the configuration nor the rounding period has changed, it only returns the
   * last result.
   */
  update(): Allocation
  /** Requests that this entry host may have running now, over all teams. */
  slots(): number
}

/** Length of a rounding period. */
const rotationPeriodMs = 1000

/** Everything that an allocation depends on. */
interface Input {
  slots: number
  shares: ReadonlyMap<string, number>
  limits: ReadonlyMap<string, number> | undefined
  /** Undefined when the allocation does not depend on it. */
  rotation: number | undefined
  /** Revision of the demand. */
  revision: number
}

/**
 * Fairness over the whole fleet: every entry host computes the same allocation from the exchanged
 * demand, takes its part of the slots, and orders its teams by their exact parts of it. A team's
 * parts add up to its share however its requests are spread over entry hosts.
 *
 * @example
 * const fleet = createFleetShare({ member: 'e1', queue, clock, slots, shares, demand })
 * fleet.report('e2', [{ team: 'a', running: 3, waiting: 10 }])
 * fleet.update()
 */
export function createFleetShare(opts: FleetShareOptions): FleetShare {
  const demand = new PoolDemand(opts.member, opts.clock)
  const rotation = opts.rotation ?? (() => Math.floor(Date.now() / rotationPeriodMs))
  let slots = opts.slots()
  let last: { input: Input; result: Allocation } | undefined

  const readInput = (): Input => ({
    slots: opts.slots(),
    shares: opts.shares(),
    limits: opts.limits?.(),
    rotation: rotation(),
    revision: demand.refresh(opts.demand()),
  })

  return {
    report(member, reported) {
      demand.report(member, reported)
    },
    forget(member) {
      demand.forget(member)
    },
    update() {
      const input = readInput()
      if (last !== undefined && isSameInput(last.input, input)) return last.result
      const { shares, limits } = input
      const all = demand.all()
      // Without demand there is nothing to round, so the rounding period does not matter.
      if (all.length === 0) input.rotation = undefined
      const result = allocate({
        slots: input.slots,
        shares,
        demand: all,
        ...(input.rotation === undefined ? {} : { rotation: input.rotation }),
        ...(limits && { limits }),
      })
      slots = (result.members.get(opts.member) ?? 0) + Math.floor(result.spare)
      opts.queue.setWeights(weightsOf(result, opts.member, shares))
      last = { input, result }
      return result
    },
    slots: () => slots,
  }
}

function isSameInput(a: Input, b: Input): boolean {
  return (
    a.slots === b.slots &&
    a.shares === b.shares &&
    a.limits === b.limits &&
    a.revision === b.revision &&
    (a.rotation === undefined || a.rotation === b.rotation)
  )
}

/** A team with no demand here is weighted as if it had one request. */
function* weightsOf(
  result: Allocation,
  member: string,
  shares: ReadonlyMap<string, number>,
): Generator<[string, number]> {
  for (const [team, share] of shares) {
    const exact = result.exact(member, team)
    yield [team, exact > 0 ? exact : Math.min(1, share * result.level)]
  }
}
