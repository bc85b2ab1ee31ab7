import { FleetTerm, type FleetDutyOptions } from './fleet-term.js'
import { advanceHosts, applyInventory } from './host-round.js'
import { MoveRound } from './move-round.js'
import { sendOrders } from './send-orders.js'
import { WaveRound } from './wave-round.js'
import { reconcileZones } from './zone-round.js'

/** The fleet duty during one term, the time for which this process holds its lease. */
export interface FleetDuty {
  /**
   * Runs one round: reads the rows and the platform's host list, takes the steps that are due and
   * sends the orders that follow from them. Does nothing while the lease is not held or the
   * configuration is not confirmed.
   *
   * @throws FleetDutyLostError when the lease of the duty was lost.
   * @throws FleetRowChangedError when a row changed since it was read.
   * @throws HostListError when the platform's host list cannot be read.
   * @throws StoreError when the store is unavailable or the result of a write is unknown.
   */
  round(): Promise<void>
}

/**
 * Creates the fleet duty for one term. All state that must outlive the process is in rows, so the
 * next lease holder continues from the rows after a stop between any two writes.
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
      if (opts.held() === undefined || !term.canDecide()) return
      await term.load()
      // A failed write ends the round, because the later steps rely on it. The orders of rows that
      // were already written are still sent.
      try {
        await applyInventory(term)
        await reconcileZones(term)
        await advanceHosts(term)
        await waves.run()
        await moves.run()
      } finally {
        await sendOrders(term)
      }
    },
  }
}
