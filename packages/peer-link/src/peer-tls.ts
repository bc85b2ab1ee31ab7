import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'

/** Paths of the PEM files for mutual TLS between the entry hosts. */
export interface PeerTlsFiles {
  /** Certificate of this entry host, with its IP address as a subject alternative name. */
  cert: string
  /** Private key of the certificate. */
  key: string
  /** Certificates of the authorities that sign the peers' certificates. */
  ca: string
}

/** Options for `node:tls`. With TLS 1.3, the network cannot see the certificates. */
export interface PeerTlsOptions {
  cert: string
  key: string
  ca: string
  minVersion: 'TLSv1.3'
}

/** The certificates in use; they change when the files change. */
export interface PeerTls {
  current(): PeerTlsOptions
  /** Calls `cb` after each change; returns a function that unsubscribes it. */
  onChange(cb: (options: PeerTlsOptions) => void): () => void
  /** Reads the files now instead of at the next poll. */
  reload(): void
  close(): void
}

/** Interval of reads; polling also detects files that are replaced through links or mounts. */
const pollIntervalMs = 5_000

/** Options of {@link createPeerTls}. */
export interface CreatePeerTlsOptions {
  files: PeerTlsFiles
  /** Reads a file; tests replace it. */
  read?: (file: string) => string
  /** Called when changed files cannot be used; the earlier certificates stay in use. */
  onError: (err: Error) => void
}

/**
 * Loads the certificates and reloads them when the files change.
 *
 * @throws Error when the files cannot be read or do not belong together.
 * @example
 * const tls = createPeerTls({ files: { cert, key, ca }, onError: err => log.warn(err.message) })
 */
export function createPeerTls(opts: CreatePeerTlsOptions): PeerTls {
  const { files, read = (file: string) => readFileSync(file, 'utf8') } = opts
  const load = (): PeerTlsOptions => {
    const options = {
      cert: read(files.cert),
      key: read(files.key),
      ca: read(files.ca),
      minVersion: 'TLSv1.3',
    } as const
    // Throws when certificate and key do not match, as between the two writes of an update.
    createSecureContext(options)
    return options
  }
  let current = load()
  const callbacks = new Set<(options: PeerTlsOptions) => void>()
  const reload = () => {
    try {
      const next = load()
      const isSame = next.cert === current.cert && next.key === current.key
      if (isSame && next.ca === current.ca) return
      current = next
      for (const cb of callbacks) cb(next)
    } catch (err) {
      opts.onError(err as Error)
    }
  }
  const timer = setInterval(reload, pollIntervalMs)
  timer.unref()
  return {
    current: () => current,
    onChange: cb => {
      callbacks.add(cb)
      return () => {
        callbacks.delete(cb)
      }
    },
    reload,
    close: () => {
      clearInterval(timer)
    },
  }
}
