import { withHosts, type Fleet, type FleetHost } from '@bulrushbridge/host-pools'
import fc from 'fast-check'
import t from 'tap'
import {
  advanceReturn,
  beginReturn,
  isReturned,
  mayEndLoans,
  mayStart,
  openHosts,
  planWithdrawal,
  stepMs,
  zoneOut,
  type RunningTask,
} from '../src/index.js'

const capacity = { cores: 16, memoryGb: 64 }
const hosts = ['a', 'spare'].flatMap(pool =>
  Array.from({ length: 8 }, (_, i): FleetHost => {
    const zone = `z${i % 4}`
    return {
      id: `${pool}${i}`,
      pool,
      zone,
      rack: zone,
      state: 'serving',
      capacity,
      maintainedAt: 0,
    }
  }),
)
const budgets = [
  { service: 'a', pool: 'a', required: 5, zoneFailures: 1 },
  { service: 'spare', pool: 'spare', required: 4, zoneFailures: 1 },
]
const fleet: Fleet = { hosts, budgets, zonesOut: new Set() }
const state = {
  fleet,
  zone: 'z0',
  needs: [
    { pool: 'a', hosts: 8 },
    { pool: 'spare', hosts: 4 },
  ],
  pressure: new Map([['a', { debt: 1e9, at: 0 }]]),
  sparePools: new Set(['spare']),
  homes: new Map(hosts.map(({ id, pool }) => [id, pool])),
  moveCostMs: 240_000,
  shares: new Map([
    ['x', 2],
    ['y', 1],
  ]),
}

const anyTask = fc.record({
  team: fc.constantFrom('x', 'y'),
  host: fc.constantFrom(...hosts.map(({ id }) => id)),
  cores: fc.integer({ min: 1, max: 4 }),
  memoryGb: fc.integer({ min: 1, max: 16 }),
  checkpointable: fc.boolean(),
})

void t.test('guards against overloaded zones, teams over their limit and starts in the zone', t => {
  const property = fc.property(fc.array(anyTask, { maxLength: 90 }), fc.nat(60), (any, limit) => {
    const running = any.map((task, i): RunningTask => ({ ...task, id: `t${i}` }))
    const limits = new Map([['x', limit]])
    const inUse = new Map([['x', running.filter(r => r.team === 'x' && staysPut(r)).length]])
    const steps = planWithdrawal({ ...state, running, limits, inUse })
    const move = steps.find(step => step.kind === 'move')
    const cores = new Map(hosts.map(({ id }) => [id, 0]))
    const add = (id: string, n: number) => cores.set(id, (cores.get(id) ?? 0) + n)
    for (const task of running.filter(staysPut)) add(task.host, task.cores)
    const before = new Map(cores)
    for (const { task, host } of move?.tasks ?? []) {
      const found = running.find(({ id }) => id === task)
      add(host, found?.cores ?? 0)
      t.equal(host.replace(/\d/, ''), found?.host.replace(/\d/, ''), 'stays in its pool')
      t.ok(mayStart(zoneOut(fleet, 'z0'), host))
    }
    for (const [id, used] of cores) t.ok(used <= Math.max(16, before.get(id) ?? 0))
    const started = (move?.tasks ?? []).filter(p =>
      running.some(r => r.id === p.task && r.team === 'x'),
    )
    t.ok(started.length === 0 || started.length + (inUse.get('x') ?? 0) <= limit)
  })
  fc.assert(property, { seed: 31, numRuns: 200 })
  t.end()
})

function staysPut(task: RunningTask): boolean {
  return !(task.checkpointable && ['a0', 'a4', 'spare0', 'spare4'].includes(task.host))
}

void t.test('guards against work moved before starts stop and tasks interrupted', t => {
  const task = { team: 'x', host: 'a0', cores: 1, memoryGb: 1 }
  const running = [
    { ...task, id: 'saved', checkpointable: true },
    { ...task, id: 'finishes', checkpointable: false },
  ]
  const steps = planWithdrawal({ ...state, running, limits: new Map(), inUse: new Map() })
  t.same(
    steps.map(({ kind }) => kind),
    ['stop-starts', 'lend', 'checkpoint', 'move', 'drain'],
  )
  t.match(steps[1], { moves: [{ from: 'spare', to: 'a', reason: 'load' }] })
  t.match(steps[2], { tasks: ['saved'] })
  t.match(steps[4], { hosts: ['a0', 'a4', 'spare0', 'spare4'], finishing: ['finishes'] })
  t.end()
})

void t.test('guards against displaced work that ignores shares', t => {
  const full = withHosts(fleet, h =>
    h.zone === 'z1' || h.zone === 'z0' ? h : { ...h, state: 'failed' },
  )
  const running = Array.from({ length: 24 }, (_, i): RunningTask => {
    return {
      id: `t${i}`,
      team: i < 12 ? 'y' : 'x',
      host: 'a0',
      cores: 1,
      memoryGb: 1,
      checkpointable: true,
    }
  })
  const small = withHosts(full, h => ({ ...h, capacity: { cores: 6, memoryGb: 64 } }))
  const steps = planWithdrawal({
    ...state,
    fleet: small,
    running,
    limits: new Map(),
    inUse: new Map(),
  })
  const move = steps.find(step => step.kind === 'move')
  const ofX = move?.tasks.filter(({ task }) => Number(task.slice(1)) >= 12).length
  t.same([move?.tasks.length, ofX], [12, 8])
  t.end()
})

void t.test('guards against a return in one step, over bad health, or with a second wave', t => {
  const good = { healthyHosts: 1, failedRequests: 0 }
  const wide = {
    ...fleet,
    hosts: [0, 1, 2, 3, 4].flatMap(n => hosts.map(h => ({ ...h, id: `${h.id}-${n}` }))),
  }
  let zone = beginReturn('z0', 0)
  t.equal(openHosts(wide, zone).length, 2)
  t.equal(advanceReturn(zone, good, stepMs - 1).step, 0)
  zone = advanceReturn(zone, good, stepMs)
  t.equal(openHosts(wide, zone).length, 6)
  zone = advanceReturn(zone, { ...good, failedRequests: 0.5 }, stepMs + 1)
  t.equal(openHosts(wide, zone).length, 2)
  t.equal(advanceReturn(zone, good, 2 * stepMs + 1).step, 0, 'waits twice as long')
  for (const at of [10, 20, 30]) zone = advanceReturn(zone, good, at * stepMs)
  t.ok(isReturned(zone))
  t.equal(openHosts(wide, zone).length, 20)
  t.notOk(mayEndLoans(zone, 31 * stepMs))
  t.ok(mayEndLoans(zone, 36 * stepMs))
  t.end()
})
