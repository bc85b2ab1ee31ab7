export { generateKey, type GeneratedKey } from './generate-key.js'
export { createKeyring, type Keyring, type KeyringOptions, type KeyOwner } from './keyring.js'
