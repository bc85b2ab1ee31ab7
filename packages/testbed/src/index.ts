export { createCaller, type Caller, type CallerResponse, type CallerRequest } from './caller.js'
export { runClients, type ClientLoad, type OpenLoad } from './client-load.js'
export {
  launch,
  limitedCommand,
  runToEnd,
  type ProcessLimits,
  type ProgramName,
  type RunningProgram,
} from './launch.js'
export { createLink, type Link } from './link.js'
export { createLoopback, type Loopback } from './loopback.js'
export { createOperator, type Operator, type OperatorResponse } from './operator.js'
export { countDescriptors, peakResidentMb } from './process-usage.js'
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
