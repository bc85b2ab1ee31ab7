export { authenticateOperator, credentialDigest } from './authenticate.js'
export { createOperatorApi, type DecisionReader, type OperatorApiOptions } from './operator-api.js'
export type { TrialResult, RunningWorkOf } from './trial.js'
