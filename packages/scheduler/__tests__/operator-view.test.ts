import t from 'tap'
import { createOperatorView, type SchedulerConfiguration } from '../src/index.js'

function cfg(version: number, keys: string[]): SchedulerConfiguration {
  const limit = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  const organisations = [{ name: 'lamps', keys, weight: 1, limit }]
  return { version, queues: [], pools: [], organisations, maxBodyBytes: 1 }
}

function createView() {
  return createOperatorView({
    decoders: {
      configurationKey: 'config',
      configuration: value => value as SchedulerConfiguration,
      withdrawnZoneOf: key => (key.startsWith('out/') ? key.slice(4) : undefined),
      wave: () => undefined,
    },
    onApplied: () => undefined,
    onUnreadable: () => undefined,
  })
}

const row = (key: string, value: unknown, isDeleted = false) => ({ key, value, isDeleted })

// Guards against a stale read that makes a withdrawn key valid again.
void t.test('an older configuration never replaces a newer one', t => {
  const view = createView()
  view.applyChanges([row('config', cfg(7, ['new-key']))])
  view.applySnapshot([row('config', cfg(5, ['old-key']))])
  t.equal(view.configuration()?.version, 7)
  t.equal(view.organisationOf('old-key'), undefined)
  t.equal(view.organisationOf('new-key'), 'lamps')
  t.end()
})

// Guards against a zone that stays withdrawn because the change that returned it was never received.
void t.test('a zone that is missing from a snapshot is no longer withdrawn', t => {
  const view = createView()
  view.applyChanges([row('out/zone-a', {}), row('out/zone-b', {})])
  view.applySnapshot([row('out/zone-b', {})])
  t.same([...view.withdrawnZones()], ['zone-b'])
  view.applyChanges([row('out/zone-b', undefined, true)])
  t.equal(view.withdrawnZones().size, 0)
  t.end()
})
