import type { Clock } from '@bulrushbridge/errors'
import { createWorkerClient, type WorkerClient } from '@bulrushbridge/host'

/** Clients of the workers, created on first use. */
export class WorkerFleet {
  readonly #clock: Clock
  readonly #clients = new Map<string, WorkerClient>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  client(address: string): WorkerClient {
    const client = this.#clients.get(address) ?? createWorkerClient({ address, clock: this.#clock })
    this.#clients.set(address, client)
    return client
  }

  async close(): Promise<void> {
    await Promise.all([...this.#clients.values()].map(client => client.close()))
  }
}
