import 'roarr'

/**
 * Directs roarr to standard error. Roarr itself writes only when ROARR_LOG is set, which would make
 * the logs of a service depend on one more environment variable.
 */
export function setWriter(): void {
  const target = globalThis as { ROARR?: { write?: (line: string) => void } }
  target.ROARR ??= {}
  target.ROARR.write = line => {
    process.stderr.write(`${line}\n`)
  }
}
