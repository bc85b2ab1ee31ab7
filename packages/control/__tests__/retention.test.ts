import t from 'tap'
import {
  createJobService,
  idempotencyKeysTable,
  storedJobsTable,
  payloadsTable,
} from '@bulrushbridge/jobs'
import { createTableStandin } from '@bulrushbridge/standins'
import { createHttpTableService } from '@bulrushbridge/store'
import { createRetention } from '../src/retention.js'

const hourMs = 3_600_000

void t.test('only rows that are old and no longer used are removed', async t => {
  const standin = await createTableStandin()
  const table = createHttpTableService({ url: standin.url })
  t.teardown(async () => {
    await table.close()
    await standin.close()
  })
  let aheadMs = 0
  let isHeld = true
  const check = { table: 'duty-fences', key: 'records', version: 0 }
  const retention = createRetention({
    table,
    clock: { now: () => aheadMs },
    wallClock: () => Date.now() + aheadMs,
    retentionMs: hourMs,
    check: () => (isHeld ? check : undefined),
    members: () => new Set(['e1']),
  })
  const jobs = createJobService({ table, member: 'e1' })
  const request = { cpus: 1, memoryMb: 1, accelerators: 0, runMs: 1 }
  const fields = { team: 'lamps', queue: 'q', idempotent: true, urgent: false, request }
  const ended = await jobs.accept({ ...fields, payload: 1, idempotencyKey: 'k1' })
  const waiting = await jobs.accept({ ...fields, payload: 2, idempotencyKey: 'k2' })
  await jobs.cancel({ team: 'lamps', ids: [ended] })
  const beats = ['e1', 'e2', 'e3'].map(key => ({ table: 'entry-heartbeats', key, value: {} }))
  const lastAt = new Date().toISOString()
  const decision = { table: 'decisions', key: 'team/lamps/1', value: { lastAt } }
  await table.commit({ checks: [], writes: [...beats, decision] })
  const counts = async () => {
    const names = [
      storedJobsTable,
      payloadsTable,
      idempotencyKeysTable,
      'decisions',
      'entry-heartbeats',
    ]
    const scans = await Promise.all(names.map(name => table.scan(name)))
    return scans.map(rows => rows.length)
  }
  t.equal(await retention.round(), 0)
  aheadMs = hourMs - 60_000
  await table.commit({ checks: [], writes: beats.slice(2) })
  await retention.round()
  t.same(await counts(), [2, 2, 2, 1, 2], 'the silent host that is not registered is forgotten')
  isHeld = false
  aheadMs = 2 * hourMs
  await retention.round()
  t.same(await counts(), [2, 2, 2, 1, 2], 'a lost duty removes nothing')
  isHeld = true
  await retention.round()
  await retention.round()
  t.same(await counts(), [1, 1, 1, 0, 1])
  t.ok(await jobs.get({ team: 'lamps', id: waiting }), 'a queued job stays, however old')
  t.equal(await jobs.accept({ ...fields, payload: 2, idempotencyKey: 'k2' }), waiting)
})
