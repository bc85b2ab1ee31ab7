import { createMemoryStore, waitUntil } from '@bulrushbridge/standins'
import t, { type Test } from 'tap'
import { followTable, type ChangedRow } from '../src/index.js'

/** Follows a table with callbacks that throw for the key `odd`, if `isOdd` says so. */
function followWithOddKey(t: Test, isOdd: (row: ChangedRow) => boolean) {
  const store = createMemoryStore()
  const applied = new Map<string, unknown>()
  const rejected: string[] = []
  const states: string[] = []
  const write = (values: Record<string, unknown>) =>
    store.commit({
      checks: [],
      writes: Object.entries(values).map(([key, value]) => ({ table: 'servers', key, value })),
    })
  const applyRows = (rows: ChangedRow[]) => {
    for (const row of rows) {
      if (isOdd(row)) throw new RangeError('Maximum call stack size exceeded')
      if (row.isDeleted) applied.delete(row.key)
      else applied.set(row.key, row.value)
    }
  }
  const start = () => {
    const follower = followTable({
      store,
      table: 'servers',
      parts: [''],
      pauseMs: 1,
      onSnapshot: rows => {
        applied.clear()
        applyRows(rows)
      },
      onChanges: applyRows,
      onRejected: ({ key }) => rejected.push(key),
      onState: state => states.push(state),
    })
    t.teardown(() => follower.close())
    return follower
  }
  return { store, applied, rejected, states, write, start }
}

const isOddRow = ({ key, value }: ChangedRow) => key === 'odd' && value === 'odd'

// Guards against a table that is no longer followed because one row of it cannot be applied: the
// answer was requested again and again, and the rows after the odd one were never applied.
void t.test('changes are followed beside a row that cannot be applied', async t => {
  const { applied, rejected, states, write, start } = followWithOddKey(t, isOddRow)
  await start().ready
  await write({ before: 1, odd: 'odd', then: 1 })
  await waitUntil(() => applied.has('then'))
  await write({ before: 2, odd: 'even' })
  await waitUntil(() => applied.get('before') === 2)
  t.strictSame(Object.fromEntries(applied), { before: 2, then: 1, odd: 'even' })
  t.strictSame(rejected, ['odd'])
  t.strictSame(states, [])
})

void t.test('a snapshot is applied without a row that cannot be applied', async t => {
  const { applied, rejected, states, write, start } = followWithOddKey(t, isOddRow)
  await write({ before: 1, odd: 'odd', then: 1 })
  await start().ready
  t.strictSame(Object.fromEntries(applied), { before: 1, then: 1 })
  t.strictSame(rejected, ['odd'])
  t.strictSame(states, [])
})

// Guards against a good row that stays in use after its value has become one that cannot be applied.
void t.test('a row that can no longer be applied counts as deleted', async t => {
  const { applied, write, start } = followWithOddKey(t, isOddRow)
  await write({ odd: 'even', other: 1 })
  await start().ready
  t.equal(applied.get('odd'), 'even')
  await write({ odd: 'odd', other: 2 })
  await waitUntil(() => applied.get('other') === 2)
  t.notOk(applied.has('odd'))
})

void t.test('a row that cannot even be deleted is skipped', async t => {
  const { applied, states, write, start } = followWithOddKey(t, ({ key }) => key === 'odd')
  await start().ready
  await write({ odd: 1, other: 1 })
  await waitUntil(() => applied.has('other'))
  t.strictSame(states, [])
})

// Guards against a load on the store by followers of a table that is of no interest at the moment.
void t.test('the pause between two calls is asked for before each of them', async t => {
  const store = createMemoryStore()
  const pauses: number[] = []
  const changes: unknown[] = []
  const follower = followTable({
    store,
    table: 'load',
    parts: [''],
    pauseMs: () => {
      pauses.push(changes.length)
      return 1
    },
    onChanges: rows => changes.push(...rows),
    onRejected: () => undefined,
    onState: () => undefined,
  })
  t.teardown(() => follower.close())
  await follower.ready
  await store.commit({ checks: [], writes: [{ table: 'load', key: 'queues', value: 1 }] })
  await waitUntil(() => pauses.length >= 2)
  t.strictSame(pauses.slice(0, 2), [0, 1])
})
