export {
  defineSettings,
  environmentName,
  findSecretArgument,
  readSecret,
  type Settings,
  type SettingSpec,
} from './define-settings.js'
export { programVersion } from './program-version.js'
export { programExitStatuses, runProgram, type ProgramOptions } from './run-program.js'
