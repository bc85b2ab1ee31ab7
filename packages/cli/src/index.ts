export { runCli, type CliContext } from './program.js'
export { exitTable, type ExitKind } from './exit-status.js'
