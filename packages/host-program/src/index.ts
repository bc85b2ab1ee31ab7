export { createHostProgram, type HostProgram, type HostProgramOptions } from './host-program.js'
export { hostProgramSettings } from './settings.js'
export { dispatcherTiming } from './timing.js'
