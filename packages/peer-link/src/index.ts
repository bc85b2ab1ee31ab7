export { createPeerLink, type PeerLink, type PeerLinkOptions } from './peer-client.js'
export type { PeerLimitCause } from './peer-connections.js'
export { createPeerLinks, type PeerLinks } from './peer-links.js'
export {
  createPeerServer,
  type PeerHandlers,
  type PeerServer,
  type PeerServerOptions,
} from './peer-server.js'
export {
  createPeerTls,
  type CreatePeerTlsOptions,
  type PeerTls,
  type PeerTlsFiles,
  type PeerTlsOptions,
} from './peer-tls.js'
