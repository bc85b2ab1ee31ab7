import { timingSafeEqual } from 'node:crypto'
import type { EnvironmentConfiguration, KeyDefinition } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'
import { digestOf } from './generate-team-key.js'

/** Longest accepted header in characters, so that no time is spent on hashing an oversized one. */
const maxHeaderLength = 512

/** The id contains no underscore, so the first underscore after it ends the id. */
const headerPattern = /^[Bb]earer +(blr_([a-z][a-z0-9-]{0,62})_[A-Za-z0-9_-]{32,})$/

/**
 * Digest that a key with an unknown id is compared with, so that known and unknown ids take the
 * same steps.
 */
const unknownDigest = Buffer.alloc(32)

/**
 * The team that a key belongs to. The id and the digest identify the key when it is checked again
 * before dispatch.
 */
export interface KeyOwner {
  team: string
  keyId: string
  /** SHA-256 in hexadecimal. */
  digest: string
}

/** Options of {@link createKeyring}. */
export interface KeyringOptions {
  /** The current configuration, or only its three fields about keys. */
  keys: Pick<EnvironmentConfiguration, 'keys' | 'grantedKeys' | 'withdrawnKeys'>
}

/** The valid keys of one version of the configuration. */
export interface Keyring {
  /**
   * Returns the team of the key in an `authorization` header.
   *
   * @throws RequestError `key-missing`, `key-malformed` or `key-invalid`, without the key in it.
   */
  parseAuthorization(header: string | undefined): KeyOwner
  /** True when the key with this id and digest is valid. */
  isCurrent(keyId: string, digest: string): boolean
  /** True when a key with this id is valid. */
  has(keyId: string): boolean
}

/**
 * Creates the keyring of a configuration: the keys of its document and the granted keys, without
 * the withdrawn ones.
 *
 * @example
 * const keyring = createKeyring({ keys: cfg })
 * const { team, keyId, digest } = keyring.parseAuthorization(req.headers.authorization)
 */
export function createKeyring({ keys }: KeyringOptions): Keyring {
  const withdrawn = new Set(keys.withdrawnKeys)
  const current = new Map<string, { key: KeyDefinition; digest: Buffer }>()
  for (const key of [...Object.values(keys.keys), ...Object.values(keys.grantedKeys)]) {
    if (withdrawn.has(key.id)) continue
    current.set(key.id, { key, digest: Buffer.from(key.digest, 'hex') })
  }

  return {
    parseAuthorization(header) {
      if (header === undefined || header === '') throw new RequestError('key-missing')
      const match = header.length > maxHeaderLength ? null : headerPattern.exec(header)
      const [, presentedKey, id] = match ?? []
      if (presentedKey === undefined || id === undefined) throw new RequestError('key-malformed')
      const digest = digestOf(presentedKey)
      const entry = current.get(id)
      const isEqual = timingSafeEqual(digest, entry?.digest ?? unknownDigest)
      if (!isEqual || !entry) throw new RequestError('key-invalid')
      return { team: entry.key.team, keyId: id, digest: entry.key.digest }
    },
    isCurrent: (keyId, digest) => current.get(keyId)?.key.digest === digest,
    has: keyId => current.has(keyId),
  }
}
