import { programExitStatuses, runProgram } from '@bulrushbridge/settings'
import { createBoundedOutput, createLogger } from '@bulrushbridge/telemetry'
import { createEntryHost, type EntryHost } from './entry-host.js'
import { checkEntrySettings, entrySettings, type EntrySettings } from './settings.js'

/** Exit statuses after a second signal: 128 plus the number of the signal. */
const secondSignalStatuses = {
  SIGINT: programExitStatuses.interrupted.status,
  SIGTERM: programExitStatuses.terminated.status,
} as const

const standardError = 2

await runProgram({
  name: 'bulrush-entry',
  description: 'Serves callers, peers and operators on one entry host.',
  settings: entrySettings,
  check: checkEntrySettings,
  main: async cfg => {
    const log = createLogger({
      program: 'bulrush-entry',
      member: cfg.member,
      level: cfg['log-level'],
    })
    // The default output keeps all lines in memory while the reader of the log is slow.
    const output = createBoundedOutput({
      descriptor: standardError,
      onSuppressed: lines => {
        log.warn('log lines suppressed', { lines })
      },
    })
    let entry = await createEntryHost(cfg)
    process.stdout.write(`${JSON.stringify({ program: 'bulrush-entry', ...entry.addresses })}\n`)
    let isStopping = false
    const hasStopBegun = () => isStopping
    const restartWhenRemoved = async () => {
      await entry.removed
      if (hasStopBegun()) return
      // The balancer sends no callers to a removed entry host, so there is no need to wait for it.
      await entry.close({ balancerWaitMs: 0 })
      if (hasStopBegun()) return
      entry = await createEntryHost(withPortsOf(cfg, entry.addresses))
      void restartWhenRemoved()
    }
    void restartWhenRemoved()
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.on(signal, () => {
        if (isStopping) process.exit(secondSignalStatuses[signal])
        isStopping = true
        void entry
          .close()
          .then(() => output.close())
          .then(() => {
            process.exit(0)
          })
      })
    }
  },
})

/**
 * Returns settings with the ports that the earlier incarnation listened on. The settings may leave
 * the choice of a port to the system.
 */
function withPortsOf(cfg: EntrySettings, addresses: EntryHost['addresses']): EntrySettings {
  const portOf = (address: string) => Number(address.split(':')[1])
  return {
    ...cfg,
    'caller-port': portOf(addresses.callers),
    'operator-port': portOf(addresses.operators),
    'peer-port': portOf(addresses.peers),
  }
}
