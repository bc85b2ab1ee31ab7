import t, { type Test } from 'tap'
import { createManualClock, createTableStandin, until } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import { createDecisionLog, explain } from '../src/index.js'

async function setup(t: Test) {
  const standin = await createTableStandin()
  const clock = createManualClock()
  const table = createHttpTableService({ url: standin.url, clock })
  let wall = Date.parse('2026-01-05T10:00:00Z')
  const log = createDecisionLog({ table, member: 'e1', clock, wallClock: () => wall++ })
  t.teardown(async () => {
    await log.close()
    await table.close()
    await standin.close()
  })
  const refuse = (id: string, rule = 'team-limit', running = 5) => {
    const observed = { running, limit: 5 }
    log.record({ subject: { kind: 'team', id }, rule, observed, action: 'refuse' })
  }
  const flush = async () => {
    const before = standin.counters().writes
    clock.advance(500)
    await until(() => standin.counters().writes > before)
  }
  return { standin, clock, log, refuse, flush }
}

void t.test('a burst of refusals costs few rows and keeps its count', async t => {
  const { standin, log, refuse, flush } = await setup(t)
  for (let n = 0; n < 900; n++) refuse(`t${n % 30}`)
  refuse('t1', 'view-expired')
  await flush()
  t.equal(standin.counters().rowsWritten, 2)
  const [newest, older] = await log.read({ kind: 'team', id: 't1', limit: 10 })
  t.match(newest, { rule: 'view-expired', count: 1 })
  t.match(older, { rule: 'team-limit', count: 900, lastAt: '2026-01-05T10:00:00.899Z' })
  t.same(await log.read({ kind: 'team', id: 'other', limit: 10 }), [])
})

void t.test('an outage longer than the buffer drops and counts, and doubles nothing', async t => {
  const { standin, log, refuse, flush } = await setup(t)
  standin.faults.loseAnswers = { next: 2 }
  refuse('a')
  await flush()
  for (let n = 0; n < 1_200; n++) refuse('b')
  t.equal(log.dropped(), 200)
  await log.close()
  t.equal((await log.read({ kind: 'team', id: 'a', limit: 10 })).length, 1)
  t.match(await log.read({ kind: 'team', id: 'b', limit: 10 }), [{ count: 1_000, dropped: 200 }])
})

void t.test('a decision that JSON cannot hold does not block the others', async t => {
  const { log, refuse } = await setup(t)
  const subject = { kind: 'team', id: 'a' }
  log.record({ subject, rule: 'zone-out', observed: { size: 1n }, action: 'refuse' })
  refuse('a')
  await log.close()
  t.equal((await log.read({ ...subject, limit: 10 })).length, 2)
})

void t.test('close writes what waits', async t => {
  const { log, refuse } = await setup(t)
  refuse('a')
  await log.close()
  const [record] = await log.read({ kind: 'team', id: 'a', limit: 1 })
  t.equal(
    record === undefined ? '' : explain(record),
    'Action "refuse" was taken on team a (2026-01-05T10:00:00.000Z) because the team already ran 5 of the 5 that its upper limit allows.',
  )
})
