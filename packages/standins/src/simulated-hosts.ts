import type { ListedHost } from './host-list.js'

/** Actions that the platform can be ordered to take on a host. */
const hostActions = ['drain', 'reboot', 'open'] as const
type HostAction = (typeof hostActions)[number]

/** Fault switches of simulated hosts. Each may be changed at any time. */
export interface HostFaults {
  /** Time from a reboot order until the host has booted, in milliseconds. */
  rebootMs: number
  /** Ids of hosts that do not return from a reboot; they stay unlisted while their ids are here. */
  neverReturn: string[]
  /** Ids of hosts that fail the platform's health check after a reboot. */
  returnUnhealthy: string[]
}

/** Returns fault switches that are all off; reboots take no time. */
export function noHostFaults(): HostFaults {
  return { rebootMs: 0, neverReturn: [], returnUnhealthy: [] }
}

/** Whether the text, for example from the path of a request, names a {@link HostAction}. */
export function isHostAction(action: string): action is HostAction {
  return (hostActions as readonly string[]).includes(action)
}

/** Response to an order; it is sent as JSON. */
export interface HostOrderResponse {
  status: number
  /** False if the order was refused or its generation was executed before. */
  executed: boolean
  /** Highest generation executed for the host. */
  generation: number
}

interface SimulatedHostsOptions {
  hosts: readonly ListedHost[]
  faults: HostFaults
  now: () => number
  /** Publishes a new list, which becomes visible when the lag after `at` has passed. */
  publish: (hosts: ListedHost[], at?: number) => void
}

/** Simulates the platform's hosts and executes orders on them. */
export class SimulatedHosts {
  readonly #opts: SimulatedHostsOptions
  readonly #hosts = new Map<string, ListedHost>()
  readonly #lastGenerations = new Map<string, number>()
  readonly #rebootsDueAt = new Map<string, number>()
  #bootCount = 0

  constructor(opts: SimulatedHostsOptions) {
    this.#opts = opts
    for (const host of opts.hosts) this.#hosts.set(host.id, host)
  }

  /** Returns the hosts that are up; rebooting hosts are left out. */
  hosts(): ListedHost[] {
    return [...this.#hosts.values()].filter(({ id }) => !this.#rebootsDueAt.has(id))
  }

  replaceHosts(hosts: readonly ListedHost[]): void {
    this.#hosts.clear()
    this.#rebootsDueAt.clear()
    for (const host of hosts) this.#hosts.set(host.id, host)
    this.#opts.publish(this.hosts())
  }

  execute(id: string, action: HostAction, generation: number): HostOrderResponse {
    this.finishReboots()
    const host = this.#hosts.get(id)
    const latest = this.#lastGenerations.get(id) ?? 0
    if (host === undefined) return { status: 404, executed: false, generation: latest }
    if (generation < latest) return { status: 409, executed: false, generation: latest }
    if (generation === latest) return { status: 200, executed: false, generation: latest }
    this.#lastGenerations.set(id, generation)
    if (action === 'reboot')
      this.#rebootsDueAt.set(id, this.#opts.now() + this.#opts.faults.rebootMs)
    else this.#hosts.set(id, { ...host, state: action === 'drain' ? 'leaving' : 'live' })
    this.#opts.publish(this.hosts())
    this.finishReboots()
    return { status: 200, executed: true, generation }
  }

  /** Reboots a host at once without an order, as after a crash or a repair. */
  boot(id: string): void {
    this.#rebootsDueAt.set(id, this.#opts.now())
    this.finishReboots()
  }

  /** Ends the reboots that are due. The host returns in state `leaving`, with a new boot id. */
  finishReboots(): void {
    const { faults, now, publish } = this.#opts
    for (const [id, dueAt] of [...this.#rebootsDueAt]) {
      const host = this.#hosts.get(id)
      if (host === undefined || dueAt > now()) continue
      if (faults.neverReturn.includes(id)) {
        // Once the fault is switched off, the return of the host is also published with the lag.
        this.#rebootsDueAt.set(id, now())
        continue
      }
      this.#rebootsDueAt.delete(id)
      this.#bootCount += 1
      const healthy = !faults.returnUnhealthy.includes(id)
      const bootId = `${id}-boot-${this.#bootCount}`
      this.#hosts.set(id, { ...host, state: 'leaving', bootId, healthy })
      publish(this.hosts(), dueAt)
    }
  }
}
