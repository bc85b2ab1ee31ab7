import { runProgram } from '@bulrushbridge/settings'
import { createControlProgram } from './control-program.js'
import { controlSettings } from './settings.js'

/** Exit statuses after a second signal: 128 and the signal's number. */
const secondSignalStatus = { SIGINT: 130, SIGTERM: 143 } as const

await runProgram({
  name: 'bulrush-control',
  description: 'Competes for the duties of the fleet on one entry host.',
  settings: controlSettings,
  main: cfg => {
    const control = createControlProgram(cfg)
    const ready = { program: 'bulrush-control', member: cfg.member, zone: cfg.zone }
    process.stdout.write(`${JSON.stringify(ready)}\n`)
    let closing = false
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.on(signal, () => {
        if (closing) process.exit(secondSignalStatus[signal])
        closing = true
        void control.close().then(() => {
          process.exit(0)
        })
      })
    }
    return Promise.resolve()
  },
})
