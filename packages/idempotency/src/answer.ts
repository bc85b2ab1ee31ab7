/** Size of the largest answer body that is stored for replay, in bytes. */
export const maxStoredBodyBytes = 16 * 1024

/** A complete answer of an upstream. */
export interface Answer {
  status: number
  headers: Record<string, string | string[]>
  body: Uint8Array
}

/** An answer as it is stored. */
export interface StoredAnswer {
  status: number
  headers: Record<string, string | string[]>
  /** Body in base64. */
  body: string
}

/** Converts an answer to its stored form; returns undefined when it is too large to keep. */
export function encodeAnswer(answer: Answer): StoredAnswer | undefined {
  if (answer.body.byteLength > maxStoredBodyBytes) return undefined
  const { status, headers, body } = answer
  return { status, headers, body: Buffer.from(body).toString('base64') }
}

/** Restores an answer from its stored form. */
export function decodeAnswer(stored: StoredAnswer): Answer {
  const { status, headers, body } = stored
  return { status, headers, body: Buffer.from(body, 'base64') }
}
