export { createHostProgram, type HostProgram, type HostProgramOptions } from './host-program.js'
export { dispatchCapacity } from './dispatch-capacity.js'
export { hostProgramSettings } from './settings.js'
export { dispatcherTiming } from './timing.js'
