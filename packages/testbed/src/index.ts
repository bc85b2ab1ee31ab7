export { createCaller, type Caller, type CallerResponse, type CallerRequest } from './caller.js'
export { launch, runToEnd, type ProgramName, type RunningProgram } from './launch.js'
export { createLink, type Link } from './link.js'
export { createLoopback, type Loopback } from './loopback.js'
export { createOperator, type Operator, type OperatorResponse } from './operator.js'
export {
  createSampleDocument,
  type SampleDocument,
  type SampleDocumentOptions,
  type SampleRunner,
  type SampleTeam,
} from './sample-document.js'
export {
  createTestbed,
  until,
  type TestEntry,
  type Testbed,
  type TestbedOptions,
} from './testbed.js'
