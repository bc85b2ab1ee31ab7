export {
  changeRowSchema,
  changeSchema,
  memberSchema,
  documentSections,
  type Change,
  type ChangeRow,
  type EntryChange,
  type Member,
  type DocumentSection,
} from './change.js'
export {
  applyChange,
  applyChangeRow,
  emptyConfiguration,
  entryName,
  type EnvironmentConfiguration,
} from './configuration.js'
export { diffDocument, documentDigest } from './diff.js'
export {
  documentSchema,
  keySchema,
  type EnvironmentDocument,
  type KeyDefinition,
  type OperatorDefinition,
  type PoolDefinition,
  type QueueDefinition,
  type RunnerDefinition,
  type ServiceDefinition,
  type TeamDefinition,
} from './document.js'
export { normaliseDocument } from './normalise.js'
export {
  checkEnvironment,
  parseEnvironment,
  type CheckResult,
  type DocumentDiagnostic,
  type ParseResult,
} from './parse.js'
export { checkDocument, requiredRunners, zoneWithMostRunners, type RuleViolation } from './rules.js'
