import { createHash } from 'node:crypto'
import t from 'tap'
import { VirtualFleet } from '../../config-view/__tests__/virtual-fleet.js'
import { createOperatorApi, credentialDigest } from '../src/index.js'

const entryHostIds = ['a', 'b', 'c']
const credential = 'blro_anna_s3cret'
const otherCredential = 'blro_bo_s4cret'

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
  - { name: bo, digest: ${credentialDigest(otherCredential)} }
queues: [{ name: ask, team: open, service: finder }]
`
}

interface ApiResponse {
  status: number
  body: Record<string, unknown> & { error?: { kind: string; message: string; outcome: string } }
}

async function setUp() {
  const fleet = new VirtualFleet(3)
  await fleet.registerAll(entryHostIds)
  await fleet.runUntil(fleet.now + 1000)
  const apps = new Map(
    [...fleet.views].map(([id, view]) => [
      id,
      createOperatorApi({
        view,
        table: fleet.table(id),
        objects: fleet.objects(id),
        clock: { now: () => fleet.now },
        runningWorkOf: () => 9,
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
    const response = await fleet.runUntilSettled(res)
    return { status: response.status, body: await response.json() } as ApiResponse
  }
  const runTrial = async (text: string, as = credential) =>
    (await call('a', 'trial', text, as)).body as unknown as { digest: string; version: number }
  const promoteFirst = async () => {
    const { digest, version } = await runTrial(documentText(16), 'blro_first_boot')
    return call('a', 'promote', { digest, expectedVersion: version }, 'blro_first_boot')
  }
  return { fleet, call, runTrial, promoteFirst }
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

void t.test('a document without a trial is refused', async t => {
  const { call, promoteFirst } = await setUp()
  await promoteFirst()
  const response = await call('a', 'promote', { digest: '0'.repeat(64), expectedVersion: 4 })
  t.match(response, { status: 409, body: { error: { kind: 'not-proved', outcome: 'not-run' } } })
})

void t.test(
  'a repeated promotion commits nothing, and a conflicting one names the operator who was first',
  async t => {
    const { fleet, call, runTrial, promoteFirst } = await setUp()
    await promoteFirst()
    const firstTrial = await runTrial(documentText(20))
    const conflictingTrial = await runTrial(documentText(24))
    const firstPromotion = { digest: firstTrial.digest, expectedVersion: firstTrial.version }
    t.match(await call('a', 'promote', firstPromotion), { status: 200, body: { version: 5 } })
    t.match(await call('a', 'promote', firstPromotion), { status: 200, body: { version: 5 } })
    await fleet.runUntil(fleet.now + 1000)
    const conflictingPromotion = {
      digest: conflictingTrial.digest,
      expectedVersion: conflictingTrial.version,
    }
    const response = await call('b', 'promote', conflictingPromotion, otherCredential)
    t.equal(response.body.error?.kind, 'version-conflict')
    t.match(response.body.error?.message, /anna/)
  },
)

void t.test(
  'a trial reports limits below use and warnings, and a check reports faults',
  async t => {
    const { call, promoteFirst } = await setUp()
    await promoteFirst()
    const trial = await call('a', 'trial', documentText(4))
    t.match(trial.body, {
      effects: { limitsBelowUse: [{ team: 'north', limit: 4, running: 9 }] },
      warnings: [{ path: 'teams[0].limit' }],
    })
    const check = await call('a', 'check', documentText(16).replace('share', 'shaer'))
    t.match(check, { status: 400, body: { error: { kind: 'document-invalid' } } })
    t.match(JSON.stringify(check.body), /unknown field 'shaer'; did you mean 'share'\?/)
  },
)

void t.test(
  'while the store is down, restrictions are provisional and other changes are refused',
  async t => {
    const { fleet, call, promoteFirst } = await setUp()
    await promoteFirst()
    await fleet.runUntil(fleet.now + 1000)
    fleet.isStoreDown = true
    const takeOut = await call('a', 'zones/z1/out', {})
    t.match(takeOut, { status: 200, body: { provisional: true, accepted: true, missing: [] } })
    t.match((await call('c', 'status')).body, { zonesOut: ['z1'], confirmed: true })
    const grant = { id: 'k2', team: 'north', digest: 'a'.repeat(64) }
    for (const [path, body] of [
      ['zones/z1/back', {}],
      ['keys/grant', grant],
    ] as const) {
      const response = await call('a', path, body)
      t.match(response, {
        status: 503,
        body: { error: { kind: 'store-unavailable', outcome: 'not-run' } },
      })
    }
  },
)

void t.test(
  'the response to a change lists the entry hosts where it is not yet in force',
  async t => {
    const { fleet, call, promoteFirst } = await setUp()
    await promoteFirst()
    await fleet.runUntil(fleet.now + 1000)
    fleet.frozenUntil.set('c', fleet.now + 20_000)
    const response = await call('a', 'keys/withdraw', { id: 'k1' })
    t.match(response.body, { accepted: true, missing: ['c'] })
  },
)

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
