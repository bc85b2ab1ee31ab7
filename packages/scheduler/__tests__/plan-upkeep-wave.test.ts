import t from 'tap'
import { planWave, type WaveMachine } from '../src/index.js'

function machine(id: string, changes: Partial<WaveMachine> = {}): WaveMachine {
  return {
    id,
    pool: 'a',
    isSpare: false,
    isUp: true,
    isClosing: false,
    finite: 0,
    mayLose: true,
    lasting: 0,
    ...changes,
  }
}

const input = {
  wave: { id: 1, machines: [], timeMs: 60_000, maxAway: 3 },
  away: 0,
  poolSizes: new Map([['a', 8]]),
  leftMs: 60_000,
  upkeepMs: 2_000,
}

void t.test(
  'machines without tasks go into upkeep at once, spare ones first, no more than may be away',
  t => {
    const machines = [machine('m1'), machine('m2', { isSpare: true }), machine('m3'), machine('m4')]
    t.same(planWave({ ...input, machines }).upkeep, ['m2', 'm1', 'm3'])
    t.same(planWave({ ...input, machines, away: 2 }).upkeep, ['m2'])
    t.end()
  },
)

// Guards against an upkeep that ends running tasks.
void t.test(
  'a machine with tasks is cordoned first and goes into upkeep when they have ended',
  t => {
    const busy = machine('m1', { finite: 2 })
    t.same(planWave({ ...input, machines: [busy] }), { upkeep: [], close: ['m1'] })
    const cordoned = { ...busy, isClosing: true }
    t.same(planWave({ ...input, machines: [cordoned] }), { upkeep: [], close: [] })
    t.same(planWave({ ...input, machines: [{ ...cordoned, finite: 0 }] }).upkeep, ['m1'])
    t.end()
  },
)

// Guards against an upkeep that stops more tasks of a lasting step than may be away.
void t.test('a machine is not ordered into upkeep while its lasting tasks may not be away', t => {
  const machines = [machine('m1', { isClosing: true, lasting: 2, mayLose: false })]
  t.same(planWave({ ...input, machines }).upkeep, [])
  t.end()
})

void t.test('a small share of a pool is cordoned at once, more when time is short', t => {
  const machines = Array.from({ length: 6 }, (_, i) => machine(`m${i}`, { finite: 1 }))
  t.equal(planWave({ ...input, machines }).close.length, 2)
  t.equal(planWave({ ...input, machines, leftMs: 5_000 }).close.length, 3)
  t.end()
})
