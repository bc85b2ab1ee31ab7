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

const msPerHour = 3_600_000

void t.test('retention removes only rows that are old and no longer used', async t => {
  const standin = await createTableStandin()
  const table = createHttpTableService({ url: standin.url })
  t.teardown(async () => {
    await table.close()
    await standin.close()
  })
  let clockOffsetMs = 0
  let isHeld = true
  const check = { table: 'duty-fences', key: 'records', version: 0 }
  const retention = createRetention({
    table,
    clock: { now: () => clockOffsetMs },
    wallClock: () => Date.now() + clockOffsetMs,
    retentionMs: msPerHour,
    dutyCheck: () => (isHeld ? check : undefined),
    memberIds: () => new Set(['e1']),
  })
  const jobs = createJobService({ table, member: 'e1' })
  const request = { cpus: 1, memoryMb: 1, accelerators: 0, runMs: 1 }
  const fields = { team: 'lamps', queue: 'q', idempotent: true, urgent: false, request }
  const ended = await jobs.accept({ ...fields, payload: 1, idempotencyKey: 'k1' })
  const waiting = await jobs.accept({ ...fields, payload: 2, idempotencyKey: 'k2' })
  await jobs.cancel({ team: 'lamps', ids: [ended] })
  const heartbeats = ['e1', 'e2', 'e3'].map(key => ({ table: 'entry-heartbeats', key, value: {} }))
  const lastAt = new Date().toISOString()
  const decision = { table: 'decisions', key: 'team/lamps/1', value: { lastAt } }
  await table.commit({ checks: [], writes: [...heartbeats, decision] })
  const countRows = async () => {
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
  t.equal(await retention.runRound(), 0)
  clockOffsetMs = msPerHour - 60_000
  await table.commit({ checks: [], writes: heartbeats.slice(2) })
  await retention.runRound()
  t.same(
    await countRows(),
    [2, 2, 2, 1, 2],
    'only the silent heartbeat of an unregistered host is removed',
  )
  isHeld = false
  clockOffsetMs = 2 * msPerHour
  await retention.runRound()
  t.same(await countRows(), [2, 2, 2, 1, 2], 'a process that has lost the duty removes nothing')
  isHeld = true
  await retention.runRound()
  await retention.runRound()
  t.same(await countRows(), [1, 1, 1, 0, 1])
  t.ok(await jobs.get({ team: 'lamps', id: waiting }), 'a queued job is kept, however old')
  t.equal(await jobs.accept({ ...fields, payload: 2, idempotencyKey: 'k2' }), waiting)
})
