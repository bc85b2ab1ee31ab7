import type { Clock } from '@bulrushbridge/errors'
import { request } from 'undici'
import { z } from 'zod'

/**
 * A host that the list has named and then left out counts as gone after this time, in milliseconds.
 * The list lags, so a shorter absence says little.
 */
export const goneAfterMs = 30_000

const hostSchema = z.object({
  id: z.string(),
  state: z.enum(['live', 'leaving']),
  /** IPv4:port of the host's task service or runner. */
  address: z.string().default(''),
  zone: z.string().default(''),
  rack: z.string().default(''),
  cpus: z.number().default(0),
  /** Memory in MiB. */
  memoryMb: z.number().default(0),
  accelerators: z.number().default(0),
  /** Differs after each boot. */
  bootId: z.string().default(''),
  /** False when the platform's own check after the boot failed. */
  healthy: z.boolean().default(true),
})

const listSchema = z.object({ hosts: z.array(hostSchema) })

/** A host as the platform's lagging list describes it. */
export type PlatformHost = z.infer<typeof hostSchema>

/** Orders that the platform takes for a host. */
export type HostAction = 'drain' | 'reboot' | 'open'

/**
 * Answer to an order: `accepted` when the generation is or was executed, `stale` when the platform
 * has executed a higher one, `unknown-host` when the host does not exist.
 */
export type OrderAnswer = 'accepted' | 'stale' | 'unknown-host'

/** The platform did not answer in time or not as expected; an order may have been executed. */
export class HostListError extends Error {
  override readonly name = 'HostListError'
}

/** The platform's hosts. Each call ends by its deadline. */
export interface HostListClient {
  list(deadline: number): Promise<PlatformHost[]>
  order(id: string, action: HostAction, generation: number, deadline: number): Promise<OrderAnswer>
}

const orderAnswers: Readonly<Record<number, OrderAnswer>> = {
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
    const leftMs = Math.ceil(deadline - opts.clock.now())
    if (leftMs <= 0) throw new HostListError('the deadline passed')
    try {
      const res = await request(`${opts.url}/hosts${path}`, {
        method,
        signal: AbortSignal.timeout(leftMs),
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
      throw new HostListError(`the host list answered with status ${status} and no list`)
    },
    order: async (id, action, generation, deadline) => {
      const path = `/${encodeURIComponent(id)}/${action}`
      const { status } = await call('POST', path, deadline, { generation })
      const answer = orderAnswers[status]
      if (answer === undefined) {
        throw new HostListError(`the order ${action} was answered with status ${status}`)
      }
      return answer
    },
  }
}
