import t from 'tap'
import { waitUntil } from '@bulrushbridge/standins'
import type { LogFields } from '@bulrushbridge/telemetry'
import { createLoadLog } from '../src/load-log.js'

// An incident in which one host was too weak to place all work could not be told from a slow store
// or a slow network, because nothing showed how busy the dispatcher was.
void t.test('the load line tells a busy event loop from slow calls', async t => {
  const lines: { message: string; fields: LogFields }[] = []
  const record = (message: string, fields: LogFields = {}) => {
    lines.push({ message, fields })
  }
  const log = { debug: record, info: record, warn: record, error: record }
  const readState = () => ({ jobs: 3, runs: 5, waitingTasks: 7, storeLagMs: 12.4 })
  const loadLog = createLoadLog({ fence: 4, log, readState })
  t.teardown(() => {
    loadLog.close()
  })
  loadLog.addPass(2)
  loadLog.addPass(4)
  loadLog.addStart(10)
  loadLog.addStart(30)
  await waitUntil(() => lines.length > 0)
  const [line] = lines
  t.equal(line?.message, 'dispatcher load')
  t.match(line?.fields, {
    fence: 4,
    passes: 2,
    passMs: 6,
    starts: 2,
    startMs: 20,
    jobs: 3,
    runs: 5,
    waitingTasks: 7,
    storeLagMs: 12,
  })
  const use = Number(line?.fields.eventLoopUse)
  t.ok(use >= 0 && use <= 1, `the event loop is used between 0 and 1: ${use}`)
  await waitUntil(() => lines.length > 1)
  t.match(lines[1]?.fields, { passes: 0, starts: 0 }, 'each line covers its own interval')
})
