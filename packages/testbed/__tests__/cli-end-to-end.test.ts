import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { stringify } from 'yaml'
import { createTestbed, runToEnd, until, type Testbed } from '../src/index.js'

interface CliResult {
  status: number
  json: Record<string, unknown>
  stderr: string
}

async function runBulrush(testbed: Testbed, ...args: string[]): Promise<CliResult> {
  const entries = testbed.entries.map(({ operators }) => `http://${operators}`).join(',')
  const { status, stdout, stderr } = await runToEnd('bulrush', [...args, '--json'], {
    BULRUSH_ENTRY: entries,
    BULRUSH_CREDENTIAL: testbed.sample.operator.credential,
  })
  return { status, stderr, json: JSON.parse(stdout || '{}') as Record<string, unknown> }
}

void t.test('the bulrush command controls running entry hosts and reports failures', async t => {
  const testbed = await createTestbed({ entryHosts: 2, zones: ['a', 'b'], runners: 4 })
  t.teardown(() => testbed.close())
  const dir = t.testdir()

  // The promotion must change something, so the limits of both teams are changed.
  const teams = (testbed.sample.data.teams as { limit: number }[]).map(team => ({
    ...team,
    limit: 90,
  }))
  const file = join(dir, 'document.yaml')
  writeFileSync(file, stringify({ ...testbed.sample.data, teams }))
  const trial = await runBulrush(testbed, 'trial', file)
  t.match(trial, { status: 0, json: { digest: /^[0-9a-f]{64}$/, changes: { length: 2 } } })

  const digest = String(trial.json.digest)
  const promote = (version: number) =>
    runBulrush(testbed, 'promote', digest, '--expected-version', String(version))
  const conflict = await promote(Number(trial.json.version) - 1)
  t.match(conflict, { status: 3, json: { error: { kind: 'version-conflict' } } })
  const promoted = await promote(Number(trial.json.version))
  t.match(promoted, { status: 0, json: { accepted: true, missing: [] } })
  const unprovedPromotion = await runBulrush(
    testbed,
    'promote',
    '0'.repeat(64),
    '--expected-version',
    '1',
  )
  t.match(unprovedPromotion, { status: 3, json: { error: { kind: 'not-proved' } } })

  const status = await runBulrush(testbed, 'status')
  t.match(status, { status: 0, json: { documentDigest: digest, zonesOut: [] } })

  t.equal((await runBulrush(testbed, 'zone', 'out', 'a')).status, 0)
  t.match(await runBulrush(testbed, 'status'), { json: { zonesOut: ['a'] } })
  t.equal((await runBulrush(testbed, 'zone', 'back', 'a')).status, 0)
  t.match(await runBulrush(testbed, 'zone', 'out', 'nowhere'), { status: 3 })

  t.equal((await testbed.send(0, 'lamps')).status, 200)
  t.equal((await runBulrush(testbed, 'key', 'withdraw', 'lamps-1')).status, 0)
  t.match(await testbed.send(0, 'lamps'), {
    status: 401,
    kind: 'key-invalid',
    outcome: 'not-run',
  })

  const history = await runBulrush(testbed, 'history', '--limit', '4')
  const kinds = (history.json.changes as { change: { kind: string } }[]).map(row => row.change.kind)
  t.same(kinds, ['key-withdraw', 'zone-back', 'zone-out', 'promote'])

  // Consecutive failures eject r1, a runner in the zone of the first entry host; the ejection is
  // recorded as a decision.
  for (const runner of testbed.runners) runner.switchFaults({ failAll: true })
  for (let sent = 0; sent < 20; sent++) await testbed.send(0, 'mills')
  await until(async () => {
    const { status, json } = await runBulrush(testbed, 'explain', 'runner', 'r1')
    return status === 0 && (json.decisions as unknown[]).length > 0
  })

  for (const { program } of testbed.entries) program.kill('SIGKILL')
  await Promise.all(testbed.entries.map(({ program }) => program.waitForExit()))
  t.match(await runBulrush(testbed, 'status'), { status: 4 })
})
