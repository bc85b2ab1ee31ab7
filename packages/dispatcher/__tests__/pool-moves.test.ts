import type { CallResult, Machine, MachineAnswer } from '@bulrushbridge/scheduler'
import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createFleet, oneTask } from './fixture.js'

const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }

// Guards against a late first machine: the controller listed machines only once a second while no
// work waited, so a pool got its first machine up to 1 s late in a demand phase of 4 s.
void t.test('a pool that runs out of room gets a machine at once', async t => {
  const capacity = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 }
  const spare: Machine = {
    id: 'm1',
    pool: 'spare',
    state: 'up',
    zone: 'zone-a',
    labels: [],
    capacity,
    runnerId: undefined,
  }
  let listCalls = 0
  let movedAt = 0
  const fleet = createFleet({
    cfg: {
      pools: [
        { name: 'pool', isSpare: false },
        { name: 'spare', isSpare: true },
      ],
    },
    machines: {
      list: () => {
        listCalls += 1
        return Promise.resolve({ outcome: 'done', value: [structuredClone(spare)] })
      },
      move: () => {
        movedAt = performance.now()
        return Promise.resolve(accepted)
      },
      upkeep: () => Promise.resolve(accepted),
      close: () => Promise.resolve(),
    },
  })
  await fleet.addRunner('r1', { capacity })
  const dispatcher = fleet.start('host-1')
  await waitUntil(() => listCalls >= 2)
  const submittedAt = performance.now()
  await fleet.submit('job-1', [{ ...oneTask, count: 8 }])
  await waitUntil(() => movedAt > 0)
  t.ok(movedAt - submittedAt < 500, `a machine was ordered after ${movedAt - submittedAt} ms`)
  await dispatcher.close()
})
