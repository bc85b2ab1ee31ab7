export { createAcceptor, type Acceptor } from './acceptor.js'
export { createJobHandler, type CallerCodec, type JobHandlerOptions } from './job-handler.js'
