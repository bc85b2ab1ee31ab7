import type { Clock } from '@bulrushbridge/errors'
import type { Demand } from './allocate.js'

/** Running and waiting requests of one team at one entry host. */
export type TeamDemand = Omit<Demand, 'member'>

/** A report older than this is dropped, because its sender has stopped or is unreachable. */
const reportLifetimeMs = 3000

/**
 * Latest demand for one pool at each entry host. The revision number increases when any of it
 * changes.
 */
export class DemandReports {
  readonly #member: string
  readonly #clock: Clock
  readonly #reports = new Map<string, { receivedAt: number; demand: readonly TeamDemand[] }>()
  #ownDemand: readonly TeamDemand[] = []
  #revision = 0

  /** @param member Id of this entry host. */
  constructor(member: string, clock: Clock) {
    this.#member = member
    this.#clock = clock
  }

  /** Stores a peer's report. An unchanged report only renews the time of receipt. */
  report(member: string, demand: readonly TeamDemand[]): void {
    if (member === this.#member) return
    const previous = this.#reports.get(member)?.demand ?? []
    this.#reports.set(member, { receivedAt: this.#clock.now(), demand })
    if (!isSameDemand(previous, demand)) this.#revision += 1
  }

  removeMember(member: string): void {
    const report = this.#reports.get(member)
    this.#reports.delete(member)
    if (report !== undefined && report.demand.length > 0) this.#revision += 1
  }

  /** Stores the demand of this entry host, drops old reports and returns the revision. */
  refresh(own: readonly TeamDemand[]): number {
    const oldest = this.#clock.now() - reportLifetimeMs
    for (const [member, { receivedAt }] of this.#reports)
      if (receivedAt < oldest) this.removeMember(member)
    if (!isSameDemand(this.#ownDemand, own)) this.#revision += 1
    this.#ownDemand = own
    return this.#revision
  }

  /** Returns the entries of all entry hosts, grouped by member. */
  all(): Demand[] {
    const all: Demand[] = []
    for (const [member, { demand }] of this.#reports) {
      for (const entry of demand) all.push({ member, ...entry })
    }
    for (const entry of this.#ownDemand) all.push({ member: this.#member, ...entry })
    return all
  }
}

/**
 * Compares entry by entry, because reports list their teams in a stable order. A different order
 * counts as a change and causes only one needless recomputation.
 */
function isSameDemand(a: readonly TeamDemand[], b: readonly TeamDemand[]): boolean {
  return (
    a.length === b.length &&
    a.every(({ team, running, waiting }, i) => {
      const other = b[i]
      return other?.team === team && other.running === running && other.waiting === waiting
    })
  )
}
