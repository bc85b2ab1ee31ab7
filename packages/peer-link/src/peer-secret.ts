import { createHash, timingSafeEqual } from 'node:crypto'

/** Value of the authorization header that a peer sends. */
export function peerAuthorization(secret: string): string {
  return `Bearer ${secret}`
}

/** Whether a received header contains the secret, compared in constant time. */
export function isPeerAuthorized(header: string | null, secret: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(header ?? ''), digest(peerAuthorization(secret)))
}
