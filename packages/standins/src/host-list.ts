import { createFaultServer, type ListenOptions, type Standin } from './fault-server.js'

/** A host as the platform lists it. */
export interface ListedHost {
  id: string
  address: string
  zone: string
  rack: string
  state: 'live' | 'leaving'
}

/** Options of {@link createHostListStandin}. */
export interface HostListOptions extends ListenOptions {
  hosts?: ListedHost[]
  /** How long a change takes to become visible, in milliseconds. */
  lagMs?: number
}

/** The host list's stand-in; `PUT /hosts` sets the list from outside the process. */
export interface HostListStandin extends Standin {
  /** Replaces the list; readers see it after the lag. */
  set(hosts: ListedHost[]): void
}

/**
 * Stand-in for the platform's lagging list of live and leaving hosts (`GET /hosts`).
 *
 * @example
 * const standin = await createHostListStandin({ lagMs: 500 })
 */
export async function createHostListStandin(opts: HostListOptions = {}): Promise<HostListStandin> {
  const lagMs = opts.lagMs ?? 0
  let visible = opts.hosts ?? []
  let pending: { at: number; hosts: ListedHost[] }[] = []
  const set = (hosts: ListedHost[]) => {
    pending.push({ at: performance.now() + lagMs, hosts })
  }
  const current = () => {
    const now = performance.now()
    visible = pending.findLast(change => change.at <= now)?.hosts ?? visible
    pending = pending.filter(change => change.at > now)
    return visible
  }
  const standin = await createFaultServer(opts, req => {
    if (req.path[0] !== 'hosts') return { status: 404, body: {} }
    if (req.method === 'GET') return { status: 200, body: { hosts: current() } }
    set((JSON.parse(req.body) as { hosts: ListedHost[] }).hosts)
    return { status: 200, body: {} }
  })
  return Object.assign(standin, { set })
}
