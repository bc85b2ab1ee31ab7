import { timingSafeEqual } from 'node:crypto'
import type { Configuration, Key } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'
import { digestOf } from './generate-key.js'

/** Longest accepted header, so that hashing an oversized header costs nothing. */
const maxHeaderLength = 512

/** The id has no underscore, so the first underscore after it starts the secret. */
const headerPattern = /^[Bb]earer +(blr_([a-z][a-z0-9-]{0,62})_[A-Za-z0-9_-]{32,})$/

/** Compared with when the id is unknown, so that both cases take the same steps. */
const unknownDigest = Buffer.alloc(32)

/** The team that a key belongs to. `digest` identifies the key at the check before dispatch. */
export interface KeyOwner {
  team: string
  keyId: string
  /** SHA-256 in hexadecimal. */
  digest: string
}

/** Options of {@link createKeyring}. */
export interface KeyringOptions {
  /** The configuration in force, or its three fields about keys. */
  keys: Pick<Configuration, 'keys' | 'grantedKeys' | 'withdrawnKeys'>
}

/** The keys in force at one version of the configuration. */
export interface Keyring {
  /**
   * Finds the team of an `authorization` header.
   *
   * @throws RequestError `key-missing`, `key-malformed` or `key-invalid`; none of them holds the key.
   */
  parseAuthorization(header: string | undefined): KeyOwner
  /** True while the key with this id and digest is in force. */
  isCurrent(keyId: string, digest: string): boolean
  /** True while a key with this id is in force. */
  has(keyId: string): boolean
}

/**
 * Builds the keyring of a configuration: its document's keys and granted keys, without the withdrawn.
 *
 * @example
 * const keyring = createKeyring({ keys: cfg })
 * const { team, keyId, digest } = keyring.parseAuthorization(req.headers.authorization)
 */
export function createKeyring({ keys }: KeyringOptions): Keyring {
  const withdrawn = new Set(keys.withdrawnKeys)
  const current = new Map<string, { key: Key; digest: Buffer }>()
  for (const key of [...Object.values(keys.keys), ...Object.values(keys.grantedKeys)]) {
    if (withdrawn.has(key.id)) continue
    current.set(key.id, { key, digest: Buffer.from(key.digest, 'hex') })
  }

  return {
    parseAuthorization(header) {
      if (header === undefined || header === '') throw new RequestError('key-missing')
      const match = header.length > maxHeaderLength ? null : headerPattern.exec(header)
      const [, secret, id] = match ?? []
      if (secret === undefined || id === undefined) throw new RequestError('key-malformed')
      const digest = digestOf(secret)
      const entry = current.get(id)
      const equal = timingSafeEqual(digest, entry?.digest ?? unknownDigest)
      if (!equal || !entry) throw new RequestError('key-invalid')
      return { team: entry.key.team, keyId: id, digest: entry.key.digest }
    },
    isCurrent: (keyId, digest) => current.get(keyId)?.key.digest === digest,
    has: keyId => current.has(keyId),
  }
}
