import type { ExtraPermit } from './dispatch-options.js'
import type { Reservation } from './types.js'

/** The runs of one request, of which several may be in progress when it was repeated. */
export class Runs {
  readonly settled: Promise<void>
  readonly #pending: Promise<void>[] = []
  readonly #permits: ExtraPermit[] = []
  #resolve: () => void = () => undefined

  constructor() {
    this.settled = new Promise(resolve => (this.#resolve = resolve))
  }

  /** Keeps a permit until all runs have settled. */
  hold(permit: ExtraPermit): void {
    this.#permits.push(permit)
  }

  /** Gives the slot of an abandoned run back once it has settled, while another run goes on. */
  abandon(reservation: Reservation, settled: Promise<void>): void {
    this.#pending.push(
      settled.then(() => {
        reservation.release()
      }),
    )
  }

  /** Tells that no further run follows and that the last one has settled. */
  end(): void {
    void Promise.all(this.#pending).then(() => {
      for (const permit of this.#permits) permit.release()
      this.#resolve()
    })
  }
}
