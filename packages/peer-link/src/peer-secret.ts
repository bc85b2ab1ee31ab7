import { createHash, timingSafeEqual } from 'node:crypto'

/** The authorization header that a peer sends. */
export function peerAuthorization(secret: string): string {
  return `Bearer ${secret}`
}

/** Whether a received header carries the secret; takes the same time for any header. */
export function isPeerAuthorized(header: string | null, secret: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(header ?? ''), digest(peerAuthorization(secret)))
}
