import t from 'tap'
import { createFixture } from './fixture.js'

const long = { runMs: 600_000 }
const whole = { cpus: 2, memoryMb: 64, accelerators: 0, runMs: 50 }

/** Two workers with room for four tasks, all taken by `lamps`. */
async function fullPool(
  t: Parameters<typeof createFixture>[0],
  { payload = long, idempotent = true }: { payload?: unknown; idempotent?: boolean } = {},
) {
  const fixture = await createFixture(t, { cpus: 4, limit: 20 })
  const { accept, holder, permitsInUse } = fixture
  const lent = []
  for (let n = 0; n < 4; n++) {
    lent.push(await accept({ request: whole, payload, idempotent }))
  }
  const control = holder('c1')
  await control.take()
  await control.rounds(async () => (await permitsInUse()) === 4)
  const running = () => {
    const tasks = fixture.workers.flatMap(worker => worker.tasks())
    return tasks.filter(({ state }) => state === 'running')
  }
  await control.rounds(() => running().length === 4)
  /** Rounds until the condition holds; returns how long it took on the holder's clock. */
  const timed = async (condition: () => boolean | Promise<boolean>) => {
    const begin = control.clock.now()
    await control.rounds(condition)
    return control.clock.now() - begin
  }
  return { ...fixture, control, lent, running, timed }
}

void t.test('an urgent job of a team below its share starts at once in a full pool', async t => {
  const { accept, control, isIn, starts, timed, permitsInUse } = await fullPool(t)
  const urgent = await accept({ team: 'mills', urgent: true, request: whole, payload: long })
  const ms = await timed(() => isIn(urgent, 'running', 'mills'))
  t.ok(ms < 2_000, `${ms} ms`)
  t.equal(starts(urgent), 1)
  const actions = control.decisions.filter(({ rule }) => rule === 'share-reclaim')
  t.same(
    actions.map(({ action }) => action),
    ['throttle', 'checkpoint-and-stop'],
  )
  t.equal(await permitsInUse(), 3)
  t.equal(await permitsInUse('mills'), 1)
})

void t.test('another job reclaims after 2 s and the tasks go on from checkpoints', async t => {
  const { accept, isIn, jobOf, lent, timed, control, jobs } = await fullPool(t)
  const waiting = await accept({ team: 'mills', request: whole, payload: long })
  const ms = await timed(() => isIn(waiting, 'running', 'mills'))
  t.ok(ms >= 3_000 && ms < 6_000, `${ms} ms with 2 s of patience and 1 s of throttling`)
  const queued = []
  for (const id of lent) if (await isIn(id, 'queued')) queued.push(id)
  t.equal(queued.length, 1, 'one task made enough room')
  const [id = ''] = queued
  t.match((await jobOf(id)).checkpoint, { ranMs: Number })
  await jobs.cancel({ team: 'mills', ids: [waiting] })
  await control.rounds(() => isIn(id, 'running'))
})

void t.test('a task that was requeued does not take back the room', async t => {
  const { accept, control, isIn, timed, lent, starts } = await fullPool(t)
  const ids: string[] = []
  for (let n = 0; n < 4; n++) {
    ids.push(await accept({ team: 'mills', urgent: true, request: whole, payload: long }))
  }
  const two = async () => {
    const states = await Promise.all(ids.map(id => isIn(id, 'running', 'mills')))
    return states.filter(Boolean).length >= 2
  }
  await timed(two)
  const count = () => [...ids, ...lent].reduce((sum, id) => sum + starts(id), 0)
  const before = count()
  for (let n = 0; n < 60; n++) {
    await control.pass(250)
    await control.placement.round()
  }
  t.equal(before, 6, 'four starts of the first team and two of the second')
  t.equal(count(), before, 'with half of the pool each, nothing is reclaimed any more')
})

