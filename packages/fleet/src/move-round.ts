import type { PoolNeed } from '@bulrushbridge/host-pools'
import type { FleetTerm } from './fleet-term.js'
import { drained } from './host-steps.js'
import { MovePlanner, type Move } from './move-planner.js'
import { readPoolNeeds } from './pool-needs.js'

/** Interval of counting the work of the pools, in milliseconds; moves take minutes. */
const needsIntervalMs = 10_000

/** Starts the moves between pools that are due. */
export class MoveRound {
  readonly #term: FleetTerm
  readonly #planner = new MovePlanner()
  #needs: { at: number; needs: PoolNeed[] } | undefined

  constructor(term: FleetTerm) {
    this.#term = term
  }

  async run(): Promise<void> {
    const { rows, cfg, opts } = this.#term
    const moves = this.#planner.plan({
      cfg,
      fleet: this.#term.fleet(),
      rows: rows.hosts(),
      needs: await this.#readNeeds(),
      isZoneReturning: [...rows.zones().values()].some(({ phase }) => phase === 'returning'),
      now: opts.clock.now(),
      wallNow: this.#term.now(),
    })
    for (const move of moves) {
      if (!this.#term.mayDecide()) return
      await this.#start(move)
    }
  }

  async #readNeeds(): Promise<PoolNeed[]> {
    const { rows, cfg, opts } = this.#term
    const now = opts.clock.now()
    if (this.#needs !== undefined && now - this.#needs.at < needsIntervalMs)
      return this.#needs.needs
    const needs = await readPoolNeeds({ table: opts.table, cfg, rows: rows.hosts() })
    this.#needs = { at: now, needs }
    return needs
  }

  async #start({ host, from, to, reason }: Move): Promise<void> {
    const row = this.#term.rows.host(host)
    if (row === undefined) return
    await this.#term.rows.writeHost(host, drained(row, { movingTo: to }))
    const observed = { from, pool: to }
    this.#term.decide('host', host, { rule: `move-${reason}`, action: 'drain', observed })
  }
}
