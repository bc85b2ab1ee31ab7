import { normalizeError } from '@bulrushbridge/errors'
import { readHostSettings, settingsFileVariable } from '@bulrushbridge/platform'
import { runProgram } from '@bulrushbridge/settings'
import { createBoundedOutput, createLogger } from '@bulrushbridge/telemetry'
import { createHostProgram } from './host-program.js'
import { hostProgramSettings } from './settings.js'

await runProgram({
  name: 'bulrush-host',
  description: 'Accepts jobs on one entry host and, while it holds the duty, places their tasks.',
  settings: hostProgramSettings,
  main: async cfg => {
    const configuredPath =
      cfg['settings-file'] === '' ? process.env[settingsFileVariable] : cfg['settings-file']
    const settingsPath = configuredPath ?? ''
    const { name: member } = readHostSettings(settingsPath)
    const log = createLogger({ program: 'bulrush-host', member, level: cfg['log-level'] })
    const output = createBoundedOutput({
      descriptor: 1,
      onSuppressed: lines => {
        log.warn('log lines suppressed', { lines })
      },
    })
    const program = await createHostProgram({
      settingsPath,
      dispatcherLeaseMs: cfg['duty-lease'],
      clientLimits: cfg,
      requestTimeoutMs: cfg['request-timeout'],
      log,
      suppressedLines: () => output.suppressedLines(),
    })
    process.on('SIGHUP', () => {
      program.reload()
    })
    let isClosing = false
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => {
        if (isClosing) return
        isClosing = true
        void program
          .close(signal)
          .catch((err: unknown) => {
            log.error('shutdown failed', { reason: normalizeError(err).message })
          })
          .then(() => output.close())
          .finally(() => process.exit(0))
      })
    }
  },
})
