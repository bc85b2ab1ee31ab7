import { spawnSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { programVersion, readSecret } from '../src/index.js'

const root = join(import.meta.dirname, '../../..')
const secret = 'correct-horse-battery'
const required = {
  BULRUSH_MEMBER: 'e1',
  BULRUSH_ZONE: 'a',
  BULRUSH_HOST: '127.0.0.1',
  BULRUSH_TABLE_URL: 'http://127.0.0.1:1',
  BULRUSH_OBJECT_URL: 'http://127.0.0.1:1',
}

/** Runs the built entry host program with `required` as its environment. */
function runEntry(args: string[], env: Record<string, string> = {}) {
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    [join(root, 'dist/bulrush-entry.mjs'), ...args],
    { env: { ...required, ...env }, encoding: 'utf8', timeout: 20_000 },
  )
  return { status, stdout, stderr }
}

void t.test('--version prints the version in package.json', t => {
  const { version } = JSON.parse(readFileSync(join(root, 'package.json'), 'utf8')) as {
    version: string
  }
  t.equal(programVersion, version)
  t.match(runEntry(['--version']), { status: 0, stdout: `${version}\n` })
  t.end()
})

void t.test('the program exits with a message that names an invalid setting', t => {
  const env = { BULRUSH_PEER_SECRET: secret }
  t.match(runEntry(['--caller-port', '70000'], env), { status: 1, stderr: /--caller-port: / })
  t.match(runEntry([], { ...env, BULRUSH_CALLER_PORT: 'x' }), { status: 1, stderr: /CALLER_PORT/ })
  t.match(runEntry([], { ...env, BULRUSH_DEFAULT_DEADLINE: '700000' }), {
    status: 1,
    stderr: /--default-deadline .*--max-deadline/,
  })
  t.match(runEntry([]), { status: 1, stderr: /--peer-secret-file/ })
  t.end()
})

void t.test('a program that cannot listen exits with status 2', t => {
  const env = { BULRUSH_PEER_SECRET: secret, BULRUSH_HOST: '192.0.2.1' }
  t.match(runEntry([], env), { status: 2, stderr: /cannot start/ })
  t.end()
})

void t.test('neither the help page nor error messages contain a secret', t => {
  const env = { BULRUSH_PEER_SECRET: secret }
  const short = { BULRUSH_PEER_SECRET: 'too-short' }
  const results = [
    runEntry(['--help'], env),
    runEntry(['--member', 'X'], env),
    runEntry(['--peer-secret', secret]),
    runEntry([`--peer-secret=${secret}`]),
    runEntry([], short),
  ]
  t.same(
    results.map(({ status }) => status),
    [0, 1, 1, 1, 1],
  )
  t.notMatch(JSON.stringify(results), new RegExp(`${secret}|too-short`))
  t.end()
})

void t.test('a secret is read from its file or its environment variable, not from both', t => {
  const file = join(t.testdir(), 'secret')
  writeFileSync(file, `${secret}\n`)
  t.equal(readSecret('peer-secret', file, {}), secret)
  t.equal(readSecret('peer-secret', undefined, { BULRUSH_PEER_SECRET: secret }), secret)
  t.throws(() => readSecret('peer-secret', file, { BULRUSH_PEER_SECRET: 'x' }), /not both/)
  t.throws(() => readSecret('peer-secret', '/nowhere', {}), /--peer-secret-file.*ENOENT/)
  t.end()
})
