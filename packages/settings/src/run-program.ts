import { binary, command, runSafely } from 'cmd-ts'
import {
  defineSettings,
  findSecretArgument,
  type SettingSpec,
  type Settings,
} from './define-settings.js'
import { programVersion } from './program-version.js'

/** Exit statuses of programs that run until they are stopped. */
export const programExitStatuses = {
  done: { status: 0, meaning: 'stopped gracefully, or help or version shown' },
  badSettings: { status: 1, meaning: 'a setting is missing or wrong' },
  startFailed: { status: 2, meaning: 'the program could not start, for instance to listen' },
  interrupted: { status: 130, meaning: 'second SIGINT during a graceful shutdown' },
  terminated: { status: 143, meaning: 'second SIGTERM during a graceful shutdown' },
} as const

/** Options of {@link runProgram}. */
export interface ProgramOptions<T extends Record<string, SettingSpec>> {
  name: string
  description: string
  settings: T
  /** Checks rules that involve several settings; returns messages that name these settings. */
  check?: (cfg: Settings<T>) => string[]
  /** Starts the program; the process ends when all of its handles are closed. */
  main: (cfg: Settings<T>) => Promise<void>
}

/**
 * Parses flags and environment variables and runs a program. On an invalid setting the program
 * exits with the status `badSettings` of {@link programExitStatuses} and a message that names the setting.
 *
 * @example
 * await runProgram({ name: 'bulrush-entry', description, settings, main })
 */
export async function runProgram<T extends Record<string, SettingSpec>>(
  opts: ProgramOptions<T>,
): Promise<void> {
  const { name, settings } = opts
  const exitWithError = (reason: 'badSettings' | 'startFailed', message: string) => {
    process.stderr.write(`${message}\n`)
    // A failed start may leave handles open, which would keep the process alive.
    process.exit(programExitStatuses[reason].status)
  }
  const secrets = Object.keys(settings).filter(key => settings[key]?.secret === true)
  const secretArgumentMessage = findSecretArgument(process.argv.slice(2), secrets)
  if (secretArgumentMessage !== undefined)
    exitWithError('badSettings', `${name}: ${secretArgumentMessage}`)

  const cmd = command({
    name,
    version: programVersion,
    description: opts.description,
    args: defineSettings(settings),
    handler: args => args as Settings<T>,
  })
  const parsed = await runSafely(binary(cmd), process.argv)
  if (parsed._tag === 'error') {
    const { message, into, exitCode } = parsed.error.config
    if (exitCode !== 0) exitWithError('badSettings', message)
    process[into].write(`${message}\n`)
    return
  }
  const cfg = parsed.value
  const problems = opts.check?.(cfg) ?? []
  if (problems.length > 0)
    exitWithError('badSettings', problems.map(problem => `${name}: ${problem}`).join('\n'))
  try {
    await opts.main(cfg)
  } catch (err) {
    exitWithError(
      'startFailed',
      `${name}: cannot start: ${err instanceof Error ? err.message : String(err)}`,
    )
  }
}
