import { FleetTerm, type FleetDutyOptions } from './fleet-term.js'
import { advanceHosts, takeInventory } from './host-round.js'
import { MoveRound } from './move-round.js'
import { sendOrders } from './send-orders.js'
import { WaveRound } from './wave-round.js'
import { followZones } from './zone-round.js'

/** One term of the duty. */
export interface FleetDuty {
  /** One round: reads the rows and the list, takes the steps that are due, sends the orders. */
  round(): Promise<void>
}

/**
 * Creates the fleet duty for the time of one lease. All that must survive is in rows, so the next
 * holder continues from them after a stop between any two writes.
 *
 * @example
 * const fleet = createFleetDuty({ table, held, clock, platform, probe, configuration, confirmedUntil })
 * await fleet.round()
 */
export function createFleetDuty(opts: FleetDutyOptions): FleetDuty {
  const term = new FleetTerm(opts)
  const waves = new WaveRound(term)
  const moves = new MoveRound(term)
  return {
    round: async () => {
      if (opts.held() === undefined || !term.mayDecide()) return
      await term.load()
      // A write that fails ends the round, because what follows was planned with it. The orders of
      // rows that were written are due all the same.
      try {
        await takeInventory(term)
        await followZones(term)
        await advanceHosts(term)
        await waves.run()
        await moves.run()
      } finally {
        await sendOrders(term)
      }
    },
  }
}
