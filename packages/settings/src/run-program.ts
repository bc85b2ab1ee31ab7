import { binary, command, run } from 'cmd-ts'
import { defineSettings, type SettingSpec, type Settings } from './define-settings.js'

/** Options of {@link runProgram}. */
export interface ProgramOptions<T extends Record<string, SettingSpec>> {
  name: string
  version: string
  description: string
  settings: T
  /** Runs the program; the process ends when its handles are closed. */
  main: (cfg: Settings<T>) => Promise<void>
}

/**
 * Parses flags and environment variables and runs a program. Bad settings end it with status 1
 * and a message that names the setting.
 *
 * @example
 * await runProgram({ name: 'bulrush-entry', version, description, settings, main })
 */
export async function runProgram<T extends Record<string, SettingSpec>>(
  opts: ProgramOptions<T>,
): Promise<void> {
  const cmd = command({
    name: opts.name,
    version: opts.version,
    description: opts.description,
    args: defineSettings(opts.settings),
    handler: args => opts.main(args as Settings<T>),
  })
  await run(binary(cmd), process.argv)
}
