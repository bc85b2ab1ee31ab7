/** Keys of teams and credentials of operators; the group is the part before the secret. */
const credentialPattern = /\b(blro?_[a-z][a-z0-9-]*)_[A-Za-z0-9_-]+/g

/**
 * Hides the secrets of keys and credentials in a text for logs and answers: someone may put one
 * into a path or a field by mistake.
 *
 * @example
 * hideSecrets('/zones/blr_lamps-1_x7Gh/out') // '/zones/blr_lamps-1_[hidden]/out'
 */
export function hideSecrets(text: string): string {
  return text.includes('blr') ? text.replace(credentialPattern, '$1_[hidden]') : text
}
