import type { RunnerApi } from '@bulrushbridge/scheduler'
import type { RelayedCall } from './relay-messages.js'
import type { RelayUsage } from './relay-usage.js'

/** Options of {@link createRunnerClients}. */
export interface RunnerClientsOptions {
  createRunner: (opts: { address: string; runnerId: string }) => RunnerApi
  usage: Pick<RelayUsage<unknown>, 'addRunner' | 'removeRunners'>
}

/** The clients with which one connection of a relay calls runners. */
export interface RunnerClients {
  /**
   * Makes a call with the client of its runner. Returns undefined when the relay has connections to as
   * many runners as it may have, and this connection has none without a call in progress.
   */
  call<R>(
    call: Pick<RelayedCall, 'address' | 'runnerId'>,
    make: (runner: RunnerApi) => Promise<R>,
  ): Promise<R | undefined>
  close(): void
}

/**
 * Creates the clients. At the bound, the one that has been unused for longest is closed for a new one.
 *
 * @example
 * const result = await clients.call(call, runner => runner.stop(call.order))
 */
export function createRunnerClients(opts: RunnerClientsOptions): RunnerClients {
  const { createRunner, usage } = opts
  /** By address and id; the least recently used comes first. */
  const clients = new Map<string, { runner: RunnerApi; calls: number }>()
  const closeUnused = (): boolean => {
    for (const [key, { runner, calls }] of clients) {
      if (calls > 0) continue
      clients.delete(key)
      void runner.close()
      return true
    }
    return false
  }
  return {
    call: async <R>(
      { address, runnerId }: Pick<RelayedCall, 'address' | 'runnerId'>,
      make: (runner: RunnerApi) => Promise<R>,
    ) => {
      const key = `${address} ${runnerId}`
      let client = clients.get(key)
      if (client === undefined) {
        if (!usage.addRunner() && !closeUnused()) return undefined
        client = { runner: createRunner({ address, runnerId }), calls: 0 }
      }
      clients.delete(key)
      clients.set(key, client)
      client.calls += 1
      try {
        return await make(client.runner)
      } finally {
        client.calls -= 1
      }
    },
    close: () => {
      usage.removeRunners(clients.size)
      for (const { runner } of clients.values()) void runner.close()
      clients.clear()
    },
  }
}
