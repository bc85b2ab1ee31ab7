export {
  changeRowSchema,
  changeSchema,
  memberSchema,
  sections,
  type Change,
  type ChangeRow,
  type EntryChange,
  type Member,
  type Section,
} from './change.js'
export {
  applyChange,
  applyChangeRow,
  emptyConfiguration,
  entryName,
  type Configuration,
} from './configuration.js'
export { diffDocument, documentDigest } from './diff.js'
export {
  documentSchema,
  keySchema,
  type EnvironmentDocument,
  type Key,
  type Operator,
  type Pool,
  type Queue,
  type Runner,
  type Service,
  type Team,
} from './document.js'
export { normaliseDocument } from './normalise.js'
export {
  checkEnvironment,
  parseEnvironment,
  type CheckResult,
  type DocumentFault,
  type ParseResult,
} from './parse.js'
export { checkDocument, requiredRunners, worstZone, type Violation } from './rules.js'
