export { overQuotaFillLimit, queuedPerSlot } from './queue-limits.js'
export { createAdmission } from './create-admission.js'
export type {
  Admission,
  AdmissionOptions,
  AdmissionRequest,
  AdmittedRequest,
  StartRefusal,
  AdmissionTimers,
} from './types.js'
