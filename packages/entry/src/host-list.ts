import type { Clock } from '@bulrushbridge/errors'
import { request } from 'undici'
import { z } from 'zod'

/** Interval of reading the host list, in milliseconds. */
const pollMs = 1_000

/**
 * A host that the list has named and then left out counts as gone after this time, in milliseconds.
 * The list lags, so a shorter absence says little.
 */
const goneAfterMs = 30_000

const hostListSchema = z.object({
  hosts: z.array(z.object({ id: z.string(), state: z.enum(['live', 'leaving']) })),
})

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
  const lastListedAt = new Map<string, number>()
  const read = async () => {
    const res = await request(`${opts.url}/hosts`, { signal: AbortSignal.timeout(pollMs) })
    const { hosts } = hostListSchema.parse(await res.body.json())
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
