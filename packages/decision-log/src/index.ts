export { createDecisionLog, type DecisionLog, type DecisionLogOptions } from './decision-log.js'
export { explain } from './explain.js'
export type { Decision, DecisionRecord, Subject } from './record.js'
