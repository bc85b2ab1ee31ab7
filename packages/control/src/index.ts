export { createControlProgram, type ControlProgram } from './control-program.js'
export { createFencedTable } from './fenced-table.js'
export { controlSettings, type ControlSettings } from './settings.js'
export { createVanishedMembers, type VanishedMembers } from './vanished-members.js'
