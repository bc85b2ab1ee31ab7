/** Matches team keys and operator credentials; the group captures the part before the secret. */
const credentialPattern = /\b(blro?_[a-z][a-z0-9-]*)_[A-Za-z0-9_-]+/g

/**
 * Replaces the secret part of team keys and operator credentials in a text that is logged or sent
 * in a response. Users sometimes put one into a path or a field by mistake.
 *
 * @example
 * hideSecrets('/zones/blr_lamps-1_x7Gh/out') // '/zones/blr_lamps-1_[hidden]/out'
 */
export function hideSecrets(text: string): string {
  return text.includes('blr') ? text.replace(credentialPattern, '$1_[hidden]') : text
}
