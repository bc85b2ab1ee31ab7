import type { Clock } from '@bulrushbridge/errors'
import { request } from 'undici'
import { z } from 'zod'

/**
 * Time in milliseconds after which a host that the list no longer contains counts as unlisted. The
 * list lags behind the hosts, so a shorter absence does not show that a host was removed.
 */
export const hostUnlistedAfterMs = 30_000

const hostSchema = z.object({
  id: z.string(),
  state: z.enum(['live', 'leaving']),
  /** IPv4 address and port of the host's task service or runner. */
  address: z.string().default(''),
  zone: z.string().default(''),
  rack: z.string().default(''),
  cpus: z.number().default(0),
  /** Memory in MiB. */
  memoryMb: z.number().default(0),
  accelerators: z.number().default(0),
  /** Id of the current boot, which differs after each boot. */
  bootId: z.string().default(''),
  /** False if the platform's health check after the boot failed. */
  healthy: z.boolean().default(true),
})

const listSchema = z.object({ hosts: z.array(hostSchema) })

/** A host as the platform's host list describes it; the list lags behind the hosts. */
export type PlatformHost = z.infer<typeof hostSchema>

/** Actions that the platform can be ordered to take on a host. */
export type HostAction = 'drain' | 'reboot' | 'open'

/**
 * Result of an order to a host.
 *
 * - `accepted`: the platform has executed the order's generation, now or before.
 * - `stale`: the platform has executed a higher generation of the host.
 * - `unknown-host`: the host does not exist.
 */
export type HostOrderResult = 'accepted' | 'stale' | 'unknown-host'

/** The platform gave no valid response in time; an order may have been executed all the same. */
export class HostListError extends Error {
  override readonly name = 'HostListError'
}

/** Client of the platform's host list. Each call ends by its deadline, on the client's clock. */
export interface HostListClient {
  list(deadline: number): Promise<PlatformHost[]>
  /** Orders an action on a host. The platform executes each generation of a host once. */
  order(
    id: string,
    action: HostAction,
    generation: number,
    deadline: number,
  ): Promise<HostOrderResult>
}

const resultsByStatus: Readonly<Record<number, HostOrderResult>> = {
  200: 'accepted',
  404: 'unknown-host',
  409: 'stale',
}

/**
 * Creates the client of the platform's host list.
 *
 * @example
 * const platform = createHostListClient({ url: 'http://10.0.0.2:7200', clock })
 * const hosts = await platform.list(clock.now() + 1_000)
 * await platform.order('batch-1', 'drain', 7, clock.now() + 1_000)
 */
export function createHostListClient(opts: { url: string; clock: Clock }): HostListClient {
  const call = async (method: 'GET' | 'POST', path: string, deadline: number, body?: unknown) => {
    const remainingMs = Math.ceil(deadline - opts.clock.now())
    if (remainingMs <= 0)
      throw new HostListError('the deadline passed before the host list was called')
    try {
      const res = await request(`${opts.url}/hosts${path}`, {
        method,
        signal: AbortSignal.timeout(remainingMs),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      })
      return { status: res.statusCode, body: await res.body.json() }
    } catch (cause) {
      throw new HostListError('the host list did not answer', { cause })
    }
  }
  return {
    list: async deadline => {
      const { status, body } = await call('GET', '', deadline)
      const parsed = listSchema.safeParse(body)
      if (status === 200 && parsed.success) return parsed.data.hosts
      throw new HostListError(`the host list answered with status ${status} and no valid list`)
    },
    order: async (id, action, generation, deadline) => {
      const path = `/${encodeURIComponent(id)}/${action}`
      const { status } = await call('POST', path, deadline, { generation })
      const result = resultsByStatus[status]
      if (result === undefined) {
        throw new HostListError(`the host list answered the order ${action} with status ${status}`)
      }
      return result
    },
  }
}
