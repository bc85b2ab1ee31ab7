import { createManualClock } from '@bulrushbridge/standins'
import t from 'tap'
import {
  createDuty,
  type CommitResult,
  type Row,
  type TableService,
  type Transaction,
} from '../src/index.js'

const ttlMs = 2_000

// Found on lfta-compat, trouble-2: a store that took 0.68 s for a transaction never renewed a lease
// of 2 s in time, so nobody placed work for four seconds.
void t.test('a renewal has more time than the pause between renewals', async t => {
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
  const duty = createDuty({ table, duty: 'd', holder: 'h', ttlMs, clock })
  const settle = async () => {
    for (let i = 0; i < 50; i++) await new Promise(resolve => setImmediate(resolve))
  }
  await settle()
  t.ok(duty.held())
  clock.advance(ttlMs / 3)
  await settle()
  t.ok((deadlines.at(-1) ?? 0) > ttlMs / 3)
  await Promise.all([
    duty.close(),
    settle().then(() => {
      clock.advance(ttlMs)
    }),
  ])
})

// Found on lfta-compat, trouble-2: a store 97 times as slow answered in more than a second, and nobody
// placed work for three seconds, because each renewal waited for the answer to the one before.
void t.test(
  'a store that answers in three fifths of the lifetime keeps the lease renewed',
  async t => {
    const clock = createManualClock()
    const rows = new Map<string, { version: number; value: unknown }>()
    let answerMs = 0
    const table: TableService = {
      read: (name, key) => {
        const row = rows.get(`${name}/${key}`)
        return Promise.resolve(row === undefined ? undefined : ({ key, ...row } as Row<never>))
      },
      scan: () => Promise.resolve([]),
      commit: async (tx: Transaction, opts = {}): Promise<CommitResult> => {
        const leftMs = (opts.deadline ?? Infinity) - clock.now()
        await clock.sleep(Math.min(answerMs, leftMs))
        if (answerMs > leftMs) throw new Error('no answer in time')
        for (const { table: name, key, value } of tx.writes) {
          const version = (rows.get(`${name}/${key}`)?.version ?? 0) + 1
          rows.set(`${name}/${key}`, { version, value })
        }
        return { committed: true }
      },
      close: () => Promise.resolve(),
    }
    const duty = createDuty({ table, duty: 'd', holder: 'h', ttlMs, clock })
    const settle = async () => {
      for (let i = 0; i < 20; i++) await new Promise(resolve => setImmediate(resolve))
    }
    await settle()
    answerMs = 0.6 * ttlMs
    for (let passed = 0; passed < 5 * ttlMs; passed += ttlMs / 20) {
      clock.advance(ttlMs / 20)
      await settle()
      if (duty.held() === undefined) break
    }
    t.ok(duty.held())
    answerMs = 0
    const closing = duty.close()
    for (let n = 0; n < 40; n++) {
      clock.advance(ttlMs / 20)
      await settle()
    }
    await closing
  },
)
