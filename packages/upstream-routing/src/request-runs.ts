import type { ExtraPermit } from './dispatch-options.js'
import type { Reservation } from './types.js'

/** The runs of one request; several may be in progress after the request was repeated. */
export class RequestRuns {
  /** Resolves when no run of the request is in progress any more. */
  readonly settled: Promise<void>
  readonly #pendingReleases: Promise<void>[] = []
  readonly #permits: ExtraPermit[] = []
  #resolve: () => void = () => undefined

  constructor() {
    this.settled = new Promise(resolve => (this.#resolve = resolve))
  }

  /** Keeps an additional permit until all runs have settled. */
  keepPermit(permit: ExtraPermit): void {
    this.#permits.push(permit)
  }

  /**
   * Releases the slot of a failed or aborted run when it has settled; another run may go on
   * meanwhile.
   */
  releaseWhenSettled(reservation: Reservation, settled: Promise<void>): void {
    this.#pendingReleases.push(
      settled.then(() => {
        reservation.release()
      }),
    )
  }

  /** Called when no further run follows; the last one has settled or is waited for. */
  finish(): void {
    void Promise.all(this.#pendingReleases).then(() => {
      for (const permit of this.#permits) permit.release()
      this.#resolve()
    })
  }
}
