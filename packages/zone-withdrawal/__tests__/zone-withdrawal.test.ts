import { mapHosts, type Fleet, type FleetHost } from '@bulrushbridge/host-pools'
import fc from 'fast-check'
import t from 'tap'
import {
  advanceReturn,
  beginReturn,
  isReturned,
  canEndLoans,
  canStartOnHost,
  selectOpenHosts,
  planWithdrawal,
  returnStepMs,
  withZoneOut,
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
const withdrawal = {
  fleet,
  zone: 'z0',
  needs: [
    { pool: 'a', hosts: 8 },
    { pool: 'spare', hosts: 4 },
  ],
  pressure: new Map([['a', { shortageHostMs: 1e9, at: 0 }]]),
  sparePools: new Set(['spare']),
  homePools: new Map(hosts.map(({ id, pool }) => [id, pool])),
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
  isCheckpointable: fc.boolean(),
})

void t.test(
  'a withdrawal overloads no host, exceeds no team limit and starts nothing in the zone',
  t => {
    const property = fc.property(
      fc.array(anyTask, { maxLength: 90 }),
      fc.nat(60),
      (drawnTasks, limit) => {
        const running = drawnTasks.map((task, i): RunningTask => ({ ...task, id: `t${i}` }))
        const limits = new Map([['x', limit]])
        const inUse = new Map([['x', running.filter(r => r.team === 'x' && staysOnHost(r)).length]])
        const steps = planWithdrawal({ ...withdrawal, running, limits, inUse })
        const move = steps.find(step => step.kind === 'move')
        const cores = new Map(hosts.map(({ id }) => [id, 0]))
        const addCores = (id: string, n: number) => cores.set(id, (cores.get(id) ?? 0) + n)
        for (const task of running.filter(staysOnHost)) addCores(task.host, task.cores)
        const initialCores = new Map(cores)
        for (const { task, host } of move?.tasks ?? []) {
          const movedTask = running.find(({ id }) => id === task)
          addCores(host, movedTask?.cores ?? 0)
          t.equal(host.replace(/\d/, ''), movedTask?.host.replace(/\d/, ''), 'stays in its pool')
          t.ok(canStartOnHost(withZoneOut(fleet, 'z0'), host))
        }
        for (const [id, used] of cores) t.ok(used <= Math.max(16, initialCores.get(id) ?? 0))
        const started = (move?.tasks ?? []).filter(p =>
          running.some(r => r.id === p.task && r.team === 'x'),
        )
        t.ok(started.length === 0 || started.length + (inUse.get('x') ?? 0) <= limit)
      },
    )
    fc.assert(property, { seed: 31, numRuns: 200 })
    t.end()
  },
)

function staysOnHost(task: RunningTask): boolean {
  return !(task.isCheckpointable && ['a0', 'a4', 'spare0', 'spare4'].includes(task.host))
}

void t.test(
  'starts stop before tasks move, and tasks without checkpoints finish on their hosts',
  t => {
    const task = { team: 'x', host: 'a0', cores: 1, memoryGb: 1 }
    const running = [
      { ...task, id: 'saved', isCheckpointable: true },
      { ...task, id: 'finishes', isCheckpointable: false },
    ]
    const steps = planWithdrawal({ ...withdrawal, running, limits: new Map(), inUse: new Map() })
    t.same(
      steps.map(({ kind }) => kind),
      ['stop-starts', 'lend', 'checkpoint', 'move', 'drain'],
    )
    t.match(steps[1], { moves: [{ from: 'spare', to: 'a', reason: 'load' }] })
    t.match(steps[2], { tasks: ['saved'] })
    t.match(steps[4], { hosts: ['a0', 'a4', 'spare0', 'spare4'], finishing: ['finishes'] })
    t.end()
  },
)

void t.test('displaced tasks are placed by the shares of their teams', t => {
  const twoZones = mapHosts(fleet, h =>
    h.zone === 'z1' || h.zone === 'z0' ? h : { ...h, state: 'failed' },
  )
  const running = Array.from({ length: 24 }, (_, i): RunningTask => {
    return {
      id: `t${i}`,
      team: i < 12 ? 'y' : 'x',
      host: 'a0',
      cores: 1,
      memoryGb: 1,
      isCheckpointable: true,
    }
  })
  const smallHosts = mapHosts(twoZones, h => ({ ...h, capacity: { cores: 6, memoryGb: 64 } }))
  const steps = planWithdrawal({
    ...withdrawal,
    fleet: smallHosts,
    running,
    limits: new Map(),
    inUse: new Map(),
  })
  const move = steps.find(step => step.kind === 'move')
  const movedOfX = move?.tasks.filter(({ task }) => Number(task.slice(1)) >= 12).length
  t.same([move?.tasks.length, movedOfX], [12, 8])
  t.end()
})

void t.test('a zone returns in steps, goes back a step when unhealthy, and ends loans last', t => {
  const healthy = { healthyHostFraction: 1, failedRequestFraction: 0 }
  const largeFleet = {
    ...fleet,
    hosts: [0, 1, 2, 3, 4].flatMap(n => hosts.map(h => ({ ...h, id: `${h.id}-${n}` }))),
  }
  let zoneReturn = beginReturn('z0', 0)
  t.equal(selectOpenHosts(largeFleet, zoneReturn).length, 2)
  t.equal(advanceReturn(zoneReturn, healthy, returnStepMs - 1).step, 0)
  zoneReturn = advanceReturn(zoneReturn, healthy, returnStepMs)
  t.equal(selectOpenHosts(largeFleet, zoneReturn).length, 6)
  zoneReturn = advanceReturn(
    zoneReturn,
    { ...healthy, failedRequestFraction: 0.5 },
    returnStepMs + 1,
  )
  t.equal(selectOpenHosts(largeFleet, zoneReturn).length, 2)
  t.equal(advanceReturn(zoneReturn, healthy, 2 * returnStepMs + 1).step, 0, 'waits twice as long')
  for (const at of [10, 20, 30]) zoneReturn = advanceReturn(zoneReturn, healthy, at * returnStepMs)
  t.ok(isReturned(zoneReturn))
  t.equal(selectOpenHosts(largeFleet, zoneReturn).length, 20)
  t.notOk(canEndLoans(zoneReturn, 31 * returnStepMs))
  t.ok(canEndLoans(zoneReturn, 36 * returnStepMs))
  t.end()
})
