import { createHash, timingSafeEqual } from 'node:crypto'
import type { EnvironmentConfiguration } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'

/** Longest authorization header that is parsed; a longer one is rejected. */
const maxHeaderCharacters = 512

/** Compared with when the operator is unknown, so that timing does not reveal which names exist. */
const unknownOperatorDigest = '0'.repeat(64)

/** Digest of a credential, in the form that the document and the settings contain. */
export function credentialDigest(credential: string): string {
  return createHash('sha256').update(credential).digest('hex')
}

/**
 * Authenticates the header `authorization: Bearer blro_<name>_<secret>` and returns the operator's
 * name.
 *
 * Until the first document is promoted, the credential is compared with the bootstrap digest.
 *
 * @throws RequestError `operator-unauthorised`
 */
export function authenticateOperator(
  header: string | null,
  cfg: EnvironmentConfiguration,
  bootstrapDigest: string | undefined,
): string {
  const text = header !== null && header.length <= maxHeaderCharacters ? header : ''
  const match = /^Bearer (blro_([a-z][a-z0-9-]*)_([A-Za-z0-9_-]+))$/.exec(text)
  const [, credential = '', name = ''] = match ?? []
  const isBeforeFirstPromotion = cfg.documentDigest === ''
  const expectedDigest = isBeforeFirstPromotion ? bootstrapDigest : cfg.operators[name]?.digest
  const isDigestEqual = timingSafeEqual(
    Buffer.from(credentialDigest(credential), 'hex'),
    Buffer.from(expectedDigest ?? unknownOperatorDigest, 'hex'),
  )
  if (!match || !isDigestEqual || expectedDigest === undefined)
    throw new RequestError('operator-unauthorised')
  return name
}
