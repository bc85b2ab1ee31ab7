import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'

/** Names of PEM files for mutual TLS between the entry hosts. */
export interface PeerTlsFiles {
  /** Certificate of this entry host, with its IP address as a subject alternative name. */
  cert: string
  key: string
  /** Certificates of the authorities that sign the peers' certificates. */
  ca: string
}

/** Options that `node:tls` takes; TLS 1.3 hides the certificates from listeners on the network. */
export interface PeerTlsOptions {
  cert: string
  key: string
  ca: string
  minVersion: 'TLSv1.3'
}

/** The certificates in force; they change when the files change. */
export interface PeerTls {
  current(): PeerTlsOptions
  /** Calls back after a change. Returns the removal. */
  onChange(cb: (options: PeerTlsOptions) => void): () => void
  /** Reads the files now instead of at the next interval. */
  reload(): void
  close(): void
}

/** Interval at which the files are read; a poll also sees files replaced by links or mounts. */
const pollMs = 5_000

/** Options of {@link createPeerTls}. */
export interface CreatePeerTlsOptions {
  files: PeerTlsFiles
  /** Reads a file; tests replace it. */
  read?: (file: string) => string
  /** Told when changed files cannot be used; the earlier certificates stay in force. */
  onError: (err: Error) => void
}

/**
 * Loads the certificates and follows changes of the files without a restart.
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
    // Throws when certificate and key do not match, for instance between two writes of an update.
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
  const timer = setInterval(reload, pollMs)
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
