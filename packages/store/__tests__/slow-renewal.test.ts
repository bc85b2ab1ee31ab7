import { createManualClock } from '@bulrushbridge/standins'
import t from 'tap'
import {
  createDutyLease,
  type CommitResult,
  type Row,
  type TableService,
  type Transaction,
} from '../src/index.js'

const ttlMs = 2_000

// Guards against a lost lease when the store is slow: with 0.68 s for a transaction, a lease of 2 s
// was never renewed in time, and no process placed work for four seconds.
void t.test('the deadline of a renewal is later than the start of the next one', async t => {
  const clock = createManualClock()
  const deadlines: number[] = []
  const rows = new Map<string, { version: number; value: unknown }>()
  const table: TableService = {
    read: (name, key) => {
      const row = rows.get(`${name}/${key}`)
      return Promise.resolve(row === undefined ? undefined : ({ key, ...row } as Row<never>))
    },
    scan: () => Promise.resolve([]),
    commit: (tx: Transaction, opts = {}): Promise<CommitResult> => {
      deadlines.push((opts.deadline ?? 0) - clock.now())
      for (const { table: name, key, value } of tx.writes) {
        const version = (rows.get(`${name}/${key}`)?.version ?? 0) + 1
        rows.set(`${name}/${key}`, { version, value })
      }
      return Promise.resolve({ committed: true })
    },
    close: () => Promise.resolve(),
  }
  const duty = createDutyLease({ table, duty: 'd', holder: 'h', ttlMs, clock })
  const runPendingCallbacks = async () => {
    for (let i = 0; i < 50; i++) await new Promise(resolve => setImmediate(resolve))
  }
  await runPendingCallbacks()
  t.ok(duty.held())
  clock.advance(ttlMs / 3)
  await runPendingCallbacks()
  t.ok((deadlines.at(-1) ?? 0) > ttlMs / 3)
  await Promise.all([
    duty.close(),
    runPendingCallbacks().then(() => {
      clock.advance(ttlMs)
    }),
  ])
})

// Guards against renewals that wait for the response to the previous one: with a store that was 97
// times slower and responded after more than a second, no process placed work for three seconds.
void t.test(
  'the lease is renewed when the store responds after three fifths of its lifetime',
  async t => {
    const clock = createManualClock()
    const rows = new Map<string, { version: number; value: unknown }>()
    let responseMs = 0
    const table: TableService = {
      read: (name, key) => {
        const row = rows.get(`${name}/${key}`)
        return Promise.resolve(row === undefined ? undefined : ({ key, ...row } as Row<never>))
      },
      scan: () => Promise.resolve([]),
      commit: async (tx: Transaction, opts = {}): Promise<CommitResult> => {
        const leftMs = (opts.deadline ?? Infinity) - clock.now()
        await clock.sleep(Math.min(responseMs, leftMs))
        if (responseMs > leftMs) throw new Error('the store did not respond in time')
        for (const { table: name, key, value } of tx.writes) {
          const version = (rows.get(`${name}/${key}`)?.version ?? 0) + 1
          rows.set(`${name}/${key}`, { version, value })
        }
        return { committed: true }
      },
      close: () => Promise.resolve(),
    }
    const duty = createDutyLease({ table, duty: 'd', holder: 'h', ttlMs, clock })
    const runPendingCallbacks = async () => {
      for (let i = 0; i < 20; i++) await new Promise(resolve => setImmediate(resolve))
    }
    await runPendingCallbacks()
    responseMs = 0.6 * ttlMs
    for (let elapsedMs = 0; elapsedMs < 5 * ttlMs; elapsedMs += ttlMs / 20) {
      clock.advance(ttlMs / 20)
      await runPendingCallbacks()
      if (duty.held() === undefined) break
    }
    t.ok(duty.held())
    responseMs = 0
    const closing = duty.close()
    for (let n = 0; n < 40; n++) {
      clock.advance(ttlMs / 20)
      await runPendingCallbacks()
    }
    await closing
  },
)
