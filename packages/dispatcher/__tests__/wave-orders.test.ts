import type { CallResult, Machine, MachineAnswer } from '@bulrushbridge/scheduler'
import { until } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet } from './fixture.js'

function machine(id: string, state: Machine['state']): Machine {
  const capacity = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
  return { id, pool: 'pool', state, zone: 'zone-a', labels: [], capacity, runnerId: undefined }
}

// Found by a hunt on kivikoja-sched: after a change of the holder more machines of a wave were down
// than its operator allows, because upkeeps ordered by the last holder did not count.
void t.test('upkeeps that an earlier holder ordered count as away', async t => {
  const machines = [machine('m1', 'upkeep'), machine('m2', 'up')]
  const ordered: string[] = []
  let lists = 0
  const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
  const fleet = createFleet({
    waves: [{ id: 1, machines: ['m1', 'm2'], timeMs: 60_000, maxAway: 1 }],
    machines: {
      list: () => {
        lists += 1
        return Promise.resolve({ outcome: 'done', value: structuredClone(machines) })
      },
      upkeep: ({ machine: id }) => {
        ordered.push(id)
        return Promise.resolve(accepted)
      },
      move: () => Promise.resolve(accepted),
      close: () => Promise.resolve(),
    },
  })
  const dispatcher = fleet.start('host-1')
  await until(() => lists >= 2)
  t.same(ordered, [])
  Object.assign(machines[0] ?? {}, { state: 'up' })
  await until(() => ordered.length > 0)
  await dispatcher.close()
})
