export { authenticate, credentialDigest } from './authenticate.js'
export { createOperatorApi, type DecisionSource, type OperatorApiOptions } from './operator-api.js'
export type { TrialResult, UsageOf } from './trial.js'
