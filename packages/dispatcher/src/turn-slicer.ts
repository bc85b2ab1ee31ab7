/** Time that sliced work takes in one turn of the event loop, in milliseconds. */
const sliceMs = 5

/** Items of one piece of work that are done before the next piece has its turn. */
const itemsPerRound = 16

/**
 * Does work that may have very many items in slices, between which the event loop renews the lease of
 * the dispatcher and answers callers. All pieces of work share the slice of a turn and go on in rounds, so
 * that many small ones take no longer turn than a large one.
 */
export interface TurnSlicer {
  /** Applies a function to each item; resolves after the last one, or when the slicer is closed. */
  forEach<T>(items: Iterable<T>, apply: (item: T) => void): Promise<void>
  close(): void
}

interface Work {
  /** Does the next item; returns false when there is none. */
  step: () => boolean
  resolve: () => void
  reject: (reason: unknown) => void
}

/**
 * Creates the slicer of a term. Work that fits into what is left of the slice is done at once.
 *
 * @example
 * await turns.forEach(runs, run => void session.stop(run))
 */
export function createTurnSlicer(): TurnSlicer {
  let queue: Work[] = []
  let sliceEndsAt: number | undefined
  const doSlice = () => {
    if (sliceEndsAt === undefined) {
      sliceEndsAt = performance.now() + sliceMs
      setImmediate(() => {
        sliceEndsAt = undefined
        if (queue.length > 0) doSlice()
      })
    }
    while (queue.length > 0 && performance.now() < sliceEndsAt) {
      const work = queue.shift()
      if (work !== undefined && doRound(work)) queue.push(work)
    }
  }
  return {
    forEach: (items, apply) =>
      new Promise((resolve, reject) => {
        const iterator = items[Symbol.iterator]()
        const step = () => {
          const result = iterator.next()
          if (result.done !== true) apply(result.value)
          return result.done !== true
        }
        queue.push({ step, resolve, reject })
        if (queue.length === 1) doSlice()
      }),
    close: () => {
      for (const { resolve } of queue) resolve()
      queue = []
    },
  }
}

/** Does some items of a piece of work; returns whether there are more. */
function doRound({ step, resolve, reject }: Work): boolean {
  try {
    for (let n = 0; n < itemsPerRound; n++) {
      if (step()) continue
      resolve()
      return false
    }
    return true
  } catch (err) {
    reject(err)
    return false
  }
}
