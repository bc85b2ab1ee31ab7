import type { PoolNeed } from '@bulrushbridge/host-pools'
import type { FleetTerm } from './fleet-term.js'
import { toDrainingRow } from './host-steps.js'
import { MovePlanner, type HostMove } from './move-planner.js'
import { readPoolNeeds } from './pool-needs.js'

/**
 * Interval at which the needs of the pools are read, in milliseconds. Moves take minutes, so
 * reading more often has no use.
 */
const needsRefreshIntervalMs = 10_000

/** Plans the moves between pools and starts the drains of the hosts that move. */
export class MoveRound {
  readonly #term: FleetTerm
  readonly #planner = new MovePlanner()
  #cachedNeeds: { readAt: number; needs: PoolNeed[] } | undefined

  constructor(term: FleetTerm) {
    this.#term = term
  }

  /**
   * Plans the moves of this round and starts them until the configuration is no longer confirmed.
   */
  async run(): Promise<void> {
    const { rows, cfg, opts } = this.#term
    const moves = this.#planner.plan({
      cfg,
      fleet: this.#term.currentFleet(),
      rows: rows.hosts(),
      needs: await this.#readNeeds(),
      isZoneReturning: [...rows.zones().values()].some(({ phase }) => phase === 'returning'),
      now: opts.clock.now(),
      wallNow: this.#term.wallNow(),
    })
    for (const move of moves) {
      if (!this.#term.canDecide()) return
      await this.#start(move)
    }
  }

  async #readNeeds(): Promise<PoolNeed[]> {
    const { rows, cfg, opts } = this.#term
    const now = opts.clock.now()
    if (this.#cachedNeeds !== undefined && now - this.#cachedNeeds.readAt < needsRefreshIntervalMs)
      return this.#cachedNeeds.needs
    const needs = await readPoolNeeds({ table: opts.table, cfg, rows: rows.hosts() })
    this.#cachedNeeds = { readAt: now, needs }
    return needs
  }

  async #start({ host, from, to, reason }: HostMove): Promise<void> {
    const row = this.#term.rows.findHost(host)
    if (row === undefined) return
    await this.#term.rows.writeHost(host, toDrainingRow(row, { movingTo: to }))
    const observed = { from, pool: to }
    this.#term.recordDecision('host', host, { rule: `move-${reason}`, action: 'drain', observed })
  }
}
