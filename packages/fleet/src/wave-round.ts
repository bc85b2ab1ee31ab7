import type { FleetTerm } from './fleet-term.js'
import { toDrainingRow } from './host-steps.js'
import { planMaintenance, findRunningWave, type WavePlan } from './wave.js'
import { findReturningZones } from './zone-returns.js'

/**
 * Reviews the running wave and starts the drains of the hosts that may leave for maintenance now.
 */
export class WaveRound {
  readonly #term: FleetTerm
  #runningWave: string | undefined
  #reportedHalt = ''

  constructor(term: FleetTerm) {
    this.#term = term
  }

  /** Plans and starts the drains of this round, and records the start, halt and end of waves. */
  async run(): Promise<void> {
    const { rows, cfg } = this.#term
    const returning = findReturningZones(rows.zones())
    const zonesOut = new Set([...cfg.zonesOut, ...returning])
    const runningWave = this.#updateRunningWave()
    const plan = planMaintenance({
      cfg,
      fleet: { ...this.#term.currentFleet(), zonesOut },
      rows: rows.hosts(),
      now: this.#term.wallNow(),
    })
    this.#reportHalt(plan)
    const drainedHosts = await this.#startDrains(plan)
    if (drainedHosts.length === 0) return
    const action = runningWave === undefined ? 'start' : 'extend'
    this.#runningWave = plan.wave
    const observed = { hosts: drainedHosts, count: drainedHosts.length }
    this.#term.recordDecision('wave', plan.wave, { rule: 'maintenance-due', action, observed })
  }

  /** Returns the id of the running wave, and records the end of the previous one. */
  #updateRunningWave(): string | undefined {
    const rows = this.#term.rows.hosts()
    const runningWave = findRunningWave(rows)?.id
    if (this.#runningWave !== undefined && runningWave !== this.#runningWave) {
      const hosts = rows.filter(({ wave }) => wave === this.#runningWave).length
      const decision = { rule: 'wave-returned', action: 'finish', observed: { hosts } }
      this.#term.recordDecision('wave', this.#runningWave, decision)
    }
    this.#runningWave = runningWave
    return runningWave
  }

  /** Starts drains until the configuration is no longer confirmed; returns the drained hosts. */
  async #startDrains({ wave, leavingHosts }: WavePlan): Promise<string[]> {
    const { rows } = this.#term
    const drainedHosts: string[] = []
    for (const id of leavingHosts) {
      const row = rows.findHost(id)
      if (row === undefined || !this.#term.canDecide()) break
      await rows.writeHost(id, toDrainingRow(row, { wave }))
      const observed = { wave, pool: row.pool, zone: row.zone }
      this.#term.recordDecision('host', id, { rule: 'maintenance-due', action: 'drain', observed })
      drainedHosts.push(id)
    }
    return drainedHosts
  }

  /** Records a halt or its end once, not again in each round. */
  #reportHalt({ wave, halt, unhealthy, missing }: WavePlan): void {
    const haltKey = halt.length === 0 ? '' : JSON.stringify([wave, halt, unhealthy, missing])
    if (haltKey === this.#reportedHalt) return
    this.#reportedHalt = haltKey
    if (halt.length === 0) {
      this.#term.recordDecision('wave', wave, { rule: 'wave-recovered', action: 'continue' })
      return
    }
    const observed = {
      reasons: halt.join(', '),
      unhealthy: unhealthy.length,
      missing: missing.length,
      hosts: [...unhealthy, ...missing],
    }
    this.#term.recordDecision('wave', wave, { rule: 'wave-halted', action: 'halt', observed })
  }
}
