import { request } from 'undici'
import { z } from 'zod'

/** Longest time of one call to a host, in milliseconds. */
const callMs = 1_000

/** What is asked of a host: its task service, and its runners by their addresses. */
export interface ProbedHost {
  /** Address in the platform's list, IPv4:port. */
  address: string
  runners: readonly string[]
}

/** `silent` when a part of the host does not answer. */
export type Health = 'healthy' | 'unhealthy' | 'silent'

/** Asks a host itself about its work and its health. */
export interface HostProbe {
  /** Whether no task and no request runs on the host. */
  isEmpty(host: ProbedHost): Promise<boolean>
  health(host: ProbedHost): Promise<Health>
}

const tasksSchema = z.object({ tasks: z.array(z.object({ state: z.string() })) })
const runningSchema = z.array(z.unknown())

type Answer = { status: number; body: unknown } | 'refused' | 'silent'

/**
 * Creates the probe over HTTP: `GET /tasks` of the worker, `GET /running` of runners, `GET /health`
 * of both.
 *
 * @example
 * const probe = createHostProbe()
 * await probe.isEmpty({ address: '10.0.0.7:7300', runners: [] })
 */
export function createHostProbe(): HostProbe {
  const get = async (address: string, path: string): Promise<Answer> => {
    try {
      const signal = AbortSignal.timeout(callMs)
      const res = await request(`http://${address}${path}`, { signal })
      return { status: res.statusCode, body: await res.body.json().catch(() => undefined) }
    } catch (err) {
      return (err as { code?: unknown }).code === 'ECONNREFUSED' ? 'refused' : 'silent'
    }
  }
  const worker = ({ address, runners }: ProbedHost) =>
    address === '' || runners.includes(address) ? [] : [address]
  return {
    isEmpty: async host => {
      const answers = await Promise.all([
        ...worker(host).map(async address => hasNoTask(await get(address, '/tasks'))),
        ...host.runners.map(async address => hasNoRequest(await get(address, '/running'))),
      ])
      return answers.every(isEmpty => isEmpty)
    },
    health: async host => {
      const addresses = [...worker(host), ...host.runners]
      const answers = await Promise.all(addresses.map(address => get(address, '/health')))
      if (answers.some(answer => typeof answer === 'string')) return 'silent'
      const isHealthy = answers.every(answer => typeof answer !== 'string' && answer.status === 200)
      return isHealthy ? 'healthy' : 'unhealthy'
    },
  }
}

/** A program that refuses connections has ended, and its work with it. */
function hasNoTask(answer: Answer): boolean {
  if (typeof answer === 'string') return answer === 'refused'
  // A host without a task service runs no task.
  if (answer.status === 404) return true
  const parsed = tasksSchema.safeParse(answer.body)
  return parsed.success && parsed.data.tasks.every(({ state }) => state !== 'running')
}

function hasNoRequest(answer: Answer): boolean {
  if (typeof answer === 'string') return answer === 'refused'
  const parsed = runningSchema.safeParse(answer.body)
  return parsed.success && parsed.data.length === 0
}
