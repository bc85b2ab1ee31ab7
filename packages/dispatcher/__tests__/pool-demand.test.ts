import { demandForecastSchema } from '@bulrushbridge/scheduler'
import { waitUntil } from '@bulrushbridge/standins'
import type { Logger } from '@bulrushbridge/telemetry'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const capacity = { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 0 }

function createFleetWithMachines(warnings: string[] = []) {
  const noop = () => undefined
  const log: Logger = {
    debug: noop,
    info: noop,
    warn: message => {
      warnings.push(message)
    },
    error: noop,
  }
  return createFleet({
    cfg: { pools: [{ name: 'pool', isSpare: false }] },
    log,
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: [] }),
      move: () => Promise.resolve({ outcome: 'done', value: { refusal: undefined } }),
      upkeep: () => Promise.resolve({ outcome: 'done', value: { refusal: undefined } }),
      close: () => Promise.resolve(),
    },
  })
}

// Guards against a new dispatcher that meets each burst unprepared: what was learned was lost with the
// dispatcher that had learned it.
void t.test('what the forecast has learned is stored and read at a takeover', async t => {
  const fleet = createFleetWithMachines()
  await fleet.addRunner('r1', { capacity })
  const first = fleet.start('host-1')
  const stored = async () => {
    const row = await fleet.store.read('machines', 'forecast')
    return demandForecastSchema.safeParse(row?.value).data
  }
  await fleet.submit('job-1', [{ ...oneTask, count: 4 }])
  await waitUntil(async () => (await stored())?.pools.pool !== undefined)
  await first.close()
  const second = fleet.start('host-2')
  await fleet.submit('job-2', [{ ...oneTask, count: 4 }])
  await waitUntil(async () => ((await stored())?.pools.pool?.jobs ?? 0) >= 2)
  await second.close()
  t.end()
})

// Guards against a takeover that fails for as long as a row stays as it is.
void t.test('a malformed row is ignored with a log line', async t => {
  const warnings: string[] = []
  const fleet = createFleetWithMachines(warnings)
  const row = { table: 'machines', key: 'forecast', value: { version: 7 } }
  await fleet.store.commit({ checks: [], writes: [row] })
  await fleet.addRunner('r1', { capacity })
  const dispatcher = fleet.start('host-1')
  await fleet.submit('job-1', [oneTask])
  await waitUntil(async () => (await fleet.progress('job-1'))?.status === 'running')
  t.ok(warnings.includes('stored demand forecast has an invalid format'))
  await dispatcher.close()
})
