import { systemClock } from '@bulrushbridge/errors'
import { wait } from '@bulrushbridge/store'

/** A pause in a loop, which other code can end early. */
export class IdlePause {
  #pausing: AbortController | undefined

  /** Waits for `ms` milliseconds, or until it is woken. */
  async wait(ms: number): Promise<void> {
    this.#pausing = new AbortController()
    await wait(systemClock, ms, this.#pausing.signal)
    this.#pausing = undefined
  }

  get isPausing(): boolean {
    return this.#pausing !== undefined
  }

  /** Ends the pause; does nothing if there is none. */
  wake(): void {
    // A second abort would create its reason, an error with a stack, for nothing.
    if (this.#pausing?.signal.aborted === false) this.#pausing.abort()
  }
}
