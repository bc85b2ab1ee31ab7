import { request } from 'undici'

/** Response of the operators' API. */
export interface OperatorResponse {
  status: number
  body: Record<string, unknown>
}

/** An operator who uses the API of one entry host. */
export interface Operator {
  /** Sends a GET request; the path is relative to `/operator/v1/`. */
  get(path: string): Promise<OperatorResponse>
  /** Sends a POST request with a JSON body; the path is relative to `/operator/v1/`. */
  post(path: string, body?: unknown): Promise<OperatorResponse>
  /** Runs a trial of a document; returns its digest and the current configuration version. */
  trial(text: string): Promise<{ digest: unknown; expectedVersion: unknown }>
  /** Runs a trial of the document and promotes it. */
  promote(text: string): Promise<OperatorResponse>
}

/** Timeout of one call, in milliseconds. */
const callTimeoutMs = 15_000

/**
 * Creates an operator who presents a credential to the operators' API at `address` (`IP:port`).
 *
 * @example
 * const operator = createOperator('127.0.1.1:7100', credential)
 * await operator.post('zones/a/out')
 */
export function createOperator(address: string, credential: string): Operator {
  const call = async (method: 'GET' | 'POST', path: string, body?: string) => {
    const res = await request(`http://${address}/operator/v1/${path}`, {
      method,
      headers: { authorization: `Bearer ${credential}` },
      signal: AbortSignal.timeout(callTimeoutMs),
      ...(body === undefined ? {} : { body }),
    })
    return { status: res.statusCode, body: (await res.body.json()) as Record<string, unknown> }
  }
  return {
    get: path => call('GET', path),
    post: (path, body) => call('POST', path, body === undefined ? '' : JSON.stringify(body)),
    trial: async text => {
      const { body } = await call('POST', 'trial', text)
      const status = await call('GET', 'status')
      return { digest: body.digest, expectedVersion: status.body.version }
    },
    promote: async text => {
      const trial = await call('POST', 'trial', text)
      if (trial.status !== 200) return trial
      const status = await call('GET', 'status')
      const { digest } = trial.body
      const expectedVersion = status.body.version
      return call('POST', 'promote', JSON.stringify({ digest, expectedVersion }))
    },
  }
}