void t.test('non-idempotent tasks and tasks without checkpoints run on', async t => {
  for (const kind of [{ idempotent: false }, { payload: { ...long, saves: false } }]) {
    const { accept, control, isIn, lent, starts, permitsInUse } = await fullPool(t, kind)
    const urgent = await accept({ team: 'mills', urgent: true, request: whole })
    for (let n = 0; n < 30; n++) {
      await control.pass(250)
      await control.placement.round()
    }
    t.ok(await isIn(urgent, 'queued', 'mills'))
    for (const id of lent) t.ok(await isIn(id, 'running'))
    for (const id of lent) t.equal(starts(id), 1)
    t.equal(await permitsInUse(), 4)
  }
})

void t.test('throttled tasks go on when the waiting job is cancelled', async t => {
  const { accept, control, jobs, running, isIn } = await fullPool(t)
  const waiting = await accept({ team: 'mills', request: whole })
  await control.rounds(() => running().some(({ throttled }) => throttled))
  await jobs.cancel({ team: 'mills', ids: [waiting] })
  await control.rounds(() => running().every(({ throttled }) => !throttled))
  t.equal(running().length, 4)
  t.ok(await isIn(waiting, 'cancelled', 'mills'))
})

void t.test('a team at its upper limit reclaims nothing and blocks no other', async t => {
  const { accept, control, isIn, lent, permitsInUse, starts } = await fullPool(t)
  const full = await accept({ team: 'mills', urgent: true, request: whole })
  control.permits.configure({ version: 2, limits: new Map([['lamps', 20]]) })
  for (let n = 0; n < 20; n++) {
    await control.pass(250)
    await control.placement.round()
  }
  t.ok(await isIn(full, 'queued', 'mills'))
  for (const id of lent) t.ok(await isIn(id, 'running'))
  for (const id of lent) t.equal(starts(id), 1, 'no task was stopped in vain')
  t.equal(await permitsInUse(), 4)
})

void t.test('room that a team cannot claim under its limit goes to others', async t => {
  const { accept, holder, permitsInUse } = await createFixture(t, { cpus: 4, limit: 20 })
  const control = holder('c1')
  const limits = new Map([
    ['lamps', 20],
    ['mills', 1],
  ])
  control.permits.configure({ version: 2, limits })
  for (let n = 0; n < 6; n++) {
    await accept({ request: whole, payload: long })
    await accept({ team: 'mills', request: whole, payload: long })
  }
  await control.take()
  await control.rounds(async () => (await permitsInUse()) === 3)
  t.equal(await permitsInUse('mills'), 1)
})

void t.test('room made for a job is not taken back by a team that then runs less', async t => {
  const { accept, holder, isIn, starts } = await createFixture(t, {
    cpus: 4,
    limit: 20,
    shares: { mills: 3 },
  })
  const control = holder('c1')
  await control.take()
  const large = await accept({ request: { ...whole, cpus: 4 }, payload: long })
  await control.rounds(() => isIn(large, 'running'))
  for (let n = 0; n < 3; n++) {
    const id = await accept({ team: 'mills', request: { ...whole, cpus: 1 }, payload: long })
    await control.rounds(() => isIn(id, 'running', 'mills'))
  }
  const urgent = await accept({ team: 'mills', urgent: true, request: whole, payload: long })
  await control.rounds(() => isIn(urgent, 'running', 'mills'))
  t.equal(starts(large), 1, 'it was not started again in the room made for the other team')
})

void t.test('no more starts for teams above their share while one below waits', async t => {
  const { accept, control, isIn, lent, jobs } = await fullPool(t)
  const more = await accept({ request: { ...whole, cpus: 1 }, payload: long })
  const waiting = await accept({ team: 'mills', request: { ...whole, cpus: 4 } })
  await control.placement.round()
  await jobs.cancel({ team: 'lamps', ids: lent.slice(0, 1) })
  await control.rounds(() => isIn(lent[0] ?? '', 'cancelled'))
  await control.placement.round()
  t.ok(await isIn(more, 'queued'), 'the room that ended is left for the waiting team')
  await control.rounds(() => isIn(waiting, 'finished', 'mills'))
})
