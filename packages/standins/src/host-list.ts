import {
  createFaultServer,
  type ListenOptions,
  type Standin,
  type StandinResponse,
} from './fault-server.js'
import { SimulatedHosts, isHostAction, noHostFaults, type HostFaults } from './simulated-hosts.js'

/** A host as the platform's host list describes it. */
export interface ListedHost {
  id: string
  address: string
  zone: string
  rack: string
  state: 'live' | 'leaving'
  cpus?: number
  memoryMb?: number
  accelerators?: number
  /** Id of the current boot, which differs after each boot; assigned when absent. */
  bootId?: string
  /** False when the platform's health check after the boot failed. */
  healthy?: boolean
}

/** Options of {@link createHostListStandin}. */
export interface HostListOptions extends ListenOptions {
  hosts?: ListedHost[]
  /** Delay until a change appears in the list, in milliseconds. */
  lagMs?: number
  /** Time from a reboot order until the host has booted, in milliseconds. */
  rebootMs?: number
  /** Clock for the lag and for reboots, in milliseconds. */
  now?: () => number
  /** Called for each order that is executed. */
  onOrder?: (order: ExecutedOrder) => void
}

/**
 * A running stand-in of the host list. `PUT /hosts` replaces the hosts, and `POST /host-faults` sets
 * switches of {@link HostFaults}.
 */
export interface HostListStandin extends Standin {
  /** Replaces the hosts; the list shows the change after the lag. */
  set(hosts: ListedHost[]): void
  /** Returns the hosts that are up now, without the lag. */
  currentHosts(): ListedHost[]
  readonly hostFaults: HostFaults
  /** Called for each order that is executed; may be replaced. */
  onOrder: (order: ExecutedOrder) => void
}

/** An order to a host that was executed. */
export interface ExecutedOrder {
  id: string
  action: string
  generation: number
}

/** Capacity of a host whose entry names none. */
const defaultCapacity = { cpus: 16, memoryMb: 65_536, accelerators: 0 }

/**
 * Starts a stand-in of the platform's host service. `GET /hosts` returns the list of live and leaving
 * hosts, which shows changes after a lag. `POST /hosts/{id}/drain|reboot|open` orders an action with a
 * generation: each generation of a host is executed once, and a lower one is refused with 409.
 *
 * @example
 * const standin = await createHostListStandin({ lagMs: 500, rebootMs: 2_000 })
 * standin.hostFaults.neverReturn.push('batch-1')
 */
export async function createHostListStandin(opts: HostListOptions = {}): Promise<HostListStandin> {
  const lagMs = opts.lagMs ?? 0
  const now = opts.now ?? (() => performance.now())
  const hostFaults = noHostFaults()
  hostFaults.rebootMs = opts.rebootMs ?? 0
  const withDefaults = (host: ListedHost): ListedHost => ({
    ...defaultCapacity,
    bootId: `${host.id}-boot-0`,
    ...host,
  })
  let visibleHosts = (opts.hosts ?? []).map(withDefaults)
  let pendingLists: { visibleAt: number; hosts: ListedHost[] }[] = []
  const publish = (hosts: ListedHost[], at = now()) => {
    pendingLists.push({ visibleAt: at + lagMs, hosts })
  }
  const simulatedHosts = new SimulatedHosts({
    hosts: visibleHosts,
    faults: hostFaults,
    now,
    publish,
  })
  const set = (hosts: ListedHost[]) => {
    simulatedHosts.replaceHosts(hosts.map(withDefaults))
  }
  const listVisibleHosts = () => {
    simulatedHosts.finishReboots()
    const currentTime = now()
    visibleHosts =
      pendingLists.findLast(list => list.visibleAt <= currentTime)?.hosts ?? visibleHosts
    pendingLists = pendingLists.filter(list => list.visibleAt > currentTime)
    return visibleHosts
  }
  const handleOrder = (id: string, action: string, body: string): StandinResponse => {
    if (!isHostAction(action)) return { status: 404, body: {} }
    const { generation } = JSON.parse(body) as { generation: unknown }
    if (typeof generation !== 'number' || !Number.isSafeInteger(generation) || generation < 1) {
      return { status: 400, body: { error: 'the generation is missing' } }
    }
    const response = simulatedHosts.execute(id, action, generation)
    if (response.executed) standin.onOrder({ id, action, generation })
    return { status: response.status, body: response }
  }
  const server = await createFaultServer(opts, req => {
    const [root, id, action] = req.path
    if (root === 'host-faults' && req.method === 'POST') {
      return { status: 200, body: Object.assign(hostFaults, JSON.parse(req.body)) }
    }
    if (root !== 'hosts') return { status: 404, body: {} }
    if (req.method === 'GET') return { status: 200, body: { hosts: listVisibleHosts() } }
    if (req.method === 'POST') return handleOrder(id ?? '', action ?? '', req.body)
    set((JSON.parse(req.body) as { hosts: ListedHost[] }).hosts)
    return { status: 200, body: {} }
  })
  const standin: HostListStandin = Object.assign(server, {
    set,
    currentHosts: () => simulatedHosts.hosts(),
    hostFaults,
    onOrder: opts.onOrder ?? (() => undefined),
  })
  return standin
}
