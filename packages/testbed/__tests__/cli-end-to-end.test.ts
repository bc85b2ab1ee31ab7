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

async function bulrush(bed: Testbed, ...args: string[]): Promise<CliResult> {
  const entries = bed.entries.map(({ operators }) => `http://${operators}`).join(',')
  const { status, stdout, stderr } = await runToEnd('bulrush', [...args, '--json'], {
    BULRUSH_ENTRY: entries,
    BULRUSH_CREDENTIAL: bed.sample.operator.credential,
  })
  return { status, stderr, json: JSON.parse(stdout || '{}') as Record<string, unknown> }
}

void t.test('operators control a fleet through the command line', async t => {
  const bed = await createTestbed({ entryHosts: 2, zones: ['a', 'b'], runners: 4 })
  t.teardown(() => bed.close())
  const dir = t.testdir()

  // A raised limit, so that the promotion has something to change.
  const teams = (bed.sample.data.teams as { limit: number }[]).map(team => ({ ...team, limit: 90 }))
  const file = join(dir, 'document.yaml')
  writeFileSync(file, stringify({ ...bed.sample.data, teams }))
  const trial = await bulrush(bed, 'trial', file)
  t.match(trial, { status: 0, json: { digest: /^[0-9a-f]{64}$/, changes: { length: 2 } } })

  const digest = String(trial.json.digest)
  const promote = (version: number) =>
    bulrush(bed, 'promote', digest, '--expected-version', String(version))
  const conflict = await promote(Number(trial.json.version) - 1)
  t.match(conflict, { status: 3, json: { error: { kind: 'version-conflict' } } })
  const promoted = await promote(Number(trial.json.version))
  t.match(promoted, { status: 0, json: { accepted: true, missing: [] } })
  const unproved = await bulrush(bed, 'promote', '0'.repeat(64), '--expected-version', '1')
  t.match(unproved, { status: 3, json: { error: { kind: 'not-proved' } } })

  const status = await bulrush(bed, 'status')
  t.match(status, { status: 0, json: { documentDigest: digest, zonesOut: [] } })

  t.equal((await bulrush(bed, 'zone', 'out', 'a')).status, 0)
  t.match(await bulrush(bed, 'status'), { json: { zonesOut: ['a'] } })
  t.equal((await bulrush(bed, 'zone', 'back', 'a')).status, 0)
  t.match(await bulrush(bed, 'zone', 'out', 'nowhere'), { status: 3 })

  t.equal((await bed.send(0, 'lamps')).status, 200)
  t.equal((await bulrush(bed, 'key', 'withdraw', 'lamps-1')).status, 0)
  t.match(await bed.send(0, 'lamps'), { status: 401, kind: 'key-invalid', outcome: 'not-run' })

  const history = await bulrush(bed, 'history', '--limit', '4')
  const kinds = (history.json.changes as { change: { kind: string } }[]).map(row => row.change.kind)
  t.same(kinds, ['key-withdraw', 'zone-back', 'zone-out', 'promote'])

  // Consecutive failures eject the runner near the entry host, which leaves a decision record.
  for (const runner of bed.runners) runner.switchFaults({ failAll: true })
  for (let sent = 0; sent < 20; sent++) await bed.send(0, 'mills')
  await until(async () => {
    const { status, json } = await bulrush(bed, 'explain', 'runner', 'r1')
    return status === 0 && (json.decisions as unknown[]).length > 0
  })

  for (const { program } of bed.entries) program.kill('SIGKILL')
  await Promise.all(bed.entries.map(({ program }) => program.ended()))
  t.match(await bulrush(bed, 'status'), { status: 4 })
})
