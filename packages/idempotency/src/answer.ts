/** The largest body that is kept for replay. */
export const maxBodyBytes = 16 * 1024

/** An upstream's complete answer. */
export interface Answer {
  status: number
  headers: Record<string, string | string[]>
  body: Uint8Array
}

/** An answer as it is stored. */
export interface StoredAnswer {
  status: number
  headers: Record<string, string | string[]>
  /** Base64. */
  body: string
}

/** The stored form, or undefined when the answer is too large to keep. */
export function encodeAnswer(answer: Answer): StoredAnswer | undefined {
  if (answer.body.byteLength > maxBodyBytes) return undefined
  const { status, headers, body } = answer
  return { status, headers, body: Buffer.from(body).toString('base64') }
}

/** The answer behind its stored form. */
export function decodeAnswer(stored: StoredAnswer): Answer {
  const { status, headers, body } = stored
  return { status, headers, body: Buffer.from(body, 'base64') }
}
