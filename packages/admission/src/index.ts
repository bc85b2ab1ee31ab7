export { lendingLimit, queuedPerSlot } from './bounds.js'
export { createAdmission } from './create-admission.js'
export type {
  Admission,
  AdmissionOptions,
  EntryRequest,
  Start,
  StartRefusal,
  Timers,
} from './types.js'
