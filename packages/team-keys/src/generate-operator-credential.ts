import { randomBytes } from 'node:crypto'
import { digestOf, secretBytes } from './generate-key.js'

/** A new credential of an operator. Only the digest is stored. */
export interface GeneratedCredential {
  credential: string
  /** SHA-256 of the credential in hexadecimal, as the document takes it. */
  digest: string
}

/**
 * Creates a credential for the operator with the given name.
 *
 * @example
 * const { credential, digest } = generateOperatorCredential('anna')
 */
export function generateOperatorCredential(name: string): GeneratedCredential {
  const credential = `blro_${name}_${randomBytes(secretBytes).toString('base64url')}`
  return { credential, digest: digestOf(credential).toString('hex') }
}
