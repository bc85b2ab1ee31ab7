import type { Clock } from '@bulrushbridge/errors'
import { allocate, type Allocation, type Demand } from './allocate.js'
import type { FairQueue } from './fair-queue.js'

/** Running and waiting requests of one team at one entry host. */
export type TeamDemand = Omit<Demand, 'member'>

/** Options of {@link createFleetShare}. */
export interface FleetShareOptions {
  /** Id of this entry host. */
  member: string
  /** Order whose weights follow the allocation. */
  queue: FairQueue
  clock: Clock
  /** Slots of the pool's runners in service. */
  slots: () => number
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
  /** Computes the allocation anew and sets the queue's weights; call after reports and often. */
  update(): Allocation
  /** Requests that this entry host may have running now, over all teams. */
  slots(): number
}

/** A report older than this is not counted: the peer is gone or cut off. */
const reportLifetimeMs = 3000

/** Length of a rounding period. */
const rotationPeriodMs = 1000

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
  const reports = new Map<string, { at: number; demand: readonly TeamDemand[] }>()
  const rotation = opts.rotation ?? (() => Math.floor(Date.now() / rotationPeriodMs))
  let slots = opts.slots()

  function collect(): Demand[] {
    const oldest = opts.clock.now() - reportLifetimeMs
    const all: Demand[] = []
    for (const [member, report] of reports) {
      if (report.at < oldest) reports.delete(member)
      else for (const entry of report.demand) all.push({ member, ...entry })
    }
    for (const entry of opts.demand()) all.push({ member: opts.member, ...entry })
    return all
  }

  return {
    report(member, demand) {
      if (member !== opts.member) reports.set(member, { at: opts.clock.now(), demand })
    },
    forget(member) {
      reports.delete(member)
    },
    update() {
      const shares = opts.shares()
      const limits = opts.limits?.()
      const result = allocate({
        slots: opts.slots(),
        shares,
        demand: collect(),
        rotation: rotation(),
        ...(limits && { limits }),
      })
      slots = (result.members.get(opts.member) ?? 0) + Math.floor(result.spare)
      opts.queue.setWeights(weightsOf(result, opts.member, shares))
      return result
    },
    slots: () => slots,
  }
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
