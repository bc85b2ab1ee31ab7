import t from 'tap'
import { createTableStandin } from '@bulrushbridge/standins'
import { createHttpTableService, type HeldLease } from '@bulrushbridge/store'
import { createFencedTable } from '../src/index.js'

void t.test('a holder that was paused beyond the end of its lease commits nothing', async t => {
  const standin = await createTableStandin()
  const table = createHttpTableService({ url: standin.url })
  t.teardown(async () => {
    await table.close()
    await standin.close()
  })
  const fence = { table: 'duty-fences', key: 'd' }
  await table.commit({ checks: [], writes: [{ ...fence, value: { token: 1 } }] })
  const lease: HeldLease = { token: 1, check: { ...fence, version: 1 } }
  const fenced = createFencedTable(table, () => lease)
  const tx = { checks: [], writes: [{ table: 'x', key: 'k', value: 1 }] }
  t.same(await fenced.commit(tx), { committed: true })
  await table.commit({ checks: [], writes: [{ ...fence, value: { token: 2 } }] })
  await t.rejects(fenced.commit(tx), {
    message: 'commit rejected: the duty lease was taken over',
  })
  t.equal((await table.read('x', 'k'))?.version, 1)
})
