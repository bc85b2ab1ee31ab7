export { createControlProgram, type ControlProgram } from './control-program.js'
export { createFencedTable } from './fenced-table.js'
export { controlSettings, type ControlSettings } from './settings.js'
export { createVanishedMemberDetector, type VanishedMemberDetector } from './vanished-members.js'
