import { normalizeError } from '@bulrushbridge/errors'
import { createPeerTls, type PeerTls } from '@bulrushbridge/peer-link'
import type { Logger } from '@bulrushbridge/telemetry'
import type { EntrySettings } from './settings.js'

/** Loads the files for mutual TLS between entry hosts; returns undefined when none are given. */
export function loadPeerTls(cfg: EntrySettings, log: Logger): PeerTls | undefined {
  const files = { cert: cfg['peer-cert'], key: cfg['peer-key'], ca: cfg['peer-ca'] }
  if (files.cert === '') return undefined
  const settings = '--peer-cert, --peer-key and --peer-ca'
  try {
    return createPeerTls({
      files,
      onError: err => {
        log.warn(`${settings}: changed files are not usable; the earlier ones stay in use`, {
          error: err.message,
        })
      },
    })
  } catch (cause) {
    throw new Error(`${settings}: ${normalizeError(cause).message}`, { cause })
  }
}
