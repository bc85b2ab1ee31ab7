import type { ListedHost } from './host-list.js'

/** Orders that the platform takes for a host. */
const hostActions = ['drain', 'reboot', 'open'] as const
type HostAction = (typeof hostActions)[number]

/** Faults of hosts; all may be changed at any moment. */
export interface HostFaults {
  /** Time from a reboot order until the host has booted, in milliseconds. */
  rebootMs: number
  /** Hosts that do not come back from a reboot. They are not listed until they are taken off. */
  neverReturn: string[]
  /** Hosts whose next boots fail the platform's check. */
  returnUnhealthy: string[]
}

/** Hosts without a fault, which reboot at once. */
export function noHostFaults(): HostFaults {
  return { rebootMs: 0, neverReturn: [], returnUnhealthy: [] }
}

export function isHostAction(action: string): action is HostAction {
  return (hostActions as readonly string[]).includes(action)
}

/** Answer to an order. */
export interface OrderAnswer {
  status: number
  /** False for a generation that was executed before. */
  executed: boolean
  /** Highest generation executed for the host. */
  generation: number
}

interface Options {
  hosts: readonly ListedHost[]
  faults: HostFaults
  now: () => number
  /** Makes a new list visible after the lag, counted from `at`. */
  publish: (hosts: ListedHost[], at?: number) => void
}

/** The hosts as they are, and the orders executed on them. */
export class HostOrders {
  readonly #opts: Options
  readonly #hosts = new Map<string, ListedHost>()
  readonly #generations = new Map<string, number>()
  readonly #rebooting = new Map<string, number>()
  #boots = 0

  constructor(opts: Options) {
    this.#opts = opts
    for (const host of opts.hosts) this.#hosts.set(host.id, host)
  }

  /** Hosts that are up; a rebooting host is not listed. */
  hosts(): ListedHost[] {
    return [...this.#hosts.values()].filter(({ id }) => !this.#rebooting.has(id))
  }

  replace(hosts: readonly ListedHost[]): void {
    this.#hosts.clear()
    this.#rebooting.clear()
    for (const host of hosts) this.#hosts.set(host.id, host)
    this.#opts.publish(this.hosts())
  }

  execute(id: string, action: HostAction, generation: number): OrderAnswer {
    this.finishReboots()
    const host = this.#hosts.get(id)
    const last = this.#generations.get(id) ?? 0
    if (host === undefined) return { status: 404, executed: false, generation: last }
    if (generation < last) return { status: 409, executed: false, generation: last }
    if (generation === last) return { status: 200, executed: false, generation: last }
    this.#generations.set(id, generation)
    if (action === 'reboot') this.#rebooting.set(id, this.#opts.now() + this.#opts.faults.rebootMs)
    else this.#hosts.set(id, { ...host, state: action === 'drain' ? 'leaving' : 'live' })
    this.#opts.publish(this.hosts())
    this.finishReboots()
    return { status: 200, executed: true, generation }
  }

  /** Boots a host without an order, as a crash or a repair does. */
  boot(id: string): void {
    this.#rebooting.set(id, this.#opts.now())
    this.finishReboots()
  }

  /** Ends the reboots that are due. A host comes back closed, with a new boot id. */
  finishReboots(): void {
    const { faults, now, publish } = this.#opts
    for (const [id, at] of [...this.#rebooting]) {
      const host = this.#hosts.get(id)
      if (host === undefined || at > now()) continue
      if (faults.neverReturn.includes(id)) {
        // A host that returns after the switch is taken back is listed after the lag as well.
        this.#rebooting.set(id, now())
        continue
      }
      this.#rebooting.delete(id)
      this.#boots += 1
      const healthy = !faults.returnUnhealthy.includes(id)
      const bootId = `${id}-boot-${this.#boots}`
      this.#hosts.set(id, { ...host, state: 'leaving', bootId, healthy })
      publish(this.hosts(), at)
    }
  }
}
