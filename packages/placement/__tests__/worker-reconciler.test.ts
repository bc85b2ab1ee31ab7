import { WorkerError, type ReportedTask } from '@bulrushbridge/host'
import t from 'tap'
import { WorkerReconciler } from '../src/worker-reconciler.js'

// Guards against a second run of a job that is not idempotent: a worker restarted after a start
// without an answer; the answer to the stop that fenced the id was lost as well, and the fenced id in
// the next list was taken as proof that the task had never started.
void t.test('a fenced id on a restarted worker does not prove that its task never ran', async t => {
  const fenced: ReportedTask = {
    taskId: 't1',
    state: 'fenced',
    started: false,
    runMs: 0,
    usage: { cpus: 0, memoryMb: 0, accelerators: 0 },
  }
  let isFenced = false
  const client = {
    list: () => Promise.resolve({ now: 0, boot: 'b2', tasks: isFenced ? [fenced] : [] }),
    stop: () => {
      isFenced = true
      return Promise.reject(new WorkerError('the worker did not answer'))
    },
    renew: () => Promise.resolve([]),
  }
  const ends: string[] = []
  const row = {
    taskId: 't1',
    jobId: 'j1',
    worker: 'w1',
    address: 'a',
    state: 'starting',
    boot: 'b1',
  }
  const tasks = new Map([['t1', { row, leaseEndsAt: 18_000, canBeRunning: true }]])
  const reconciler = new WorkerReconciler({
    clock: { now: () => 0 },
    taskStore: {
      endTask: (_row: unknown, end: string) => {
        ends.push(end)
        return Promise.resolve(undefined)
      },
    },
    clients: { clientOf: () => client, recordReading: () => undefined },
    tasks,
    held: () => ({ token: 1 }),
    configuration: () => ({ zonesOut: new Set() }),
  } as never)
  await reconciler.reconcile(new Set())
  t.same(ends, [])
  await reconciler.reconcile(new Set())
  t.same(ends, ['stopped'])
})
