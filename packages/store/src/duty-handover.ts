import { leasesTable } from './duty-tables.js'
import type { CallOptions, TableService } from './table-service.js'

/**
 * A candidate asks for a lease, and a weaker candidate leaves it alone, only if their capacities
 * differ by this factor; a smaller gain is not worth a change of the holder.
 */
const minCapacityRatio = 1.5

/** Value of the row in which a candidate asks the holder of a lease to hand it over. */
interface HandoverRequest {
  /** Fencing token of the lease that is to be handed over. */
  token: number
  /** Name of the candidate. */
  candidate: string
  capacity: number
}

/** Whether `capacity` is so much more than `other` that it is worth a change of the holder. */
export function isMuchStronger(capacity: number, other: number): boolean {
  return capacity >= other * minCapacityRatio
}

/** Asks the holder of the lease with the token of `request` to hand it over. */
export async function requestHandover(
  table: TableService,
  duty: string,
  request: HandoverRequest,
  opts: CallOptions,
): Promise<void> {
  const write = { table: leasesTable, key: handoverKey(duty), value: request }
  await table.commit({ checks: [], writes: [write] }, opts)
}

/** Options of {@link HandoverWatch}. */
export interface HandoverWatchOptions {
  table: TableService
  duty: string
  /** Called once for each lease that a candidate asks for. */
  onRequest: (candidate: { name: string; capacity: number }) => void
  onError?: ((err: unknown) => void) | undefined
}

/** Looks for requests of stronger candidates while this process holds a lease. */
export class HandoverWatch {
  readonly #opts: HandoverWatchOptions
  #request: HandoverRequest | undefined
  #isReading = false

  constructor(opts: HandoverWatchOptions) {
    this.#opts = opts
  }

  /** Capacity of the candidate that has asked for the lease with this token, if one has. */
  requestedCapacity(token: number): number | undefined {
    return this.#request?.token === token ? this.#request.capacity : undefined
  }

  /**
   * Reads the request for the lease with this token, once at a time, as renewals follow each other
   * quickly while the store fails. `isHeld` tells whether the lease is still held afterwards.
   */
  async check(token: number, opts: CallOptions, isHeld: () => boolean): Promise<void> {
    const { table, duty, onRequest, onError } = this.#opts
    if (this.#isReading || this.#request?.token === token) return
    this.#isReading = true
    try {
      const row = await table.read<HandoverRequest>(leasesTable, handoverKey(duty), opts)
      if (row?.value.token !== token || !isHeld()) return
      this.#request = row.value
      onRequest({ name: row.value.candidate, capacity: row.value.capacity })
    } catch (err) {
      onError?.(err)
    } finally {
      this.#isReading = false
    }
  }
}

function handoverKey(duty: string): string {
  return `${duty}/handover`
}
