import type { Clock } from '@bulrushbridge/errors'
import type { Demand } from './allocate.js'

/** Running and waiting requests of one team at one entry host. */
export type TeamDemand = Omit<Demand, 'member'>

/** A report older than this is not counted: the peer is gone or cut off. */
const reportLifetimeMs = 3000

/** The demand for one pool at all entry hosts, with a revision that rises when it changes. */
export class PoolDemand {
  readonly #member: string
  readonly #clock: Clock
  readonly #reports = new Map<string, { at: number; demand: readonly TeamDemand[] }>()
  #own: readonly TeamDemand[] = []
  #revision = 0

  /** @param member Id of this entry host. */
  constructor(member: string, clock: Clock) {
    this.#member = member
    this.#clock = clock
  }

  /** Stores a peer's report; a repeated one only becomes younger. */
  report(member: string, demand: readonly TeamDemand[]): void {
    if (member === this.#member) return
    const before = this.#reports.get(member)?.demand ?? []
    this.#reports.set(member, { at: this.#clock.now(), demand })
    if (!isSame(before, demand)) this.#revision += 1
  }

  forget(member: string): void {
    const report = this.#reports.get(member)
    this.#reports.delete(member)
    if (report !== undefined && report.demand.length > 0) this.#revision += 1
  }

  /** Takes over the demand of this entry host, drops old reports, and returns the revision. */
  refresh(own: readonly TeamDemand[]): number {
    const oldest = this.#clock.now() - reportLifetimeMs
    for (const [member, { at }] of this.#reports) if (at < oldest) this.forget(member)
    if (!isSame(this.#own, own)) this.#revision += 1
    this.#own = own
    return this.#revision
  }

  /** The entries of all entry hosts, one member after the other. */
  all(): Demand[] {
    const all: Demand[] = []
    for (const [member, { demand }] of this.#reports) {
      for (const entry of demand) all.push({ member, ...entry })
    }
    for (const entry of this.#own) all.push({ member: this.#member, ...entry })
    return all
  }
}

/** Reports list their teams in a stable order; another order only costs a computation. */
function isSame(a: readonly TeamDemand[], b: readonly TeamDemand[]): boolean {
  return (
    a.length === b.length &&
    a.every(({ team, running, waiting }, i) => {
      const other = b[i]
      return other?.team === team && other.running === running && other.waiting === waiting
    })
  )
}
