import { randomBytes } from 'node:crypto'
import { digestOf, secretBytes } from './generate-team-key.js'

/** A new credential of an operator. Only its digest is stored. */
export interface GeneratedCredential {
  credential: string
  /** SHA-256 of the credential in hexadecimal, the form in which the document contains it. */
  digest: string
}

/**
 * Generates a credential for the operator with the given name.
 *
 * @example
 * const { credential, digest } = generateOperatorCredential('anna')
 */
export function generateOperatorCredential(name: string): GeneratedCredential {
  const credential = `blro_${name}_${randomBytes(secretBytes).toString('base64url')}`
  return { credential, digest: digestOf(credential).toString('hex') }
}
