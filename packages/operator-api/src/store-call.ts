import { RequestError, type Clock } from '@bulrushbridge/errors'
import { StoreError, type CallOptions } from '@bulrushbridge/store'

/** Timeout of one call to the store. */
const storeCallTimeoutMs = 2_000

/** Calls the store and converts its errors to the request error `store-unavailable`. */
export async function callStore<T>(
  clock: Clock,
  call: (opts: CallOptions) => Promise<T>,
): Promise<T> {
  try {
    return await call({ deadline: clock.now() + storeCallTimeoutMs })
  } catch (cause) {
    if (cause instanceof StoreError) {
      const outcome = cause.isResultKnown ? 'not-run' : 'unknown'
      throw new RequestError('store-unavailable', { cause, outcome })
    }
    throw cause
  }
}
