export { runCli, type CliContext } from './program.js'
export { cliExitStatuses, type ExitKind } from './exit-status.js'
