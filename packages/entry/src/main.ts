import { programExits, runProgram } from '@bulrushbridge/settings'
import { createEntryHost, type EntryHost } from './entry-host.js'
import { checkEntrySettings, entrySettings, type EntrySettings } from './settings.js'

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
    let entry = await createEntryHost(cfg)
    process.stdout.write(`${JSON.stringify({ program: 'bulrush-entry', ...entry.addresses })}\n`)
    let closing = false
    const isClosing = () => closing
    const renew = async () => {
      await entry.removed
      if (isClosing()) return
      // Nobody is sent here any more, so there is no balancer to wait for.
      await entry.close({ balancerWaitMs: 0 })
      if (isClosing()) return
      entry = await createEntryHost(withPorts(cfg, entry.addresses))
      void renew()
    }
    void renew()
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

/** Settings with the ports taken by an earlier incarnation, in case they were chosen freely. */
function withPorts(cfg: EntrySettings, addresses: EntryHost['addresses']): EntrySettings {
  const portOf = (address: string) => Number(address.split(':')[1])
  return {
    ...cfg,
    'caller-port': portOf(addresses.callers),
    'operator-port': portOf(addresses.operators),
    'peer-port': portOf(addresses.peers),
  }
}
