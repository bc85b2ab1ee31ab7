import type { Clock } from '@bulrushbridge/errors'
import { createWorkerClient, type WorkerClient, type WorkerClock } from '@bulrushbridge/host'

/** Age up to which a clock reading is used without a new call, in milliseconds. */
const maxReadingAgeMs = 2_000

/** Age of a clock reading from which on the worker refuses a start call, in milliseconds. */
export const startWindowMs = 8_000

/** A reading of a worker's clock, and the local time at which it arrived. */
export interface ClockReading extends WorkerClock {
  readAt: number
}

/** Creates clients of workers on first use, and keeps the last readings of their clocks. */
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

  /** Records a clock reading that came with a report of the worker. */
  recordReading(address: string, { now, boot }: WorkerClock): void {
    this.#readings.set(address, { now, boot, readAt: this.#clock.now() })
  }

  /** Returns a recent clock reading; rejects with WorkerError when the worker does not answer. */
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
