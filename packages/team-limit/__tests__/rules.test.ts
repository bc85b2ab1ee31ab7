import type { Row, TableService, Transaction } from '@bulrushbridge/store'
import t from 'tap'
import {
  createPermitReclaimer,
  createTaskPermits,
  createTeamPermits,
  type BorrowAnswer,
  type LedgerRow,
  type PeerPermits,
  type TeamPermits,
} from '../src/index.js'

const team = 'lumen'
const a = { id: 'a', incarnation: 'a1' }
const b = { id: 'b', incarnation: 'b1' }

function createTable(): TableService & { isDown: boolean } {
  const rows = new Map<string, Row>()
  const idOf = (row: { table: string; key: string }) => `${row.table}|${row.key}`
  const answer = <T>(op: () => T): Promise<T> =>
    table.isDown ? Promise.reject(new Error('down')) : Promise.resolve(structuredClone(op()))
  const table = {
    isDown: false,
    read: <T>(name: string, key: string) =>
      answer(() => rows.get(idOf({ table: name, key })) as Row<T> | undefined),
    scan: <T>(name: string) =>
      answer(() =>
        [...rows].filter(([id]) => id.startsWith(`${name}|`)).map(([, r]) => r as Row<T>),
      ),
    commit: (tx: Transaction) =>
      answer(() => {
        const failed = tx.checks.filter(c => (rows.get(idOf(c))?.version ?? 0) !== c.version)
        if (failed.length > 0) return { committed: false as const, failed }
        for (const write of tx.writes) {
          const version = (rows.get(idOf(write))?.version ?? 0) + 1
          if (write.value === null) rows.delete(idOf(write))
          else rows.set(idOf(write), { key: write.key, version, value: write.value })
        }
        return { committed: true as const }
      }),
    close: () => Promise.resolve(),
  }
  return table
}

/** Creates the entry hosts `a` and `b` with a clock that the test advances. */
function createPair() {
  const state = {
    now: 0,
    isWorkEnded: true,
    holdsAnswers: false,
    deliver: () => undefined as unknown,
  }
  const table = createTable()
  const hosts = new Map<string, TeamPermits>()
  const peers: PeerPermits = {
    borrow: async (peer, call) => {
      const answer = hosts.get(peer)?.handlers.onBorrow(call)
      if (!answer) throw new Error('unreachable')
      if (state.holdsAnswers && answer.granted > 0) {
        return new Promise<BorrowAnswer>(resolve => {
          state.deliver = () => {
            resolve(answer)
          }
        })
      }
      return Promise.resolve(answer)
    },
    returnLoan: async (peer, call) => Promise.resolve(hosts.get(peer)?.handlers.onReturn(call)),
  }
  const isSettled = () => Promise.resolve(state.isWorkEnded)
  const clock = { now: () => state.now }
  for (const { id, incarnation } of [a, b]) {
    const opts = { member: id, incarnation, table, peers, isSettled, clock, rng: () => 0.5 }
    hosts.set(id, createTeamPermits(opts))
  }
  const get = (id: string): TeamPermits => {
    const host = hosts.get(id)
    if (!host) throw new RangeError(`no host ${id}`)
    return host
  }
  const run = async (ms: number, ids = ['a', 'b']) => {
    for (const end = state.now + ms; state.now < end; state.now += 50) {
      for (const id of ids) {
        get(id).setConfirmedUntil(Infinity)
        get(id).tick()
      }
      await new Promise(setImmediate)
    }
  }
  const configure = (id: string, version: number, limit: number, members = [a, b]) => {
    get(id).configure({ version, limits: new Map([[team, limit]]), members })
  }
  return { state, table, a: get('a'), b: get('b'), run, configure, isSettled }
}

function takeAll(host: TeamPermits): number {
  let taken = 0
  while (host.tryAcquire(team)) taken++
  return taken
}

void t.test('a late answer opens no loan after its permits may have been lent again', async t => {
  const pair = createPair()
  for (const id of ['a', 'b']) pair.configure(id, 1, 1)
  await pair.run(1_000)
  pair.state.holdsAnswers = true
  t.equal(takeAll(pair.b), 0)
  await pair.run(100)
  t.equal(pair.a.status()[0]?.lent, 1)
  // The borrower freezes before it reads the answer and is removed from the configuration.
  pair.configure('a', 2, 1, [a])
  await pair.run(3_000, ['a'])
  t.equal(takeAll(pair.a), 1)
  pair.state.deliver()
  await new Promise(setImmediate)
  t.equal(takeAll(pair.b), 0)
})

