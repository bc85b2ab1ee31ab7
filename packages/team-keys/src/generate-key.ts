import { createHash, randomBytes } from 'node:crypto'

/** Bytes of randomness in a generated key or credential; 32 bytes are 43 base64 characters. */
export const secretBytes = 32

const idPattern = /^[a-z][a-z0-9-]{0,62}$/

/** A new key for a team. Only the digest is stored; the key is shown to the operator once. */
export interface GeneratedKey {
  key: string
  /** SHA-256 of the key in hexadecimal, as the document takes it. */
  digest: string
}

/** SHA-256 of a whole key or credential. */
export function digestOf(key: string): Buffer {
  return createHash('sha256').update(key).digest()
}

/**
 * Creates a key with the given id.
 *
 * @throws RangeError when the id is not a name of the document.
 * @example
 * const { key, digest } = generateKey('lab-2026')
 */
export function generateKey(id: string): GeneratedKey {
  if (!idPattern.test(id)) {
    throw new RangeError('a key id has lower-case letters, digits and hyphens')
  }
  const key = `blr_${id}_${randomBytes(secretBytes).toString('base64url')}`
  return { key, digest: digestOf(key).toString('hex') }
}
