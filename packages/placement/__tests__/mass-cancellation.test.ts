import t from 'tap'
import { createFixture, queue } from './fixture.js'

const longRun = { runMs: 600_000 }

// Many cancellations at once must be processed completely: every permit returns, and no job starts
// twice.
void t.test('2000 jobs cancelled at once return every permit exactly once', async t => {
  const { acceptJob, createHolder, jobs, permitsInUse, countStarts, taskRows, table } =
    await createFixture(t, {
      limit: 20,
    })
  const ids: string[] = []
  for (let n = 0; n < 20; n++) {
    const group = Array.from({ length: 100 }, (_, at) => {
      return acceptJob({ payload: longRun, idempotent: at % 2 === 0 })
    })
    ids.push(...(await Promise.all(group)))
  }
  const control = createHolder('c1')
  await control.acquireDuty()
  await control.runRoundsUntil(async () => (await permitsInUse()) === 20)
  const cancelled: string[] = []
  // Rounds run between the cancellation calls.
  for (let after: string | undefined = ''; after !== undefined;) {
    const from: { after?: string } = after === '' ? {} : { after }
    const cancelling = jobs.cancel({ team: 'lamps', queue, all: true, ...from })
    await control.placement.round()
    const result: Awaited<typeof cancelling> = await cancelling
    cancelled.push(...result.cancelled, ...result.cancelling)
    after = result.next
  }
  await control.runRoundsUntil(async () => (await taskRows()).length === 0)
  t.equal(cancelled.length, ids.length)
  t.equal(await permitsInUse(), 0)
  const running = ids.filter(id => countStarts(id) > 1)
  t.same(running, [], 'no job was started twice')
  t.equal((await table.scan('jobs-queued')).length, 0)
  t.equal((await table.scan('jobs-cancelling')).length, 0)
})
