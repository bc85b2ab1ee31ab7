import type { Clock } from '@bulrushbridge/errors'
import { createWorkerClient, type WorkerClient, type WorkerClock } from '@bulrushbridge/host'

/** Age up to which a worker's clock is used without asking again, in milliseconds. */
const maxReadingAgeMs = 2_000

/** A start is refused by the worker so long after the reading of its clock, in milliseconds. */
export const startWindowMs = 8_000

/** A reading of a worker's clock, and when its answer arrived. */
export interface ClockReading extends WorkerClock {
  readAt: number
}

/** Clients of the workers, created on first use, and the last readings of their clocks. */
export class WorkerClients {
  readonly #clock: Clock
  readonly #clients = new Map<string, WorkerClient>()
  readonly #readings = new Map<string, ClockReading>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  clientOf(address: string): WorkerClient {
    const client = this.#clients.get(address) ?? createWorkerClient({ address, clock: this.#clock })
    this.#clients.set(address, client)
    return client
  }

  /** Keeps a reading that came with a report. */
  recordReading(address: string, { now, boot }: WorkerClock): void {
    this.#readings.set(address, { now, boot, readAt: this.#clock.now() })
  }

  /** A recent reading of the worker's clock; rejects with WorkerError when it does not answer. */
  async readClock(address: string, deadline: number): Promise<ClockReading> {
    const lastReading = this.#readings.get(address)
    if (lastReading !== undefined && this.#clock.now() - lastReading.readAt < maxReadingAgeMs)
      return lastReading
    const reading = { ...(await this.clientOf(address).clock(deadline)), readAt: this.#clock.now() }
    this.#readings.set(address, reading)
    return reading
  }

  async close(): Promise<void> {
    await Promise.all([...this.#clients.values()].map(client => client.close()))
  }
}
