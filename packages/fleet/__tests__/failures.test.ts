import t from 'tap'
import { hostsTable } from '@bulrushbridge/host'
import { createWorld, type World } from './fixture.js'

const findDecisions = (world: World, kind: string, action: string) =>
  world.decisions.filter(
    ({ subject, action: recordedAction }) => subject.kind === kind && recordedAction === action,
  )

void t.test('an unhealthy return halts the wave until the host is repaired', async t => {
  const world = createWorld()
  const holder = world.acquireDuty()
  await holder.runUntil(() => world.listHostRows().some(({ state }) => state === 'maintenance'))
  const rowsInMaintenance = world.listHostRows().filter(({ state }) => state === 'maintenance')
  const unhealthyHost = rowsInMaintenance[0]?.id ?? ''
  world.faults.returnUnhealthy.push(unhealthyHost)
  t.ok(await holder.runUntil(() => world.findState(unhealthyHost) === 'failed'))
  t.match(
    world.listHostRows().find(({ id }) => id === unhealthyHost),
    { outcome: 'unhealthy' },
  )
  t.match(findDecisions(world, 'host', 'fail'), [
    { rule: 'unhealthy-return', subject: { id: unhealthyHost } },
  ])
  const rebootedHosts = Object.values(world.countReboots()).filter(count => count > 0).length
  await holder.runUntil(() => false, 120)
  const otherRows = world.listHostRows().filter(({ id }) => id !== unhealthyHost)
  t.ok(
    otherRows.every(({ state }) => state === 'serving'),
    'the other hosts of the wave still return',
  )
  t.equal(Object.values(world.countReboots()).filter(count => count > 0).length, rebootedHosts)
  t.match(findDecisions(world, 'wave', 'halt'), [
    { rule: 'wave-halted', observed: { unhealthy: 1 } },
  ])
  // The halt is stored in the rows, so the next lease holder does not continue the wave either.
  const second = world.acquireDuty()
  await second.runUntil(() => false, 60)
  t.ok(otherRows.every(({ id }) => world.findState(id) === 'serving'))
  world.faults.returnUnhealthy.length = 0
  world.bootHost(unhealthyHost)
  t.ok(await second.runUntil(world.isRoundDone))
  t.same(world.violations, [])
})

void t.test('a host that never returns fails at its deadline and halts the wave', async t => {
  const world = createWorld({ workers: 0, spares: 0 })
  const holder = world.acquireDuty()
  await holder.runUntil(() => world.listHostRows().some(({ state }) => state === 'maintenance'))
  const missingHost = world.listHostRows().find(({ state }) => state === 'maintenance')?.id ?? ''
  world.faults.neverReturn.push(missingHost)
  t.ok(await holder.runUntil(() => world.findState(missingHost) === 'failed', 1_200))
  t.match(findDecisions(world, 'host', 'fail'), [
    { rule: 'return-deadline', subject: { id: missingHost } },
  ])
  const projectionKeys = world.table.listRows(hostsTable).map(({ key }) => key)
  t.notOk(projectionKeys.some(key => key.endsWith(`/${missingHost}`)))
  await holder.runUntil(() => false, 60)
  t.match(findDecisions(world, 'wave', 'halt'), [{ observed: { reasons: /host-missing/ } }])
  t.ok(world.listHostRows().every(({ id, state }) => id === missingHost || state === 'serving'))
  world.faults.neverReturn.length = 0
  t.ok(await holder.runUntil(world.isRoundDone))
  t.same(new Set(Object.values(world.countReboots())), new Set([1]))
  t.same(world.violations, [])
})

void t.test('a host that is not listed fails after 30 s, not before', async t => {
  const world = createWorld()
  world.cfg.zonesOut.push('a')
  const holder = world.acquireDuty()
  await holder.runUntil(() => false, 5)
  world.unlistedHosts.add('f1')
  await holder.runUntil(() => false, 30)
  t.equal(world.findState('f1'), 'serving')
  await holder.runUntil(() => false, 3)
  t.equal(world.findState('f1'), 'failed')
  // The next lease holder counts the 30 s anew, but must not take the host for serving meanwhile.
  const second = world.acquireDuty()
  await second.runUntil(() => false, 5)
  t.equal(world.findState('f1'), 'failed')
  world.unlistedHosts.clear()
  t.ok(await second.runUntil(() => world.findState('f1') === 'serving'))
  t.same(world.violations, [])
})

void t.test('no host is drained in reliance on a serving host that is not listed', async t => {
  const world = createWorld({ workers: 0, spares: 0 })
  const first = world.acquireDuty()
  first.faults.stopAfterCommits = world.hosts.length
  await first.runUntil(() => first.faults.isStopped)
  world.unlistedHosts.add('f1')
  const second = world.acquireDuty()
  await second.runUntil(() => false, 20)
  t.ok(world.listHostRows().every(({ state }) => state === 'serving'))
  world.unlistedHosts.clear()
  t.ok(await second.runUntil(world.isRoundDone))
  t.same(world.violations, [])
})

void t.test('the row of a failed host that stays unlisted is removed after a day', async t => {
  const world = createWorld({ workers: 1, spares: 0 })
  world.cfg.zonesOut.push('b')
  const holder = world.acquireDuty()
  await holder.runUntil(() => false, 2)
  world.unlistedHosts.add('w0')
  await holder.runUntil(() => world.findState('w0') === 'failed')
  world.clock.advance(24 * 60 * 60_000)
  await holder.runUntil(() => false, 2)
  t.equal(world.findState('w0'), undefined)
  // The host returns. The platform still knows its generation, but its row is gone, so the first
  // order must have a higher generation than the one executed here.
  world.executeOrder('w0', 'open', 1)
  world.unlistedHosts.clear()
  world.cfg.zonesOut.length = 0
  t.ok(await holder.runUntil(() => world.findState('w0') === 'maintenance'))
  t.ok(await holder.runUntil(() => world.findState('w0') === 'serving'))
  t.same(world.violations, [])
})
