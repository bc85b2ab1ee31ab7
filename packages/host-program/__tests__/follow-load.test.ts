import type { Admission } from '@bulrushbridge/job-front'
import { createManualClock, createMemoryStore } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import t from 'tap'
import { followLoad } from '../src/follow-load.js'

// Guards against a load on the store by all hosts, which is most of what 300 hosts do there while nothing waits.
void t.test(
  'a host makes two calls a second while work waits, and one in 4 s otherwise',
  async t => {
    const clock = createManualClock()
    const store = createMemoryStore()
    const calls: number[] = []
    let isWaiting = false
    const applied: string[] = []
    store.changes = async (_table, { after, waitMs, signal }) => {
      calls.push(clock.now())
      // The dispatcher writes the row every 250 ms while work waits.
      const untilChangeMs = isWaiting ? 250 - (clock.now() % 250) : waitMs
      await clock.sleep(untilChangeMs, signal)
      const row = { key: 'queues', part: '', value: 1, version: after + 1, isDeleted: false }
      return { rows: isWaiting ? [row] : [], version: after + 1 }
    }
    const admission: Pick<Admission, 'applyRows' | 'hasWaitedRecently'> = {
      applyRows: rows => applied.push(...rows.map(({ key }) => key)),
      hasWaitedRecently: () => isWaiting,
    }
    const log = createLogger({ program: 'test', level: 'silent' })
    const follower = followLoad({ store, admission, log, clock })
    t.teardown(() => follower.close())
    await follower.ready
    const run = async (ms: number) => {
      const before = calls.length
      for (let passed = 0; passed < ms; passed += 10) {
        clock.advance(10)
        for (let turn = 0; turn < 3; turn++) await new Promise(resolve => setImmediate(resolve))
      }
      return calls.length - before
    }
    const idleCalls = await run(60_000)
    t.ok(idleCalls <= 15, `${idleCalls} calls in a minute in which nothing waits`)
    t.equal(applied.length, 0)
    isWaiting = true
    await run(4_000)
    const waitingCalls = await run(60_000)
    t.ok(waitingCalls <= 120, `${waitingCalls} calls in a minute in which work waits`)
    t.ok(waitingCalls >= 100)
    t.ok(applied.length >= 100)
  },
)
