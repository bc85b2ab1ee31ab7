import type { Clock } from '@bulrushbridge/errors'
import { createHostListClient, hostUnlistedAfterMs } from '@bulrushbridge/host'

/** Interval at which the host list is read, in milliseconds. */
const pollIntervalMs = 1_000

/** Ids of hosts that the host list shows as leaving or no longer contains. The list lags behind. */
export interface ListedHosts {
  leaving: string[]
  unlisted: string[]
}

/**
 * Reads the platform's host list, which lags behind, once a second. While the list is unavailable,
 * the last result stays in force.
 *
 * @example
 * const onHosts = ({ leaving }: ListedHosts) => { router.setLeavingHosts(leaving) }
 * const list = createHostListReader({ url, clock, onHosts })
 */
export function createHostListReader(opts: {
  url: string
  clock: Clock
  onHosts: (hosts: ListedHosts) => void
}): { close(): void } {
  const client = createHostListClient(opts)
  const lastListedAt = new Map<string, number>()
  const poll = async () => {
    const hosts = await client.list(opts.clock.now() + pollIntervalMs)
    const now = opts.clock.now()
    for (const { id } of hosts) lastListedAt.set(id, now)
    const leaving = hosts.filter(({ state }) => state === 'leaving').map(({ id }) => id)
    const unlisted = [...lastListedAt].filter(([, at]) => now - at > hostUnlistedAfterMs)
    opts.onHosts({ leaving, unlisted: unlisted.map(([id]) => id) })
  }
  if (opts.url === '') return { close: () => undefined }
  const timer = setInterval(() => {
    poll().catch(() => undefined)
  }, pollIntervalMs)
  return {
    close: () => {
      clearInterval(timer)
    },
  }
}
