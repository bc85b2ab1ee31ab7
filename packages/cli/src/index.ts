export { runCli, type Surroundings } from './program.js'
export { exitTable, type Exit } from './exit-status.js'
