import { Readable } from 'node:stream'

/**
 * The body of a response. Reading it resumes the paused connection; destroying it calls
 * `onDestroy`, also after the end of the body.
 */
export class ResponseBody extends Readable {
  readonly #resume: () => void
  readonly #onDestroy: () => void

  constructor(resume: () => void, onDestroy: () => void) {
    super({ highWaterMark: 64 * 1024 })
    this.#resume = resume
    this.#onDestroy = onDestroy
  }

  override _read(): void {
    this.#resume()
  }

  override _destroy(err: Error | null, done: (err?: Error | null) => void): void {
    this.#onDestroy()
    done(err)
  }
}
