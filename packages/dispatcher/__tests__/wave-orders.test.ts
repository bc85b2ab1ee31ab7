import type { CallResult, Machine, MachineAnswer } from '@bulrushbridge/scheduler'
import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { StoreError } from '@bulrushbridge/store'
import { createFleet, oneTask } from './fixture.js'

function machine(id: string, state: Machine['state']): Machine {
  const capacity = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
  return { id, pool: 'pool', state, zone: 'zone-a', labels: [], capacity, runnerId: undefined }
}

// Guards against too many machines in upkeep: after a takeover more machines of a wave were down
// than its operator allows, because upkeeps ordered by the previous dispatcher did not count.
void t.test('upkeeps that an earlier dispatcher ordered count as unavailable', async t => {
  const machines = [machine('m1', 'upkeep'), machine('m2', 'up')]
  const ordered: string[] = []
  let listCalls = 0
  const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
  const fleet = createFleet({
    waves: [{ id: 1, machines: ['m1', 'm2'], timeMs: 60_000, maxUnavailable: 1 }],
    machines: {
      list: () => {
        listCalls += 1
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
  await waitUntil(() => listCalls >= 2)
  t.same(ordered, [])
  Object.assign(machines[0] ?? {}, { state: 'up' })
  await waitUntil(() => ordered.length > 0)
  await dispatcher.close()
})

// Guards against idle machines after a takeover: while hosts stopped one after another, each new
// dispatcher ordered no machine for 3 s, so a pool with demand got none and the wave was late.
void t.test(
  'a new dispatcher waits only for machines that the previous one ordered recently',
  async t => {
    const machines = [machine('m1', 'up'), machine('m2', 'up')]
    const machineLeaseMs = 1_500
    // Without an answer the first dispatcher does not know whether the upkeep has begun.
    const unanswered: CallResult<MachineAnswer> = { outcome: 'unknown', reason: 'no answer' }
    const orders: { id: string; holder: string; at: number }[] = []
    const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
    const fleet = createFleet({
      machineLeaseMs,
      waves: [{ id: 1, machines: ['m1', 'm2'], timeMs: 60_000, maxUnavailable: 2 }],
      machines: {
        list: () => Promise.resolve({ outcome: 'done', value: structuredClone(machines) }),
        upkeep: ({ machine: id, holder }) => {
          orders.push({ id, holder, at: performance.now() })
          return Promise.resolve(holder === 'host-1' ? unanswered : accepted)
        },
        move: () => Promise.resolve(accepted),
        close: () => Promise.resolve(),
      },
    })
    Object.assign(machines[1] ?? {}, { state: 'down' })
    const first = fleet.start('host-1')
    await waitUntil(() => orders.length > 0)
    t.match(orders, [{ id: 'm1', holder: 'host-1' }])
    Object.assign(machines[1] ?? {}, { state: 'up' })
    await first.close()
    const tookOverAt = performance.now()
    const second = fleet.start('host-2')
    const ofSecond = (id: string) =>
      orders.find(order => order.id === id && order.holder === 'host-2')?.at
    await waitUntil(() => ofSecond('m1') !== undefined)
    t.ok((ofSecond('m2') ?? Infinity) - tookOverAt < machineLeaseMs, 'm2 was ordered at once')
    t.ok((ofSecond('m1') ?? 0) - tookOverAt >= machineLeaseMs, 'm1 was ordered after the time')
    await second.close()
  },
)

// Guards against repeated upkeeps: each of four dispatchers in turn ordered the same eight machines
// first, so two of the 18 machines of a wave were late.
void t.test('a new dispatcher does not order an upkeep again that has begun', async t => {
  const machines = [machine('m1', 'up'), machine('m2', 'down')]
  const orders: string[] = []
  const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
  const fleet = createFleet({
    waves: [{ id: 1, machines: ['m1', 'm2'], timeMs: 60_000, maxUnavailable: 2 }],
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: structuredClone(machines) }),
      upkeep: ({ machine: id, holder }) => {
        orders.push(`${id} by ${holder}`)
        return Promise.resolve(accepted)
      },
      move: () => Promise.resolve(accepted),
      close: () => Promise.resolve(),
    },
  })
  const first = fleet.start('host-1')
  await waitUntil(async () => {
    const row = await fleet.store.read<{ begun: string[] }>('waves', '1')
    return row?.value.begun.includes('m1') === true
  })
  await first.close()
  Object.assign(machines[1] ?? {}, { state: 'up' })
  const second = fleet.start('host-2')
  await waitUntil(() => orders.includes('m2 by host-2'))
  t.same(orders, ['m1 by host-1', 'm2 by host-2'])
  await second.close()
})

// Guards against an upkeep that never begins: a machine ran two tasks of a step that may miss only
// one, so it stayed cordoned for 20 s and missed its wave.
void t.test('a cordoned machine gives up tasks that may not all stop at once', async t => {
  const listed: Machine = { ...machine('m1', 'up'), runnerId: 'r1' }
  const orders: string[] = []
  const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
  const waves = [{ id: 1, machines: ['m1'], timeMs: 60_000, maxUnavailable: 1 }]
  const fleet = createFleet({
    waves: [],
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: [listed] }),
      upkeep: ({ machine: id }) => {
        orders.push(id)
        return Promise.resolve(accepted)
      },
      move: () => Promise.resolve(accepted),
      close: () => Promise.resolve(),
    },
  })
  const first = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  await fleet.submit('lasting', [{ ...oneTask, count: 2, isLasting: true, mayMiss: 1 }])
  await waitUntil(() => first.running.size === 2)
  const second = await fleet.addRunner('r2')
  for (const wave of waves) fleet.addWave(wave)
  await waitUntil(() => second.running.size > 0)
  await waitUntil(() => orders.length > 0)
  t.same(orders, ['m1'])
  await dispatcher.close()
})

