import t, { type Test } from 'tap'
import { createManualClock, createTableStandin, waitUntil } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import { createDecisionLog, explain } from '../src/index.js'

async function setup(t: Test) {
  const standin = await createTableStandin()
  const clock = createManualClock()
  const table = createHttpTableService({ url: standin.url, clock })
  let wallMs = Date.parse('2026-01-05T10:00:00Z')
  const log = createDecisionLog({ table, member: 'e1', clock, wallClock: () => wallMs++ })
  t.teardown(async () => {
    await log.close()
    await table.close()
    await standin.close()
  })
  const recordRefusal = (id: string, rule = 'team-limit', running = 5) => {
    const observed = { running, limit: 5 }
    log.record({ subject: { kind: 'team', id }, rule, observed, action: 'refuse' })
  }
  const flush = async () => {
    const before = standin.counters().writes
    clock.advance(500)
    await waitUntil(() => standin.counters().writes > before)
  }
  return { standin, clock, log, recordRefusal, flush }
}

void t.test('a burst of refusals is stored in few rows and keeps its count', async t => {
  const { standin, log, recordRefusal, flush } = await setup(t)
  for (let n = 0; n < 900; n++) recordRefusal(`t${n % 30}`)
  recordRefusal('t1', 'view-expired')
  await flush()
  t.equal(standin.counters().rowsWritten, 2)
  const [newest, older] = await log.read({ kind: 'team', id: 't1', limit: 10 })
  t.match(newest, { rule: 'view-expired', count: 1 })
  t.match(older, { rule: 'team-limit', count: 900, lastAt: '2026-01-05T10:00:00.899Z' })
  t.same(await log.read({ kind: 'team', id: 'other', limit: 10 }), [])
})

void t.test(
  'in an outage, decisions beyond the buffer are dropped and counted, and none is stored twice',
  async t => {
    const { standin, log, recordRefusal, flush } = await setup(t)
    standin.faults.loseAnswers = { next: 2 }
    recordRefusal('a')
    await flush()
    for (let n = 0; n < 1_200; n++) recordRefusal('b')
    t.equal(log.dropped(), 200)
    await log.close()
    t.equal((await log.read({ kind: 'team', id: 'a', limit: 10 })).length, 1)
    t.match(await log.read({ kind: 'team', id: 'b', limit: 10 }), [{ count: 1_000, dropped: 200 }])
  },
)

void t.test('a decision that JSON cannot represent does not block the others', async t => {
  const { log, recordRefusal } = await setup(t)
  const subject = { kind: 'team', id: 'a' }
  log.record({ subject, rule: 'zone-out', observed: { size: 1n }, action: 'refuse' })
  recordRefusal('a')
  await log.close()
  t.equal((await log.read({ ...subject, limit: 10 })).length, 2)
})

void t.test('close writes the decisions that wait', async t => {
  const { log, recordRefusal } = await setup(t)
  recordRefusal('a')
  await log.close()
  const [record] = await log.read({ kind: 'team', id: 'a', limit: 1 })
  t.equal(
    record === undefined ? '' : explain(record),
    'Action "refuse" was taken on team a (2026-01-05T10:00:00.000Z) because the team already ran 5 of the 5 that its upper limit allows.',
  )
})
