import type { ConfigView } from '@bulrushbridge/config-view'
import { request } from 'undici'

/** Time for one runner to list its requests in progress, in milliseconds. */
const callMs = 2_000

/** Options of {@link createSettlementCheck}. */
export interface SettlementCheckOptions {
  /** Where the runners of the committed configuration are found. */
  view: Pick<ConfigView, 'committed'>
}

/**
 * Creates the check that nothing started by a removed entry host is still running: every runner is
 * asked for its requests in progress, whose ids name the entry host and its incarnation. A runner
 * that does not answer may still work, so the check fails until it answers or leaves the document.
 *
 * @example
 * const isSettled = createSettlementCheck({ view })
 * await isSettled('e1', '5f0c')
 */
export function createSettlementCheck(
  opts: SettlementCheckOptions,
): (member: string, incarnation: string) => Promise<boolean> {
  return async (member, incarnation) => {
    const prefix = `${member}.${incarnation}.`
    const services = Object.values(opts.view.committed().services)
    const addresses = services.flatMap(({ runners }) => runners.map(({ address }) => address))
    const settled = await Promise.all(addresses.map(address => hasNoneOf(address, prefix)))
    return settled.every(Boolean)
  }
}

async function hasNoneOf(address: string, prefix: string): Promise<boolean> {
  try {
    const res = await request(`http://${address}/running`, {
      signal: AbortSignal.timeout(callMs),
    })
    const ids = await res.body.json()
    return res.statusCode === 200 && Array.isArray(ids) && !ids.some(startsWith(prefix))
  } catch (err) {
    // Nothing listens at the address, so no process there can be working.
    return (err as { code?: string }).code === 'ECONNREFUSED'
  }
}

function startsWith(prefix: string): (id: unknown) => boolean {
  return id => typeof id === 'string' && id.startsWith(prefix)
}
