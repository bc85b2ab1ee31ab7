import t from 'tap'
import { planUpkeepWave, type WaveMachine } from '../src/index.js'

function machine(id: string, changes: Partial<WaveMachine> = {}): WaveMachine {
  return {
    id,
    pool: 'a',
    isSpare: false,
    isUp: true,
    isCordoned: false,
    finiteTasks: 0,
    canLoseLastingTasks: true,
    lastingTasks: 0,
    ...changes,
  }
}

const input = {
  wave: { id: 1, machines: [], timeMs: 60_000, maxUnavailable: 3 },
  unavailableCount: 0,
  poolSizes: new Map([['a', 8]]),
  remainingMs: 60_000,
  upkeepMs: 2_000,
}

void t.test(
  'machines without tasks go into upkeep at once, spare ones first, within the number allowed',
  t => {
    const machines = [machine('m1'), machine('m2', { isSpare: true }), machine('m3'), machine('m4')]
    t.same(planUpkeepWave({ ...input, machines }).upkeep, ['m2', 'm1', 'm3'])
    t.same(planUpkeepWave({ ...input, machines, unavailableCount: 2 }).upkeep, ['m2'])
    t.end()
  },
)

// Guards against an upkeep that ends running tasks.
void t.test(
  'a machine with tasks is cordoned first and goes into upkeep when they have ended',
  t => {
    const busy = machine('m1', { finiteTasks: 2 })
    t.same(planUpkeepWave({ ...input, machines: [busy] }), { upkeep: [], cordon: ['m1'] })
    const cordoned = { ...busy, isCordoned: true }
    t.same(planUpkeepWave({ ...input, machines: [cordoned] }), { upkeep: [], cordon: [] })
    t.same(planUpkeepWave({ ...input, machines: [{ ...cordoned, finiteTasks: 0 }] }).upkeep, ['m1'])
    t.end()
  },
)

// Guards against an upkeep that stops more tasks of a lasting step than may be unavailable at once.
void t.test('a machine is not ordered into upkeep while its lasting tasks may not stop', t => {
  const machines = [
    machine('m1', { isCordoned: true, lastingTasks: 2, canLoseLastingTasks: false }),
  ]
  t.same(planUpkeepWave({ ...input, machines }).upkeep, [])
  t.end()
})

void t.test('a small share of a pool is cordoned at once, more when time is short', t => {
  const machines = Array.from({ length: 6 }, (_, i) => machine(`m${i}`, { finiteTasks: 1 }))
  t.equal(planUpkeepWave({ ...input, machines }).cordon.length, 2)
  t.equal(planUpkeepWave({ ...input, machines, remainingMs: 5_000 }).cordon.length, 3)
  t.end()
})
