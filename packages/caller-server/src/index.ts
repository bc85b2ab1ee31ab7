export { sendJson } from './json-response.js'
export {
  createCallerServer,
  listen,
  type CallerHandler,
  type CallerServer,
  type CallerServerOptions,
} from './caller-server.js'
export { bufferedBodyBytes, readBody, type ReadBodyOptions } from './request-body.js'
