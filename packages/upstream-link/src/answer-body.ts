import { Readable } from 'node:stream'

/** The body of an answer; reading it resumes the connection. */
export class AnswerBody extends Readable {
  readonly #resume: () => void
  readonly #abandon: () => void

  constructor(resume: () => void, abandon: () => void) {
    super({ highWaterMark: 64 * 1024 })
    this.#resume = resume
    this.#abandon = abandon
  }

  override _read(): void {
    this.#resume()
  }

  override _destroy(err: Error | null, done: (err?: Error | null) => void): void {
    this.#abandon()
    done(err)
  }
}
