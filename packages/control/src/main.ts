import { runProgram } from '@bulrushbridge/settings'
import { createControlProgram } from './control-program.js'
import { controlSettings } from './settings.js'

/** Exit statuses when a second signal ends the shutdown: 128 plus the number of the signal. */
const secondSignalExitStatuses = { SIGINT: 130, SIGTERM: 143 } as const

await runProgram({
  name: 'bulrush-control',
  description: 'Competes for the duties of the fleet on one entry host.',
  settings: controlSettings,
  main: cfg => {
    const control = createControlProgram(cfg)
    const readyMessage = { program: 'bulrush-control', member: cfg.member, zone: cfg.zone }
    process.stdout.write(`${JSON.stringify(readyMessage)}\n`)
    let isClosing = false
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.on(signal, () => {
        if (isClosing) process.exit(secondSignalExitStatuses[signal])
        isClosing = true
        void control.close().then(() => {
          process.exit(0)
        })
      })
    }
    return Promise.resolve()
  },
})
