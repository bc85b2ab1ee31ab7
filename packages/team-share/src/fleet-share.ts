import type { Clock } from '@bulrushbridge/errors'
import { allocate, type Allocation } from './allocate.js'
import type { FairQueue } from './fair-queue.js'
import { DemandReports, type TeamDemand } from './demand-reports.js'

/** Options of {@link createFleetShare}. */
export interface FleetShareOptions {
  /** Id of this entry host. */
  member: string
  /** Order of the teams at this entry host; its weights are set from the allocation. */
  queue: FairQueue
  clock: Clock
  /** Returns the slots of the pool's runners in service. */
  slots: () => number
  /**
   * Returns the share of each team, as a new map after each change, because maps are compared by
   * identity.
   */
  shares: () => ReadonlyMap<string, number>
  /** Returns the upper limit of running requests per team, as a new map after each change. */
  limits?: () => ReadonlyMap<string, number>
  /** Returns the demand of this entry host; called at each update. */
  demand: () => readonly TeamDemand[]
  /** Returns the number of the rounding period, which should be the same at every entry host. */
  roundingPeriod?: () => number
}

/** This entry host's part of a pool's slots. */
export interface FleetShare {
  /** Stores the demand that a peer reported, in place of its earlier report. */
  report(member: string, demand: readonly TeamDemand[]): void
  /** Removes the demand of a member that left. */
  removeMember(member: string): void
  /**
   * Computes the allocation and sets the queue's weights. Call it after each report and at short
   * intervals. While the demand, the configuration and the rounding period are unchanged, it only
   * returns the last result.
   */
  update(): Allocation
  /** Returns how many requests this entry host may have running now, over all teams. */
  slots(): number
}

const roundingPeriodMs = 1000

/** All values that an allocation depends on. */
interface AllocationInput {
  slots: number
  shares: ReadonlyMap<string, number>
  limits: ReadonlyMap<string, number> | undefined
  /** Undefined when the allocation does not depend on the rounding period. */
  roundingPeriod: number | undefined
  /** Revision of the demand. */
  revision: number
}

/**
 * Creates the division of a pool's slots among entry hosts. Every entry host computes the same
 * allocation from the exchanged demand, uses its part of the slots and weights its teams by their
 * exact allocation there. A team's parts add up to its share, however its requests are distributed
 * over entry hosts.
 *
 * @example
 * const fleet = createFleetShare({ member: 'e1', queue, clock, slots, shares, demand })
 * fleet.report('e2', [{ team: 'a', running: 3, waiting: 10 }])
 * fleet.update()
 */
export function createFleetShare(opts: FleetShareOptions): FleetShare {
  const demand = new DemandReports(opts.member, opts.clock)
  const currentPeriod = opts.roundingPeriod ?? (() => Math.floor(Date.now() / roundingPeriodMs))
  let slots = opts.slots()
  let last: { input: AllocationInput; result: Allocation } | undefined

  const readInput = (): AllocationInput => ({
    slots: opts.slots(),
    shares: opts.shares(),
    limits: opts.limits?.(),
    roundingPeriod: currentPeriod(),
    revision: demand.refresh(opts.demand()),
  })

  return {
    report(member, reported) {
      demand.report(member, reported)
    },
    removeMember(member) {
      demand.removeMember(member)
    },
    update() {
      const input = readInput()
      if (last !== undefined && isSameInput(last.input, input)) return last.result
      const { shares, limits } = input
      const all = demand.all()
      // Without demand there is nothing to round, so the rounding period does not matter.
      if (all.length === 0) input.roundingPeriod = undefined
      const result = allocate({
        slots: input.slots,
        shares,
        demand: all,
        ...(input.roundingPeriod === undefined ? {} : { roundingPeriod: input.roundingPeriod }),
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

function isSameInput(a: AllocationInput, b: AllocationInput): boolean {
  return (
    a.slots === b.slots &&
    a.shares === b.shares &&
    a.limits === b.limits &&
    a.revision === b.revision &&
    (a.roundingPeriod === undefined || a.roundingPeriod === b.roundingPeriod)
  )
}

/** Yields each team's weight. A team with no demand here is weighted as if it had one request. */
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