// Guards against needless waits: after all hosts had lost power, the same host took over and did
// not order the machines that it had ordered itself, and an outdated record delayed orders.
void t.test('a host does not wait for its own orders, and an old record is emptied', async t => {
  const machines = [machine('m1', 'up')]
  const orders: string[] = []
  let isAnswered = false
  const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
  const unanswered: CallResult<MachineAnswer> = { outcome: 'unknown', reason: 'no answer' }
  const fleet = createFleet({
    machineLeaseMs: 1_000,
    // The unanswered upkeep may still begin, so its machine counts as unavailable.
    waves: [{ id: 1, machines: ['m1'], timeMs: 60_000, maxUnavailable: 2 }],
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: structuredClone(machines) }),
      upkeep: ({ machine: id }) => {
        orders.push(id)
        return Promise.resolve(isAnswered ? accepted : unanswered)
      },
      move: () => Promise.resolve(accepted),
      close: () => Promise.resolve(),
    },
  })
  const before = fleet.start('host-1')
  await waitUntil(() => orders.length > 0)
  await before.close()
  isAnswered = true
  orders.length = 0
  const tookOverAt = performance.now()
  const after = fleet.start('host-1')
  await waitUntil(() => orders.length > 0)
  t.ok(performance.now() - tookOverAt < 1_000, 'ordered at once')
  await waitUntil(async () => {
    const row = await fleet.store.read<object>('machines', 'ordered')
    return row !== undefined && Object.keys(row.value).length === 0
  })
  await after.close()
})

