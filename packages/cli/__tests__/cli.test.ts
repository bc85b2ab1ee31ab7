import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { emptyConfiguration } from '@bulrushbridge/contract'
import { authenticateOperator } from '@bulrushbridge/operator-api'
import { createKeyring } from '@bulrushbridge/team-keys'
import t from 'tap'
import { runCli, type CliContext } from '../src/index.js'

type SendRequest = NonNullable<CliContext['send']>

const entryArgs = ['--entry', 'http://127.0.0.2:1', '--entry', 'http://127.0.0.3:1']
const connectionArgs = [
  ...entryArgs,
  '--credential-file',
  join(t.testdir({ credential: 'blro_anna_x' }), 'credential'),
]
const okResponse = { status: 200, outcome: undefined }
const changeInForce = {
  version: 7,
  accepted: true,
  acknowledged: ['a'],
  missing: [],
  provisional: false,
}

async function run(args: string[], send?: SendRequest) {
  const [out, err, urls]: string[][] = [[], [], []]
  const status = await runCli(args, {
    env: {},
    write: text => out?.push(text),
    writeError: text => err?.push(text),
    send: (url, opts) => {
      urls?.push(url)
      return send ? send(url, opts) : Promise.reject(new Error('no entry host in this test'))
    },
  })
  return { status, out: out?.join('\n') ?? '', err: err?.join('\n') ?? '', urls: urls ?? [] }
}

function rejectWithCode(code: string): Promise<never> {
  return Promise.reject(Object.assign(new Error(code), { code }))
}

void t.test('a change that may have run is not sent to another entry host', async t => {
  const result = await run(['zone', 'out', 'z1', ...connectionArgs], () =>
    rejectWithCode('ECONNRESET'),
  )
  t.match(result, { status: 4, urls: { length: 1 }, err: /may have been made/ })
})

void t.test(
  'a change is sent to the next entry host when the first refused it as not run',
  async t => {
    const refusal = { kind: 'view-expired', message: 'This entry host is not current.' }
    const result = await run(['zone', 'out', 'z1', ...connectionArgs], url =>
      Promise.resolve(
        url.includes('127.0.0.2')
          ? { status: 503, outcome: 'not-run', body: { error: refusal } }
          : { ...okResponse, body: changeInForce },
      ),
    )
    t.match(result, { status: 0, urls: { length: 2 } })
  },
)

void t.test('a change is sent to the next entry host when the first cannot be reached', async t => {
  const result = await run(['key', 'withdraw', 'k1', '--json', ...connectionArgs], url =>
    url.includes('127.0.0.2')
      ? rejectWithCode('ECONNREFUSED')
      : Promise.resolve({ ...okResponse, body: changeInForce }),
  )
  t.match(result, { status: 0, urls: { length: 2 } })
  t.same(JSON.parse(result.out), changeInForce)
})

void t.test(
  'a change that is not in force everywhere ends with status 5 and names the host',
  async t => {
    const body = { ...changeInForce, missing: ['c'] }
    const result = await run(['zone', 'out', 'z1', ...connectionArgs], () =>
      Promise.resolve({ ...okResponse, body }),
    )
    t.match(result, { status: 5, out: /c +not yet/ })
  },
)

void t.test('a refusal ends with status 3 and the message of the entry host', async t => {
  const error = { kind: 'version-conflict', message: 'Changed by bo.' }
  const args = ['promote', 'd', '--expected-version', '3', ...connectionArgs]
  const sendRefusal: SendRequest = () =>
    Promise.resolve({ status: 409, outcome: 'not-run', body: { error } })
  t.match(await run(args, sendRefusal), { status: 3, err: 'Changed by bo.', urls: { length: 1 } })
})

void t.test('usage errors end with status 1', async t => {
  t.equal((await run([])).status, 1)
  t.equal((await run(['nonsense'])).status, 1)
  t.equal((await run(['status'])).status, 1)
  t.equal((await run(['check', '/nowhere.yaml'])).status, 1)
})

void t.test(
  'a read request tries every entry host and ends with status 4 when none responds',
  async t => {
    const result = await run(['status', ...connectionArgs], () => rejectWithCode('ECONNRESET'))
    t.match(result, { status: 4, urls: { length: 2 } })
  },
)

void t.test('check and diff work offline', async t => {
  const examples = join(import.meta.dirname, '../../contract/examples')
  const lumenfit = join(examples, 'lumenfit.yaml')
  t.match(await run(['check', lumenfit]), { status: 0, urls: { length: 0 } })
  t.match(await run(['diff', lumenfit, lumenfit]), { status: 0, out: 'no difference' })
  const bad = join(t.testdir(), 'bad.yaml')
  writeFileSync(bad, 'environment: x\nzonse: [a]\n')
  t.match(await run(['check', bad]), { status: 2, err: /bad\.yaml:2:1: unknown field 'zonse'/ })
})

void t.test('entry hosts accept a generated key', async t => {
  const { out, status } = await run(['key', 'generate', 'lamps-1', '--json'])
  t.equal(status, 0)
  const { key, digest } = JSON.parse(out) as { key: string; digest: string }
  const keys = { 'lamps-1': { id: 'lamps-1', team: 'lamps', digest } }
  const keyring = createKeyring({ keys: { keys, grantedKeys: {}, withdrawnKeys: [] } })
  t.match(keyring.parseAuthorization(`Bearer ${key}`), { team: 'lamps', keyId: 'lamps-1' })
})

void t.test('entry hosts accept a generated credential', async t => {
  const { out, status } = await run(['key', 'generate', 'anna', '--operator', '--json'])
  t.equal(status, 0)
  const { key, digest } = JSON.parse(out) as { key: string; digest: string }
  t.equal(authenticateOperator(`Bearer ${key}`, emptyConfiguration(), digest), 'anna')
  t.equal((await run(['key', 'generate', 'Anna_1', '--operator'])).status, 1)
  t.equal((await run(['key', 'generate', 'Lamps_1'])).status, 1)
})

void t.test(
  'a credential in the arguments is refused, because other users can list them',
  async t => {
    const result = await run(['status', ...entryArgs, '--credential', 'blro_anna_x'])
    t.match(result, { status: 1, urls: { length: 0 }, err: /--credential-file/ })
    t.notMatch(result.err, 'blro_anna_x')
  },
)
