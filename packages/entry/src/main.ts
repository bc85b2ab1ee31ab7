import { programExits, runProgram } from '@bulrushbridge/settings'
import { createEntryHost } from './entry-host.js'
import { checkEntrySettings, entrySettings } from './settings.js'

/** Exit statuses after a second signal: 128 and the signal's number. */
const secondSignalStatus = {
  SIGINT: programExits.interrupted.status,
  SIGTERM: programExits.terminated.status,
} as const

await runProgram({
  name: 'bulrush-entry',
  description: 'Serves callers, peers and operators on one entry host.',
  settings: entrySettings,
  check: checkEntrySettings,
  main: async cfg => {
    const entry = await createEntryHost(cfg)
    process.stdout.write(`${JSON.stringify({ program: 'bulrush-entry', ...entry.addresses })}\n`)
    let closing = false
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.on(signal, () => {
        if (closing) process.exit(secondSignalStatus[signal])
        closing = true
        void entry.close().then(() => {
          process.exit(0)
        })
      })
    }
  },
})
