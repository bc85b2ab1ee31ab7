import type { ConfigView } from '@bulrushbridge/config-view'
import { request } from 'undici'

/** Time allowed for one runner to list its requests in progress, in milliseconds. */
const runnerTimeoutMs = 2_000

/** Options of {@link createSettlementCheck}. */
export interface SettlementCheckOptions {
  /** View whose committed configuration lists the runners. */
  view: Pick<ConfigView, 'committed'>
}

/**
 * Creates the check that no request started by a removed entry host is still running. It asks every
 * runner for its requests in progress, whose ids contain the entry host and its incarnation. A
 * runner that does not respond may still be working, so the check fails until the runner responds
 * or is removed from the configuration.
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
    const settled = await Promise.all(addresses.map(address => hasNoRequestOf(address, prefix)))
    return settled.every(Boolean)
  }
}

async function hasNoRequestOf(address: string, prefix: string): Promise<boolean> {
  try {
    const res = await request(`http://${address}/running`, {
      signal: AbortSignal.timeout(runnerTimeoutMs),
    })
    const ids = await res.body.json()
    return res.statusCode === 200 && Array.isArray(ids) && !ids.some(hasPrefix(prefix))
  } catch (err) {
    // Nothing listens at the address, so no process there can be working.
    return (err as { code?: string }).code === 'ECONNREFUSED'
  }
}

function hasPrefix(prefix: string): (id: unknown) => boolean {
  return id => typeof id === 'string' && id.startsWith(prefix)
}
