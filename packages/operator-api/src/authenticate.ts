import { createHash, timingSafeEqual } from 'node:crypto'
import type { Configuration } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'

/** Longest authorization header that is examined. */
const maxHeaderLength = 512

/** Compared when the name is unknown, so that the time does not tell which names exist. */
const noDigest = '0'.repeat(64)

/** Digest of a credential as it stands in the document and in the settings. */
export function credentialDigest(credential: string): string {
  return createHash('sha256').update(credential).digest('hex')
}

/**
 * The operator who sent the header `authorization: Bearer blro_<name>_<secret>`.
 *
 * Until a document has been promoted, the bootstrap digest is accepted instead.
 *
 * @throws RequestError `operator-unauthorised`
 */
export function authenticate(
  header: string | null,
  cfg: Configuration,
  bootstrapDigest: string | undefined,
): string {
  const text = header !== null && header.length <= maxHeaderLength ? header : ''
  const match = /^Bearer (blro_([a-z][a-z0-9-]*)_([A-Za-z0-9_-]+))$/.exec(text)
  const [, credential = '', name = ''] = match ?? []
  const isFirst = cfg.documentDigest === ''
  const known = isFirst ? bootstrapDigest : cfg.operators[name]?.digest
  const isEqual = timingSafeEqual(
    Buffer.from(credentialDigest(credential), 'hex'),
    Buffer.from(known ?? noDigest, 'hex'),
  )
  if (!match || !isEqual || known === undefined) throw new RequestError('operator-unauthorised')
  return name
}
