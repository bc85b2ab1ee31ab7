import { createHash } from 'node:crypto'
import t from 'tap'
import { VirtualFleet } from '../../config-view/__tests__/virtual-fleet.js'
import { createOperatorApi, credentialDigest } from '../src/index.js'

const ids = ['a', 'b', 'c']
const credential = 'blro_anna_s3cret'
const other = 'blro_bo_s4cret'

function documentText(limit: number): string {
  const runner = (id: string, zone: string, port: number) =>
    `{ id: ${id}, host: h-${id}, zone: ${zone}, address: '127.0.0.1:${port}' }`
  return `
environment: test
zones: [z1, z2]
pools: [{ name: main }]
services:
  - name: finder
    pool: main
    availability: { minServing: 0.5 }
    runners: [${runner('r1', 'z1', 1)}, ${runner('r2', 'z2', 2)}]
teams: [{ name: north, organisation: o, share: 1, limit: ${limit} }]
keys: [{ id: k1, team: north, digest: ${createHash('sha256').update('k1').digest('hex')} }]
operators:
  - { name: anna, digest: ${credentialDigest(credential)} }
  - { name: bo, digest: ${credentialDigest(other)} }
queues: [{ name: ask, team: open, service: finder }]
`
}

interface Answer {
  status: number
  body: Record<string, unknown> & { error?: { kind: string; message: string; outcome: string } }
}

async function setUp() {
  const fleet = new VirtualFleet(3)
  await fleet.registerAll(ids)
  await fleet.runUntil(fleet.now + 1000)
  const apps = new Map(
    [...fleet.views].map(([id, view]) => [
      id,
      createOperatorApi({
        view,
        table: fleet.table(id),
        objects: fleet.objects(id),
        clock: { now: () => fleet.now },
        usageOf: () => 9,
        bootstrapDigest: credentialDigest('blro_first_boot'),
      }),
    ]),
  )
  const call = async (id: string, path: string, body?: unknown, as = credential) => {
    const app = apps.get(id)
    if (!app) throw new Error(`no entry host ${id}`)
    const text = typeof body === 'string' ? body : JSON.stringify(body ?? {})
    const isGet = body === undefined
    const res = Promise.resolve(
      app.request(`/operator/v1/${path}`, {
        method: isGet ? 'GET' : 'POST',
        headers: { authorization: `Bearer ${as}` },
        ...(isGet ? {} : { body: text }),
      }),
    )
    const answered = await fleet.drive(res)
    return { status: answered.status, body: await answered.json() } as Answer
  }
  const trial = async (text: string, as = credential) =>
    (await call('a', 'trial', text, as)).body as unknown as { digest: string; version: number }
  const promoteFirst = async () => {
    const { digest, version } = await trial(documentText(16), 'blro_first_boot')
    return call('a', 'promote', { digest, expectedVersion: version }, 'blro_first_boot')
  }
  return { fleet, call, trial, promoteFirst }
}

void t.test('the bootstrap credential works for the first promotion and not after it', async t => {
  const { fleet, call, promoteFirst } = await setUp()
  const first = await promoteFirst()
  t.match(first, { status: 200, body: { accepted: true, missing: [] } })
  await fleet.runUntil(fleet.now + 1000)
  t.equal((await call('b', 'status', undefined, 'blro_first_boot')).status, 401)
  t.equal((await call('b', 'status', undefined, 'blro_anna_wrong')).status, 401)
  t.match((await call('b', 'status')).body, { environment: 'test', confirmed: true })
})

void t.test('an unproved digest is refused', async t => {
  const { call, promoteFirst } = await setUp()
  await promoteFirst()
  const answer = await call('a', 'promote', { digest: '0'.repeat(64), expectedVersion: 4 })
  t.match(answer, { status: 409, body: { error: { kind: 'not-proved', outcome: 'not-run' } } })
})

void t.test('a repeated promotion commits nothing, a racing one names the winner', async t => {
  const { fleet, call, trial, promoteFirst } = await setUp()
  await promoteFirst()
  const one = await trial(documentText(20))
  const two = await trial(documentText(24))
  const winner = { digest: one.digest, expectedVersion: one.version }
  t.match(await call('a', 'promote', winner), { status: 200, body: { version: 5 } })
  t.match(await call('a', 'promote', winner), { status: 200, body: { version: 5 } })
  await fleet.runUntil(fleet.now + 1000)
  const loser = { digest: two.digest, expectedVersion: two.version }
  const answer = await call('b', 'promote', loser, other)
  t.equal(answer.body.error?.kind, 'version-conflict')
  t.match(answer.body.error?.message, /anna/)
})

void t.test('a trial reports limits below use and positions of faults', async t => {
  const { call, promoteFirst } = await setUp()
  await promoteFirst()
  const low = await call('a', 'trial', documentText(4))
  t.match(low.body, {
    effects: { limitsBelowUse: [{ team: 'north', limit: 4, running: 9 }] },
    warnings: [{ path: 'teams[0].limit' }],
  })
  const bad = await call('a', 'check', documentText(16).replace('share', 'shaer'))
  t.match(bad, { status: 400, body: { error: { kind: 'document-invalid' } } })
  t.match(JSON.stringify(bad.body), /unknown field 'shaer'; did you mean 'share'\?/)
})

void t.test(
  'without the store, restrictions are provisional and other changes do not run',
  async t => {
    const { fleet, call, promoteFirst } = await setUp()
    await promoteFirst()
    await fleet.runUntil(fleet.now + 1000)
    fleet.storeDown = true
    const out = await call('a', 'zones/z1/out', {})
    t.match(out, { status: 200, body: { provisional: true, accepted: true, missing: [] } })
    t.match((await call('c', 'status')).body, { zonesOut: ['z1'], confirmed: true })
    const grant = { id: 'k2', team: 'north', digest: 'a'.repeat(64) }
    for (const [path, body] of [
      ['zones/z1/back', {}],
      ['keys/grant', grant],
    ] as const) {
      const answer = await call('a', path, body)
      t.match(answer, {
        status: 503,
        body: { error: { kind: 'store-unavailable', outcome: 'not-run' } },
      })
    }
  },
)

void t.test('a change names the entry hosts where it is not yet in force', async t => {
  const { fleet, call, promoteFirst } = await setUp()
  await promoteFirst()
  await fleet.runUntil(fleet.now + 1000)
  fleet.frozenUntil.set('c', fleet.now + 20_000)
  const answer = await call('a', 'keys/withdraw', { id: 'k1' })
  t.match(answer.body, { accepted: true, missing: ['c'] })
})

void t.test('unknown names are refused and history lists the changes', async t => {
  const { fleet, call, promoteFirst } = await setUp()
  await promoteFirst()
  await fleet.runUntil(fleet.now + 1000)
  for (const path of ['zones/nowhere/out', 'keys/withdraw']) {
    t.equal((await call('a', path, { id: 'k9' })).status, 404)
  }
  t.equal((await call('a', 'explain/team/north')).status, 404)
  const { body } = await call('a', 'history?limit=2')
  t.match(body.changes, [{ version: 4, by: 'first' }, { version: 3 }])
})
