import {
  encodeDefinition,
  partNames,
  partOf,
  progressTable,
  taskBlocksTable,
  type JobDefinition,
  type Step,
} from '@bulrushbridge/scheduler'
import { waitUntil, type MemoryRunner, type MemoryStore } from '@bulrushbridge/standins'
import { createLogger } from '@bulrushbridge/telemetry'
import t from 'tap'
import { removeOldProgress } from '../src/progress-retention.js'
import { createFleet, oneTask, queueName } from './fixture.js'

const largeId = '00000000000000a1'

/** A job in the same part of the store as the large one, so that their rows share transactions. */
const smallId = sameParts(largeId, 1)[0] ?? ''

const tinyTask: Step = {
  ...oneTask,
  amounts: { cpuMillis: 1, memoryMb: 1, accelerators: 0 },
}

/** Ids of jobs whose rows are in the part of a job. */
function sameParts(id: string, count: number): string[] {
  const ids: string[] = []
  for (let n = 1; ids.length < count; n++) {
    const other = n.toString(16).padStart(16, 'b')
    if (partOf(other) === partOf(id)) ids.push(other)
  }
  return ids
}

/** A deployment with one runner that has room for all tasks, and a dispatcher. */
async function setup() {
  const fleet = createFleet({ dispatcherLeaseMs: 2_000 })
  const capacity = { cpuMillis: 1_000_000, memoryMb: 1_000_000, accelerators: 0 }
  const runner = await fleet.addRunner('i-7f3a91c0', { capacity })
  return { fleet, runner }
}

function runningTasks(runner: MemoryRunner, id: string): string[] {
  return [...runner.running.keys()].filter(task => task.startsWith(id))
}

function endAll(runner: MemoryRunner, id: string): void {
  for (const task of runningTasks(runner, id)) runner.end(task, 'done')
}

async function blockCount(store: MemoryStore): Promise<number> {
  const { rows } = await store.snapshot(taskBlocksTable, partNames)
  return rows.length
}

async function isOver(fleet: ReturnType<typeof createFleet>, id: string): Promise<boolean> {
  return (await fleet.progress(id))?.status === 'completed'
}

// Guards against LOST: the progress of a job's tasks outgrew its row, the store refused the row for
// ever, and nothing of any caller was placed meanwhile.
void t.test('a job with very many tasks runs, and other jobs run beside it', async t => {
  const { fleet, runner } = await setup()
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(largeId, [{ ...tinyTask, count: 3_000 }])
  await waitUntil(() => runningTasks(runner, largeId).length === 3_000)
  await fleet.submit(smallId, [oneTask])
  await waitUntil(() => runningTasks(runner, smallId).length === 1)
  t.equal(fleet.store.rejectedCalls, 0)
  endAll(runner, smallId)
  await waitUntil(() => isOver(fleet, smallId))
  endAll(runner, largeId)
  await waitUntil(() => isOver(fleet, largeId))
  await waitUntil(async () => (await blockCount(fleet.store)) === 0)
  t.equal(runner.startedRuns.length, 3_001, 'no task ran twice')
  t.equal(fleet.store.rejectedCalls, 0)
})

// Guards against a takeover that meets progress which it can't continue: tasks that are done would run
// again, and runs would be stopped as unexpected.
void t.test('the next dispatcher continues a job with very many tasks', async t => {
  const { fleet, runner } = await setup()
  const first = fleet.start('host-1')
  await fleet.submit(largeId, [
    { ...tinyTask, count: 1_000 },
    { ...oneTask, after: [0] },
  ])
  await waitUntil(() => runningTasks(runner, largeId).length === 1_000)
  for (const task of runningTasks(runner, largeId).slice(0, 700)) runner.end(task, 'done')
  await waitUntil(() => runner.acknowledged === 700)
  await first.close()
  const second = fleet.start('host-2')
  t.teardown(() => second.close())
  await waitUntil(() => second.isHolder)
  await new Promise(resolve => setTimeout(resolve, 300))
  t.equal(runningTasks(runner, largeId).length, 300, 'the other tasks run on')
  endAll(runner, largeId)
  await waitUntil(() => runner.running.has(`${largeId}.0.1.0`))
  endAll(runner, largeId)
  await waitUntil(() => isOver(fleet, largeId))
  t.equal(runner.startedRuns.length, 1_001, 'no task ran twice')
  t.equal(fleet.store.rejectedCalls, 0)
})

// Guards against LOST by growth after acceptance: checkpoints are as long as runners make them.
void t.test('long checkpoints keep neither their job nor others from running', async t => {
  const { fleet, runner } = await setup()
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(largeId, [{ ...tinyTask, count: 200, savesProgress: true }])
  await waitUntil(() => runningTasks(runner, largeId).length === 200)
  for (const [n, task] of runningTasks(runner, largeId).entries())
    runner.end(task, 'stopped', `${n} ${'x'.repeat(n === 7 ? 100_000 : 900)}`)
  await waitUntil(() => runner.startedRuns.length === 400)
  await fleet.submit(smallId, [oneTask])
  await waitUntil(() => runningTasks(runner, smallId).length === 1)
  endAll(runner, largeId)
  await waitUntil(() => isOver(fleet, largeId))
  t.equal(fleet.store.rejectedCalls, 0)
})