void t.test('permits of a removed lender wait until the borrower has reported', async t => {
  const pair = createPair()
  for (const id of ['a', 'b']) pair.configure(id, 1, 1)
  await pair.run(1_000)
  pair.table.isDown = true
  takeAll(pair.b)
  await pair.run(200)
  const work = pair.b.tryAcquire(team)
  t.ok(work, 'b runs under a loan that is not in the ledger')
  pair.table.isDown = false
  const { table, isSettled } = pair
  const reclaimer = createPermitReclaimer({ table, isSettled, dutyChecks: () => [] })
  reclaimer.configure({ version: 2, members: [b] })
  pair.configure('b', 2, 1, [b])
  for (let pass = 0; pass < 5; pass++) {
    t.same(await reclaimer.run(), [])
    await pair.run(1_000, ['b'])
  }
  t.equal(takeAll(pair.b), 0)
  work?.release()
  await pair.run(3_000, ['b'])
  t.same(await reclaimer.run(), ['a/a1'])
  await pair.run(3_000, ['b'])
  t.equal(takeAll(pair.b), 1)
})

void t.test('a raised limit is not used while a holder may not know of it', async t => {
  const pair = createPair()
  for (const id of ['a', 'b']) pair.configure(id, 1, 4)
  await pair.run(1_000)
  // b learns of the raise to 8 and of the return to 4; a learns of neither and keeps 2 of 4.
  t.equal(takeAll(pair.a), 2)
  pair.configure('b', 2, 8)
  pair.b.setWaitingCount(team, 8)
  takeAll(pair.b)
  await pair.run(900, ['b'])
  pair.configure('b', 3, 4)
  const held = (pair.a.held().get(team) ?? 0) + (pair.b.held().get(team) ?? 0)
  t.ok(held <= 4, `${held} held at limit 4`)
})

void t.test('tasks and requests count against one limit', async t => {
  const pair = createPair()
  for (const id of ['a', 'b']) pair.configure(id, 1, 4)
  const tasks = createTaskPermits({ table: pair.table })
  tasks.configure({ version: 1, limits: new Map([[team, 4]]) })
  const reserved = await tasks.reserveForTask(team, 3)
  t.ok(reserved && (await pair.table.commit(reserved)).committed)
  await pair.run(2_000)
  t.equal(takeAll(pair.a) + takeAll(pair.b), 1)
  t.equal(await tasks.reserveForTask(team, 1), undefined)
  await pair.table.commit(await tasks.releaseForTask(team, 3))
  await t.rejects(tasks.releaseForTask(team, 1), RangeError)
})

void t.test('a graceful shutdown removes the ledger entries', async t => {
  const pair = createPair()
  for (const id of ['a', 'b']) pair.configure(id, 1, 4)
  await pair.run(1_000)
  const work = pair.a.tryAcquire(team)
  const closed = pair.a.close({ deadline: pair.state.now + 60_000 })
  await pair.run(1_000)
  const before = await pair.table.read<LedgerRow>('permits', team)
  t.equal(before?.value.holders['a/a1']?.held, 1, 'the running work keeps its permit')
  work?.release()
  await pair.run(5_000)
  await closed
  const after = await pair.table.read<LedgerRow>('permits', team)
  t.notOk(after && 'a/a1' in after.value.holders)
  t.same(await pair.table.scan('permit-holders').then(rows => rows.map(row => row.key)), ['b/b1'])
})

void t.test('a borrower that requests more permits keeps its loans', async t => {
  const pair = createPair()
  for (const id of ['a', 'b']) pair.configure(id, 1, 4)
  await pair.run(1_000)
  const permits = []
  for (let i = 0; i < 40; i++) {
    const work = pair.b.tryAcquire(team)
    if (work) permits.push(work)
    await pair.run(50)
  }
  t.equal(permits.length, 4)
  permits[0]?.release()
  t.ok(pair.b.tryAcquire(team), 'the freed permit can be taken again')
})

void t.test('guards against reads of reclaim requests every second without changes', async t => {
  const pair = createPair()
  let reads = 0
  const read = pair.table.read.bind(pair.table)
  pair.table.read = (name, key) => {
    if (name === 'permit-reclaim') reads += 1
    return read(name, key)
  }
  const readsIn = async (ms: number) => {
    const before = reads
    await pair.run(ms, ['a'])
    return reads - before
  }
  pair.configure('a', 1, 4)
  t.ok((await readsIn(20_000)) >= 18, 'after a change')
  await pair.run(20_000, ['a'])
  const quiet = await readsIn(20_000)
  t.ok(quiet >= 4 && quiet <= 6, `${quiet} reads in 20 s`)
  pair.configure('a', 2, 4)
  t.ok((await readsIn(3_000)) >= 2, 'after the next change')
})
