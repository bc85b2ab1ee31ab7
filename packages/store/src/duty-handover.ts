import type { CallOptions, TableService } from './table-service.js'
import { leasesTable } from './duty-tables.js'

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

/** Whether a candidate has so much more capacity that it should hold the lease instead. */
export function isMuchStronger(capacity: number, than: number | undefined): boolean {
  return than !== undefined && capacity >= than * minCapacityRatio
}

/** Asks the holder of the lease with this token to hand it over. */
export async function requestHandover(
  table: TableService,
  duty: string,
  request: HandoverRequest,
  opts: CallOptions,
): Promise<void> {
  const write = { table: leasesTable, key: handoverKey(duty), value: request }
  await table.commit({ checks: [], writes: [write] }, opts)
}

/** Reads the request to hand over the lease with this token; undefined if there is none. */
export async function readHandoverRequest(
  table: TableService,
  duty: string,
  token: number,
  opts: CallOptions,
): Promise<HandoverRequest | undefined> {
  const row = await table.read<HandoverRequest>(leasesTable, handoverKey(duty), opts)
  return row?.value.token === token ? row.value : undefined
}

function handoverKey(duty: string): string {
  return `${duty}/handover`
}