// Guards against LOST by growth after acceptance: each complete occurrence stayed in the row.
void t.test('a job with very many repetitions runs to its end', async t => {
  const { fleet, runner } = await setup()
  const steps = [{ ...tinyTask, count: 1 }]
  const schedule = { occurrences: 12_000, firstAt: 0, intervalMs: 0 }
  const job: JobDefinition = {
    id: largeId,
    queue: queueName,
    payload: '',
    steps,
    schedule,
    acceptedAt: 0,
  }
  const part = partOf(largeId)
  const progress = {
    status: 'running',
    queue: queueName,
    // As earlier builds stored them; a row of 12,000 is refused.
    occurrences: Object.fromEntries(Array.from({ length: 6_000 }, (_, n) => [String(n), 1])),
  }
  const writes = [
    { table: 'jobs', part, key: largeId, value: job },
    { table: progressTable, part, key: largeId, value: progress },
  ]
  await fleet.store.commit({ checks: [], writes }, { part })
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  const endLoop = setInterval(() => {
    endAll(runner, largeId)
  }, 5)
  t.teardown(() => {
    clearInterval(endLoop)
  })
  await waitUntil(() => runner.startedRuns.length > 1_500)
  clearInterval(endLoop)
  t.equal(fleet.store.rejectedCalls, 0)
  const stored = await fleet.progress(largeId)
  t.ok(JSON.stringify(stored).length < 60_000)
})

// Guards against LOST whatever the reason: rows that the store always refuses held up all jobs of their
// part, and the placement of all parts.
void t.test('a job whose rows the store always refuses holds up no other job', async t => {
  const { fleet, runner } = await setup()
  const commit = fleet.store.commit.bind(fleet.store)
  let isRefusing = true
  fleet.store.commit = (tx, opts) => {
    const isConcerned = tx.writes.some(({ key }) => key === largeId)
    const isEntryTooLong = isRefusing && isConcerned && tx.checks.length > 0
    const long = { table: 'x', key: 'k'.repeat(201), value: 1 }
    return commit(isEntryTooLong ? { ...tx, writes: [...tx.writes, long] } : tx, opts)
  }
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await fleet.submit(largeId, [oneTask])
  await waitUntil(() => fleet.store.rejectedCalls > 0)
  for (const id of sameParts(largeId, 3)) {
    await fleet.submit(id, [{ ...oneTask, amounts: tinyTask.amounts }])
    await waitUntil(() => runningTasks(runner, id).length === 1)
  }
  t.equal(runningTasks(runner, largeId).length, 0)
  await new Promise(resolve => setTimeout(resolve, 2_500))
  const [, , , last = ''] = sameParts(largeId, 4)
  await fleet.submit(last, [{ ...oneTask, amounts: tinyTask.amounts }])
  await waitUntil(() => runningTasks(runner, last).length === 1)
  isRefusing = false
  await waitUntil(() => runningTasks(runner, largeId).length === 1)
})

// Guards against hosts that end one after another by their own memory as each takes over: the tasks of
// all steps were created at once.
void t.test('a job of a million tasks takes little memory', async t => {
  const { fleet, runner } = await setup()
  await fleet.submit(
    largeId,
    Array.from({ length: 100 }, () => ({ ...tinyTask, count: 10_000 })),
  )
  const before = process.memoryUsage().heapUsed
  const dispatcher = fleet.start('host-1')
  t.teardown(() => dispatcher.close())
  await waitUntil(() => runner.running.size > 100)
  t.ok(process.memoryUsage().heapUsed - before < 60_000_000)
  t.equal(fleet.store.rejectedCalls, 0)
})

// Guards against LOST: the definition of a job with very many steps is larger than a row.
void t.test('a job whose definition is in several rows runs, also after a takeover', async t => {
  const { fleet, runner } = await setup()
  const steps = Array.from({ length: 900 }, (_, n) => ({
    ...tinyTask,
    needs: `kind`,
    estimateMs: n,
  }))
  const job = { id: largeId, queue: queueName, payload: 'text', steps, acceptedAt: 0 }
  const part = partOf(largeId)
  const rows = encodeDefinition(job) ?? []
  t.ok(rows.length > 2)
  const progress = { status: 'queued', queue: queueName }
  const writes = [...rows, { table: progressTable, key: largeId, value: progress }]
  await fleet.store.commit(
    { checks: [], writes: writes.map(write => ({ ...write, part })) },
    { part },
  )
  const first = fleet.start('host-1')
  await waitUntil(() => runner.running.size === 900)
  await first.close()
  const second = fleet.start('host-2')
  t.teardown(() => second.close())
  await waitUntil(() => second.isHolder)
  await new Promise(resolve => setTimeout(resolve, 300))
  t.equal(runner.running.size, 900, 'the runs go on')
  endAll(runner, largeId)
  await waitUntil(() => isOver(fleet, largeId))
  t.equal(runner.startedRuns.length, 900)
  for (const { table, key } of rows)
    t.equal(await fleet.store.read(table, key, { part }), undefined)
})

// Guards against blocks that stay for ever because a dispatcher ended between two transactions.
void t.test('blocks of jobs that have ended are removed', async t => {
  const { fleet } = await setup()
  const part = partOf(largeId)
  const put = (table: string, key: string, value: unknown) =>
    fleet.store.commit({ checks: [], writes: [{ table, part, key, value }] }, { part })
  await put(progressTable, largeId, { status: 'completed', queue: 'q', endedAt: 900 })
  await put(progressTable, smallId, { status: 'running', queue: 'q', steps: { 0: '2' } })
  await put(taskBlocksTable, `${largeId}.0.0.1`, {})
  await put(taskBlocksTable, `${smallId}.0.0.1`, {})
  const log = createLogger({ program: 'test', level: 'silent' })
  await removeOldProgress({ store: fleet.store, statusKeptMs: 500, log }, part, 1_000)
  const rows = await fleet.store.scan(taskBlocksTable, { part })
  t.same(
    rows.map(({ key }) => key),
    [`${smallId}.0.0.1`],
  )
  t.ok(await fleet.progress(largeId))
})
