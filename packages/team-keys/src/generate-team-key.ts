import { createHash, randomBytes } from 'node:crypto'

/** Random bytes in a generated key or credential; 32 bytes are 43 base64url characters. */
export const secretBytes = 32

const idPattern = /^[a-z][a-z0-9-]{0,62}$/

/** A new key for a team. Only its digest is stored; the key is shown to the operator once. */
export interface GeneratedKey {
  key: string
  /** SHA-256 of the key in hexadecimal, the form in which the document contains it. */
  digest: string
}

/** Returns the SHA-256 digest of a whole key or credential, including its prefix. */
export function digestOf(key: string): Buffer {
  return createHash('sha256').update(key).digest()
}

/**
 * Generates a team key with the given id.
 *
 * @throws RangeError when the id does not start with a letter or is not of 1 to 63 lower-case
 *   letters, digits and hyphens.
 * @example
 * const { key, digest } = generateTeamKey('lab-2026')
 */
export function generateTeamKey(id: string): GeneratedKey {
  if (!idPattern.test(id)) {
    throw new RangeError(
      'invalid key id: use 1 to 63 lower-case letters, digits and hyphens, with a letter first',
    )
  }
  const key = `blr_${id}_${randomBytes(secretBytes).toString('base64url')}`
  return { key, digest: digestOf(key).toString('hex') }
}
