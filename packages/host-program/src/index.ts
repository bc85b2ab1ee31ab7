export { createHostProgram, type HostProgram, type HostProgramOptions } from './host-program.js'
export { hostSettings } from './settings.js'
export { dispatcherTiming } from './timing.js'
