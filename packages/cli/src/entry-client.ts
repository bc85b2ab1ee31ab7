import { request } from 'undici'
import { CommandError } from './command-error.js'

/** A response of an entry host. */
export interface EntryResponse {
  status: number
  outcome: string | undefined
  body: Record<string, unknown>
}

/** Sends one request; rejects when no complete response arrives. */
export type Send = (
  url: string,
  opts: { method: 'GET' | 'POST'; credential: string; body?: string },
) => Promise<EntryResponse>

/** Options of {@link createEntryClient}. */
export interface EntryClientOptions {
  /** URLs of entry hosts, tried in this order. */
  entries: string[]
  credential: string
  send?: Send
}

/** Access to the operators' API. */
export interface EntryClient {
  /** Reads from the first entry host that answers. */
  read(path: string): Promise<Record<string, unknown>>
  /** Orders a change; tries another entry host only when the first certainly did not run it. */
  change(path: string, body: string): Promise<Record<string, unknown>>
}

/** Longer than an entry host waits for acknowledgements. */
const responseMs = 15_000

/** Errors raised before the request could have been sent. */
const notSentCodes = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

/**
 * Creates a client of the operators' API.
 *
 * @example
 * const client = createEntryClient({ entries: ['http://127.0.0.2:7081'], credential })
 * const status = await client.read('status')
 */
export function createEntryClient(opts: EntryClientOptions): EntryClient {
  const { entries, credential, send = sendOverHttp } = opts
  if (entries.length === 0) throw new CommandError('usage', 'Give an entry host with --entry.')
  if (credential === '')
    throw new CommandError(
      'usage',
      'Give a credential with --credential-file or BULRUSH_CREDENTIAL.',
    )

  const ask = async (
    path: string,
    call: { method: 'GET' | 'POST'; body?: string },
    mayContinue: (failure: unknown) => boolean,
  ) => {
    const failures: string[] = []
    for (const entry of entries) {
      const url = `${entry.replace(/\/$/, '')}/operator/v1/${path}`
      try {
        const res = await send(url, { ...call, credential })
        if (res.status < 300) return res.body
        if (!(res.status === 503 && res.outcome === 'not-run')) throw toCommandError(res)
        failures.push(toCommandError(res).message)
      } catch (err) {
        if (err instanceof CommandError) throw err
        if (!mayContinue(err)) {
          throw new CommandError(
            'unreachable',
            `${entry} did not answer. The change may have been made; check with 'bulrush history'.`,
          )
        }
        failures.push(`${entry} could not be reached.`)
      }
    }
    const isRefusal = failures.some(text => !text.endsWith('could not be reached.'))
    throw new CommandError(isRefusal ? 'refused' : 'unreachable', failures.join(' '))
  }

  return {
    read: path => ask(path, { method: 'GET' }, () => true),
    change: (path, body) => ask(path, { method: 'POST', body }, isNotSent),
  }
}

function isNotSent(err: unknown): boolean {
  return notSentCodes.includes((err as { code?: string }).code ?? '')
}

function toCommandError({ status, body }: EntryResponse): CommandError {
  const error = (body.error ?? {}) as { kind?: string; message?: string; faults?: unknown }
  const message = error.message ?? `The entry host answered with status ${status}.`
  return new CommandError(error.kind === 'document-invalid' ? 'invalid' : 'refused', message, error)
}

const sendOverHttp: Send = async (url, { method, credential, body }) => {
  const res = await request(url, {
    method,
    headers: { authorization: `Bearer ${credential}` },
    signal: AbortSignal.timeout(responseMs),
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
