export { createAdmission, type Admission } from './admission.js'
export { createJobAcceptor, type JobAcceptor } from './job-acceptor.js'
export { createJobHandler, type CallerCodec, type JobHandlerOptions } from './job-handler.js'
