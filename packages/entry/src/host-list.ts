import type { Clock } from '@bulrushbridge/errors'
import { createHostListClient, goneAfterMs } from '@bulrushbridge/host'

/** Interval of reading the host list, in milliseconds. */
const pollMs = 1_000

/** Hosts by what the lagging list says of them. */
export interface ListedHosts {
  leaving: string[]
  gone: string[]
}

/**
 * Reads the platform's lagging list of hosts once a second. While it does not answer, what it said
 * last stays in force.
 *
 * @example
 * const list = createHostListReader({ url, clock, onHosts: hosts => router.setLeaving(hosts.leaving) })
 */
export function createHostListReader(opts: {
  url: string
  clock: Clock
  onHosts: (hosts: ListedHosts) => void
}): { close(): void } {
  const client = createHostListClient(opts)
  const lastListedAt = new Map<string, number>()
  const read = async () => {
    const hosts = await client.list(opts.clock.now() + pollMs)
    const now = opts.clock.now()
    for (const { id } of hosts) lastListedAt.set(id, now)
    const leaving = hosts.filter(({ state }) => state === 'leaving').map(({ id }) => id)
    const absent = [...lastListedAt].filter(([, at]) => now - at > goneAfterMs)
    opts.onHosts({ leaving, gone: absent.map(([id]) => id) })
  }
  if (opts.url === '') return { close: () => undefined }
  const timer = setInterval(() => {
    read().catch(() => undefined)
  }, pollMs)
  return {
    close: () => {
      clearInterval(timer)
    },
  }
}
