import { createMemoryRunner, waitUntil } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import t from 'tap'
import type { Allocation } from '../src/allocation.js'
import { createRunnerSession, type SessionEvents } from '../src/runner-session.js'

const entry = {
  id: 'r1',
  pool: 'pool',
  address: 'r1',
  zone: 'zone-a',
  isDraining: false,
  capacity: { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 },
  labels: [],
  startedAt: 1,
}

function openSession(events: Partial<SessionEvents>) {
  const runner = createMemoryRunner()
  const session = createRunnerSession({
    id: 'r1',
    entry,
    fence: 1,
    leaseMs: 300,
    pollWaitMs: 20,
    assumedLeaseEnd: 0,
    createRunner: () => runner.api(),
    events: {
      onEnd: () => Promise.resolve(),
      onRunGivenUp: () => undefined,
      allocateUnexpectedRun: (_session, name, run) => createUnexpectedAllocation(name, run),
      onChange: () => undefined,
      onFenced: () => undefined,
      onStartConfirmed: () => undefined,
      onAllocationChange: () => undefined,
      ...events,
    },
    log: createLogger({ program: 'test', level: 'silent' }),
  })
  return { runner, session }
}

function createUnexpectedAllocation(taskName: string, runNumber: number): Allocation {
  return {
    taskName,
    runNumber,
    task: undefined,
    amounts: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    runnerStartedAt: 1,
    state: 'present',
    confirmedAt: undefined,
    orderedAt: undefined,
    percent: 0,
    percentAt: 0,
    usage: undefined,
    pacePercent: 100,
  }
}

const order = { payload: '', checkpoint: '', ticket: undefined, leaseDeadline: 0, fence: 1, run: 1 }

// Guards against acknowledging too much: during an outage of the store, an end that needed no write
// was acknowledged, and with it earlier ends that were not stored; their tasks ran again.
void t.test('an end that is not stored holds back the acknowledgement of later ones', async t => {
  let store: () => void = () => undefined
  const storing = new Promise<void>(resolve => (store = resolve))
  const seen: string[] = []
  const { runner, session } = openSession({
    onEnd: (_session, end) => {
      seen.push(end.task)
      return end.task === 'slow' ? storing : Promise.resolve()
    },
  })
  await runner.api().start({ ...order, task: 'slow' })
  await runner.api().start({ ...order, task: 'quick' })
  runner.end('slow', 'done')
  await waitUntil(() => seen.includes('slow'))
  runner.end('quick', 'done')
  await waitUntil(() => seen.includes('quick'))
  // Longer than the session's wait for the store and its pause between polls.
  await new Promise(resolve => setTimeout(resolve, 1_500))
  t.equal(runner.acknowledged, 0)
  store()
  await waitUntil(() => runner.acknowledged === 2)
  await session.close()
})
