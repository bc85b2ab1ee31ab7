import t from 'tap'
import type { ChangeRow } from '@bulrushbridge/contract'
import { createHttpTableService, type DutyLeaseRow } from '@bulrushbridge/store'
import { ledgerTable, type LedgerRow } from '@bulrushbridge/team-limit'
import { createTestbed, launch, until } from '@bulrushbridge/testbed'

/**
 * Longest wait for a removal, in milliseconds: the acquisition of a lease, 10 s of silence and the
 * return of the permits.
 */
const maxRemovalMs = 60_000

void t.test('a killed entry host is removed and its permits return to the team', async t => {
  const bed = await createTestbed({ entryHosts: 3, runners: 2 })
  t.teardown(() => bed.close())
  const table = createHttpTableService({ url: bed.table.url })
  t.teardown(() => table.close())
  const commonSettings = { zone: 'a', host: '127.0.0.1', 'table-url': bed.table.url }
  const programs = await Promise.all(
    ['e1', 'e2'].map(member => {
      const settings = {
        ...commonSettings,
        member,
        'object-url': bed.objects.url,
        'log-level': 'debug',
      }
      const args = Object.entries(settings).flatMap(([name, value]) => [`--${name}`, value])
      return launch('bulrush-control', args, { BULRUSH_PEER_SECRET: 'testbed-peer-secret' })
    }),
  )
  t.teardown(() => {
    for (const program of programs) program.kill('SIGKILL')
  })
  const readHolders = async () => {
    const row = await table.read<LedgerRow>(ledgerTable, 'lamps')
    return Object.keys(row?.value.holders ?? {}).map(id => id.split('/')[0])
  }
  const describeState = async () => {
    const duties = await table.scan<DutyLeaseRow>('duties')
    const changes = await table.scan<ChangeRow>('changes')
    const rows = await table.scan<{ clearedThrough: number }>('permit-holders')
    return JSON.stringify({
      duties: duties.map(({ key, value }) => `${key} ${value.holder ?? ''} ${value.token}`),
      changes: changes.map(({ value }) => value.change.kind),
      cleared: rows.map(({ key, value }) => `${key} ${value.clearedThrough}`),
      logs: programs.map(program => program.log().split('\n').slice(-3)),
    })
  }
  await until(async () => (await readHolders()).includes('e3'), maxRemovalMs)
  bed.entries[2]?.program.kill('SIGKILL')
  await until(async () => !(await readHolders()).includes('e3'), maxRemovalMs).catch(
    async (cause: unknown) => {
      throw new Error(`e3 still holds permits: ${await describeState()}`, { cause })
    },
  )
  const changes = (await table.scan<ChangeRow>('changes')).map(row => row.value.change)
  const removals = changes.filter(change => change.kind === 'member-leave')
  t.same(
    removals.map(({ id }) => id),
    ['e3'],
    'only the killed entry host is removed, once',
  )
  t.same((await readHolders()).sort(), ['e1', 'e2'], 'the other entry hosts still hold permits')
  for (const program of programs) program.kill('SIGTERM')
  t.same(
    await Promise.all(programs.map(program => program.waitForExit())),
    [0, 0],
    'both control programs close gracefully',
  )
})
