import { request } from 'undici'
import { z } from 'zod'

/** Timeout of one call to a host, in milliseconds. */
const callTimeoutMs = 1_000

/** Addresses of the programs on a host that the probe calls. */
export interface ProbedHost {
  /** Address of the host in the platform's list, IPv4:port; empty if it has none. */
  address: string
  /** Addresses of the runners on the host. */
  runners: readonly string[]
}

/** Result of a health check; `silent` when a program on the host does not answer. */
export type HostHealth = 'healthy' | 'unhealthy' | 'silent'

/** Queries the programs on a host for running work and for their health. Calls do not throw. */
export interface HostProbe {
  /**
   * Whether no task and no request runs on the host; false if a program does not answer in time.
   */
  isEmpty(host: ProbedHost): Promise<boolean>
  /** Checks the health of all programs on the host. */
  checkHealth(host: ProbedHost): Promise<HostHealth>
}

const tasksSchema = z.object({ tasks: z.array(z.object({ state: z.string() })) })
const runningSchema = z.array(z.unknown())

/** Response of a program; `refused` when it refuses connections, `silent` after any other error. */
type ProbeResponse = { status: number; body: unknown } | 'refused' | 'silent'

/**
 * Creates a probe that calls hosts over HTTP: `GET /tasks` of the worker, `GET /running` of the
 * runners and `GET /health` of both.
 *
 * @example
 * const probe = createHostProbe()
 * await probe.isEmpty({ address: '10.0.0.7:7300', runners: [] })
 */
export function createHostProbe(): HostProbe {
  const get = async (address: string, path: string): Promise<ProbeResponse> => {
    try {
      const signal = AbortSignal.timeout(callTimeoutMs)
      const res = await request(`http://${address}${path}`, { signal })
      return { status: res.statusCode, body: await res.body.json().catch(() => undefined) }
    } catch (err) {
      return (err as { code?: unknown }).code === 'ECONNREFUSED' ? 'refused' : 'silent'
    }
  }
  const listWorkerAddresses = ({ address, runners }: ProbedHost) =>
    address === '' || runners.includes(address) ? [] : [address]
  return {
    isEmpty: async host => {
      const emptyResults = await Promise.all([
        ...listWorkerAddresses(host).map(async address => hasNoTask(await get(address, '/tasks'))),
        ...host.runners.map(async address => hasNoRequest(await get(address, '/running'))),
      ])
      return emptyResults.every(isEmpty => isEmpty)
    },
    checkHealth: async host => {
      const addresses = [...listWorkerAddresses(host), ...host.runners]
      const responses = await Promise.all(addresses.map(address => get(address, '/health')))
      if (responses.some(response => typeof response === 'string')) return 'silent'
      const isHealthy = responses.every(
        response => typeof response !== 'string' && response.status === 200,
      )
      return isHealthy ? 'healthy' : 'unhealthy'
    },
  }
}

/** Whether a worker runs no task. One that refuses connections has ended, and its tasks with it. */
function hasNoTask(response: ProbeResponse): boolean {
  if (typeof response === 'string') return response === 'refused'
  // A host without a task service cannot run tasks.
  if (response.status === 404) return true
  const parsed = tasksSchema.safeParse(response.body)
  return parsed.success && parsed.data.tasks.every(({ state }) => state !== 'running')
}

/** Whether a runner runs no request. One that refuses connections has ended. */
function hasNoRequest(response: ProbeResponse): boolean {
  if (typeof response === 'string') return response === 'refused'
  const parsed = runningSchema.safeParse(response.body)
  return parsed.success && parsed.data.length === 0
}
