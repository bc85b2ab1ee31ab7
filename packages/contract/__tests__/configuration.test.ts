import t from 'tap'
import { applyChange, applyChangeRow, emptyConfiguration } from '../src/index.js'

void t.test('a promotion does not restore a withdrawn key', t => {
  const withdrawn = applyChange(emptyConfiguration(), { kind: 'key-withdraw', id: 'k1' })
  const key = { id: 'k1', team: 'a', digest: '0'.repeat(64) }
  const promoted = applyChange(withdrawn, {
    kind: 'promote',
    digest: 'd',
    entries: [{ op: 'set', section: 'keys', value: key }],
  })
  t.same(promoted.withdrawnKeys, ['k1'])
  t.end()
})

void t.test('a change row that skips a version is rejected', t => {
  const row = { version: 2, at: '', by: 'op', change: { kind: 'zone-out', zone: 'a' } } as const
  t.throws(() => applyChangeRow(emptyConfiguration(), row), RangeError)
  t.end()
})
