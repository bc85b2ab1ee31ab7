import { RequestError, type Clock } from '@bulrushbridge/errors'
import { StoreError, type CallOptions } from '@bulrushbridge/store'

/** Time for one call to the storage. */
const callMs = 2_000

/** Calls the storage; a failure is answered as `store-unavailable`. */
export async function storeCall<T>(
  clock: Clock,
  call: (opts: CallOptions) => Promise<T>,
): Promise<T> {
  try {
    return await call({ deadline: clock.now() + callMs })
  } catch (cause) {
    if (cause instanceof StoreError) {
      const outcome = cause.settled ? 'not-run' : 'unknown'
      throw new RequestError('store-unavailable', { cause, outcome })
    }
    throw cause
  }
}
