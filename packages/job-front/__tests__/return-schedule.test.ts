import t from 'tap'
import { createReturnSchedule, maxReturnMs } from '../src/return-schedule.js'

const request = { key: 'quick acme', waitMs: 1_000, workMs: 10, hosts: 1, now: 0 }

// Guards against rejected callers that all return in the same second and are rejected once more.
void t.test('rejected callers return one after another, at the rate of their work', t => {
  const schedule = createReturnSchedule()
  const delays = Array.from({ length: 1_000 }, (_, index) =>
    schedule.next({ ...request, id: `job-${index}` }),
  )
  t.ok(delays.every(delay => delay >= 1_000))
  const perSecond = new Map<number, number>()
  for (const delay of delays) {
    const second = Math.ceil(delay / 1_000)
    perSecond.set(second, (perSecond.get(second) ?? 0) + 1)
  }
  t.ok(Math.max(...perSecond.values()) <= 130, 'about 100 jobs of 10 ms can be done in a second')
  const [first = 0] = delays
  const last = delays.at(-1) ?? 0
  t.ok(last - first > 8_000, 'those that were rejected first return first')
  t.end()
})

// Guards against a flood at one host whose callers are sent away for minutes, or return together at the bound.
void t.test('no caller is sent away for longer than the bound, and they are spread below it', t => {
  const schedule = createReturnSchedule()
  const delays = Array.from({ length: 20_000 }, (_, index) =>
    schedule.next({ ...request, hosts: 43, id: `job-${index}` }),
  )
  t.ok(Math.max(...delays) <= maxReturnMs)
  const late = delays.slice(1_000).map(delay => Math.ceil(delay / 1_000))
  const counts = new Map<number, number>()
  for (const second of late) counts.set(second, (counts.get(second) ?? 0) + 1)
  t.ok(Math.max(...counts.values()) < late.length / 10)
  t.ok(schedule.next({ ...request, id: 'x', now: 60_000 }) < 2_001, 'it recovers')
  t.end()
})

// Guards against callers of one organisation that wait for the burst of another one.
void t.test('each queue and organisation has its own turns', t => {
  const schedule = createReturnSchedule()
  for (let index = 0; index < 500; index++) schedule.next({ ...request, id: `job-${index}` })
  t.ok(schedule.next({ ...request, key: 'quick other', id: 'x' }) <= 2_000)
  for (let index = 0; index < 5_000; index++)
    schedule.next({ ...request, key: `key-${index}`, id: 'x' })
  t.ok(schedule.next({ ...request, id: 'y' }) <= 2_000, 'keys that are not used are forgotten')
  t.end()
})
