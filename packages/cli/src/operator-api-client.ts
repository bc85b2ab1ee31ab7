import { request } from 'undici'
import { CommandError } from './command-error.js'

/** A response of an entry host. */
export interface OperatorApiResponse {
  status: number
  outcome: string | undefined
  body: Record<string, unknown>
}

/** Sends one request. The promise rejects when no complete response arrives. */
export type SendRequest = (
  url: string,
  opts: { method: 'GET' | 'POST'; credential: string; body?: string },
) => Promise<OperatorApiResponse>

/** Options of {@link createOperatorApiClient}. */
export interface OperatorApiClientOptions {
  /** URLs of entry hosts, tried in this order. */
  entryHostUrls: string[]
  credential: string
  send?: SendRequest
}

/** Client of the operator API. */
export interface OperatorApiClient {
  /** Sends a GET request to the entry hosts in turn until one responds. */
  get(path: string): Promise<Record<string, unknown>>
  /** Sends a POST request; tries the next entry host only if the previous one cannot have run it. */
  post(path: string, body: string): Promise<Record<string, unknown>>
}

/** Request timeout; longer than an entry host waits for other hosts to acknowledge a change. */
const responseTimeoutMs = 15_000

/** Error codes of failures that occur before a request is sent. */
const notSentCodes = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

/**
 * Creates a client of the operator API.
 *
 * @example
 * const client = createOperatorApiClient({ entryHostUrls: ['http://127.0.0.2:7081'], credential })
 * const status = await client.get('status')
 */
export function createOperatorApiClient(opts: OperatorApiClientOptions): OperatorApiClient {
  const { entryHostUrls, credential, send = sendOverHttp } = opts
  if (entryHostUrls.length === 0)
    throw new CommandError('usage', 'Give an entry host with --entry.')
  if (credential === '')
    throw new CommandError(
      'usage',
      'Give a credential with --credential-file or BULRUSH_CREDENTIAL.',
    )

  const requestInOrder = async (
    path: string,
    requestOpts: { method: 'GET' | 'POST'; body?: string },
    canTryNext: (failure: unknown) => boolean,
  ) => {
    const failureMessages: string[] = []
    for (const entryHostUrl of entryHostUrls) {
      const url = `${entryHostUrl.replace(/\/$/, '')}/operator/v1/${path}`
      try {
        const res = await send(url, { ...requestOpts, credential })
        if (res.status < 300) return res.body
        if (!(res.status === 503 && res.outcome === 'not-run')) throw toCommandError(res)
        failureMessages.push(toCommandError(res).message)
      } catch (err) {
        if (err instanceof CommandError) throw err
        if (!canTryNext(err)) {
          throw new CommandError(
            'unreachable',
            `${entryHostUrl} did not answer. The change may have been made; check with 'bulrush history'.`,
          )
        }
        failureMessages.push(`${entryHostUrl} could not be reached.`)
      }
    }
    const hasRefusal = failureMessages.some(text => !text.endsWith('could not be reached.'))
    throw new CommandError(hasRefusal ? 'refused' : 'unreachable', failureMessages.join(' '))
  }

  return {
    get: path => requestInOrder(path, { method: 'GET' }, () => true),
    post: (path, body) => requestInOrder(path, { method: 'POST', body }, isNotSent),
  }
}

function isNotSent(err: unknown): boolean {
  return notSentCodes.includes((err as { code?: string }).code ?? '')
}

function toCommandError({ status, body }: OperatorApiResponse): CommandError {
  const error = (body.error ?? {}) as { kind?: string; message?: string; faults?: unknown }
  const message = error.message ?? `The entry host answered with status ${status}.`
  return new CommandError(error.kind === 'document-invalid' ? 'invalid' : 'refused', message, error)
}

const sendOverHttp: SendRequest = async (url, { method, credential, body }) => {
  const res = await request(url, {
    method,
    headers: { authorization: `Bearer ${credential}` },
    signal: AbortSignal.timeout(responseTimeoutMs),
    ...(body === undefined ? {} : { body }),
  })
  const outcome = res.headers['bulrush-outcome']
  const text = await res.body.text()
  return { status: res.statusCode, outcome: outcome?.toString(), body: parseBody(text) }
}

function parseBody(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>
  } catch {
    return {}
  }
}
