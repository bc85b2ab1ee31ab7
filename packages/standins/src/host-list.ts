import {
  createFaultServer,
  type ListenOptions,
  type Standin,
  type StandinAnswer,
} from './fault-server.js'
import { HostOrders, isHostAction, noHostFaults, type HostFaults } from './host-orders.js'

/** A host as the platform lists it. */
export interface ListedHost {
  id: string
  address: string
  zone: string
  rack: string
  state: 'live' | 'leaving'
  cpus?: number
  memoryMb?: number
  accelerators?: number
  /** Differs after each boot; assigned when absent. */
  bootId?: string
  /** False when the platform's own check after the boot failed. */
  healthy?: boolean
}

/** Options of {@link createHostListStandin}. */
export interface HostListOptions extends ListenOptions {
  hosts?: ListedHost[]
  /** How long a change takes to become visible, in milliseconds. */
  lagMs?: number
  /** Time from a reboot order until the host has booted, in milliseconds. */
  rebootMs?: number
  /** Clock of the lag and of reboots, in milliseconds. */
  now?: () => number
  onOrder?: (order: ExecutedOrder) => void
}

/**
 * The host list's stand-in; `PUT /hosts` sets the list from outside the process, and
 * `POST /host-faults` the switches of {@link HostFaults}.
 */
export interface HostListStandin extends Standin {
  /** Replaces the list; readers see it after the lag. */
  set(hosts: ListedHost[]): void
  /** The hosts as they are now, without the lag. */
  actual(): ListedHost[]
  readonly hostFaults: HostFaults
  /** Called for each order that is executed; may be replaced. */
  onOrder: (order: ExecutedOrder) => void
}

/** An order that was executed. */
export interface ExecutedOrder {
  id: string
  action: string
  generation: number
}

/** Capacity of a host that states none. */
const defaultCapacity = { cpus: 16, memoryMb: 65_536, accelerators: 0 }

/**
 * Stand-in for the platform's hosts: the lagging list of live and leaving hosts (`GET /hosts`), and
 * the orders `POST /hosts/{id}/drain|reboot|open` with a generation. Each generation of a host is
 * executed once; a lower one is refused with 409.
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
  const complete = (host: ListedHost): ListedHost => ({
    ...defaultCapacity,
    bootId: `${host.id}-boot-0`,
    ...host,
  })
  let visible = (opts.hosts ?? []).map(complete)
  let pending: { at: number; hosts: ListedHost[] }[] = []
  const publish = (hosts: ListedHost[], at = now()) => {
    pending.push({ at: at + lagMs, hosts })
  }
  const orders = new HostOrders({ hosts: visible, faults: hostFaults, now, publish })
  const set = (hosts: ListedHost[]) => {
    orders.replace(hosts.map(complete))
  }
  const current = () => {
    orders.finishReboots()
    const time = now()
    visible = pending.findLast(change => change.at <= time)?.hosts ?? visible
    pending = pending.filter(change => change.at > time)
    return visible
  }
  const order = (id: string, action: string, body: string): StandinAnswer => {
    if (!isHostAction(action)) return { status: 404, body: {} }
    const { generation } = JSON.parse(body) as { generation: unknown }
    if (typeof generation !== 'number' || !Number.isSafeInteger(generation) || generation < 1) {
      return { status: 400, body: { error: 'the generation is missing' } }
    }
    const answer = orders.execute(id, action, generation)
    if (answer.executed) result.onOrder({ id, action, generation })
    return { status: answer.status, body: answer }
  }
  const standin = await createFaultServer(opts, req => {
    const [root, id, action] = req.path
    if (root === 'host-faults' && req.method === 'POST') {
      return { status: 200, body: Object.assign(hostFaults, JSON.parse(req.body)) }
    }
    if (root !== 'hosts') return { status: 404, body: {} }
    if (req.method === 'GET') return { status: 200, body: { hosts: current() } }
    if (req.method === 'POST') return order(id ?? '', action ?? '', req.body)
    set((JSON.parse(req.body) as { hosts: ListedHost[] }).hosts)
    return { status: 200, body: {} }
  })
  const result: HostListStandin = Object.assign(standin, {
    set,
    actual: () => orders.hosts(),
    hostFaults,
    onOrder: opts.onOrder ?? (() => undefined),
  })
  return result
}