// Guards against waves that never end: the completion of a wave counted as stored although the store
// had not confirmed it, so it was not written again.
void t.test('the completion of a wave is written again when it was not stored', async t => {
  const machines = [machine('m1', 'up')]
  const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
  const fleet = createFleet({
    waves: [{ id: 1, machines: ['m1'], timeMs: 60_000, maxUnavailable: 1 }],
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: structuredClone(machines) }),
      upkeep: () => Promise.resolve(accepted),
      move: () => Promise.resolve(accepted),
      close: () => Promise.resolve(),
    },
  })
  const commit = fleet.store.commit.bind(fleet.store)
  let lost = 0
  fleet.store.commit = (tx, opts) => {
    const isCompletion = tx.writes.some(
      ({ table, value }) =>
        table === 'waves' && (value as { isComplete: boolean } | null)?.isComplete === true,
    )
    if (!isCompletion || lost > 0) return commit(tx, opts)
    lost += 1
    return Promise.reject(new StoreError('no answer in time', { isResultKnown: false }))
  }
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => lost === 1)
  await new Promise(resolve => setTimeout(resolve, 2_500))
  t.match(await fleet.store.read('status', 'wave/1'), { value: { state: 'completed' } })
})

// Guards against AVAIL: a restart ended the cordon of a runner whose upkeep order had no answer; lasting
// tasks started there, and the repeated order ended them.
void t.test('a runner whose upkeep order has no answer gets no task after a restart', async t => {
  const listed: Machine = { ...machine('m1', 'up'), runnerId: 'r1' }
  let orders = 0
  const fleet = createFleet({
    dispatcherLeaseMs: 5_000,
    waves: [{ id: 1, machines: ['m1'], timeMs: 60_000, maxUnavailable: 1 }],
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: [structuredClone(listed)] }),
      upkeep: () => {
        orders += 1
        return Promise.resolve({ outcome: 'unknown', reason: 'no answer' })
      },
      move: () => Promise.resolve({ outcome: 'not-done', reason: 'unused' }),
      close: () => Promise.resolve(),
    },
  })
  const runner = await fleet.addRunner('r1')
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => orders > 0)
  runner.restart()
  await fleet.addRunner('r1')
  // Longer than the pause between two reads of the registry.
  await new Promise(resolve => setTimeout(resolve, 400))
  const id = '00000000000000c1'
  await fleet.submit(id, [{ ...oneTask, count: 2, isLasting: true, mayMiss: 0 }])
  await new Promise(resolve => setTimeout(resolve, 500))
  t.same(runner.startedRuns, [])
  const other = await fleet.addRunner('r2')
  await waitUntil(() => other.running.size === 2)
})

// Guards against LIMIT: an upkeep order of a killed dispatcher was carried out seconds later, when the next
// one no longer counted it and had begun the upkeep of another machine.
void t.test('an unanswered upkeep of an earlier dispatcher counts until it is settled', async t => {
  const spare = { ...machine('m2', 'down'), pool: 'spare' }
  const machines = [machine('m1', 'up'), spare]
  const orders: string[] = []
  const unanswered: CallResult<MachineAnswer> = { outcome: 'unknown', reason: 'no answer' }
  const accepted: CallResult<MachineAnswer> = { outcome: 'done', value: { refusal: undefined } }
  let isAnswering = false
  const fleet = createFleet({
    machineLeaseMs: 300,
    cfg: {
      pools: [
        { name: 'pool', isSpare: false },
        { name: 'spare', isSpare: true },
      ],
    },
    waves: [{ id: 1, machines: ['m1', 'm2'], timeMs: 60_000, maxUnavailable: 1 }],
    machines: {
      list: () => Promise.resolve({ outcome: 'done', value: structuredClone(machines) }),
      upkeep: ({ machine: id, holder }) => {
        orders.push(`${holder} ${id}`)
        return Promise.resolve(isAnswering ? accepted : unanswered)
      },
      move: () => Promise.resolve(accepted),
      close: () => Promise.resolve(),
    },
  })
  const first = fleet.start('host-1')
  await waitUntil(() => orders.length > 0)
  await first.close()
  // The upkeep of a spare machine affects no tasks, so it would go first.
  spare.state = 'up'
  orders.length = 0
  const second = fleet.start('host-2')
  t.teardown(() => second.close())
  await new Promise(resolve => setTimeout(resolve, 1_000))
  t.same([...new Set(orders)], ['host-2 m1'], 'the order is repeated with the new token')
  isAnswering = true
  await waitUntil(() => orders.includes('host-2 m2'))
})
