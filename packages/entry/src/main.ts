import { runProgram } from '@bulrushbridge/settings'
import { createEntryHost } from './entry-host.js'
import { entrySettings } from './settings.js'

/** Exit statuses after a second signal: 128 and the signal's number. */
const secondSignalStatus = { SIGINT: 130, SIGTERM: 143 } as const

await runProgram({
  name: 'bulrush-entry',
  version: '0.1.0',
  description: 'Serves callers, peers and operators on one entry host.',
  settings: entrySettings,
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
