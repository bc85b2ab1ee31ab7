import type { FleetTerm } from './fleet-term.js'
import { drained } from './host-steps.js'
import { planMaintenance, runningWave, type WavePlan } from './wave.js'
import { returningZones } from './zone-returns.js'

/** Reviews the running wave and sends out the hosts that may leave now. */
export class WaveRound {
  readonly #term: FleetTerm
  #wave: string | undefined
  #halted = ''

  constructor(term: FleetTerm) {
    this.#term = term
  }

  async run(): Promise<void> {
    const { rows, cfg } = this.#term
    const returning = returningZones(rows.zones())
    const zonesOut = new Set([...cfg.zonesOut, ...returning])
    const running = this.#followWave()
    const plan = planMaintenance({
      cfg,
      fleet: { ...this.#term.fleet(), zonesOut },
      rows: rows.hosts(),
      now: this.#term.now(),
    })
    this.#reportHalt(plan)
    const left = await this.#sendOut(plan)
    if (left.length === 0) return
    const action = running === undefined ? 'start' : 'extend'
    this.#wave = plan.wave
    const observed = { hosts: left, count: left.length }
    this.#term.decide('wave', plan.wave, { rule: 'maintenance-due', action, observed })
  }

  /** The running wave; the end of the one before is recorded. */
  #followWave(): string | undefined {
    const rows = this.#term.rows.hosts()
    const running = runningWave(rows)?.id
    if (this.#wave !== undefined && running !== this.#wave) {
      const hosts = rows.filter(({ wave }) => wave === this.#wave).length
      const finished = { rule: 'wave-returned', action: 'finish', observed: { hosts } }
      this.#term.decide('wave', this.#wave, finished)
    }
    this.#wave = running
    return running
  }

  async #sendOut({ wave, leave }: WavePlan): Promise<string[]> {
    const { rows } = this.#term
    const left: string[] = []
    for (const id of leave) {
      const row = rows.host(id)
      if (row === undefined || !this.#term.mayDecide()) break
      await rows.writeHost(id, drained(row, { wave }))
      const observed = { wave, pool: row.pool, zone: row.zone }
      this.#term.decide('host', id, { rule: 'maintenance-due', action: 'drain', observed })
      left.push(id)
    }
    return left
  }

  /** A halt is reported once, not in each round. */
  #reportHalt({ wave, halt, unhealthy, missing }: WavePlan): void {
    const key = halt.length === 0 ? '' : JSON.stringify([wave, halt, unhealthy, missing])
    if (key === this.#halted) return
    this.#halted = key
    if (halt.length === 0) {
      this.#term.decide('wave', wave, { rule: 'wave-recovered', action: 'continue' })
      return
    }
    const observed = {
      reasons: halt.join(', '),
      unhealthy: unhealthy.length,
      missing: missing.length,
      hosts: [...unhealthy, ...missing],
    }
    this.#term.decide('wave', wave, { rule: 'wave-halted', action: 'halt', observed })
  }
}
