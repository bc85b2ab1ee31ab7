export { generateTeamKey, type GeneratedKey } from './generate-team-key.js'
export {
  generateOperatorCredential,
  type GeneratedCredential,
} from './generate-operator-credential.js'
export { createKeyring, type Keyring, type KeyringOptions, type KeyOwner } from './keyring.js'
