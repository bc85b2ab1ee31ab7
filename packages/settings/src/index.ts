export { defineSettings, type Settings, type SettingSpec } from './define-settings.js'
export { runProgram, type ProgramOptions } from './run-program.js'
export { programVersion } from './program-version.js'
