import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { parse, stringify } from 'yaml'
import {
  applyChange,
  checkEnvironment,
  diffDocument,
  documentDigest,
  emptyConfiguration,
  parseEnvironment,
} from '../src/index.js'

function example(name: string): string {
  return readFileSync(join(import.meta.dirname, `../examples/${name}.yaml`), 'utf8')
}

const lumenfit = example('lumenfit')

/** Faults and warnings as `line:column message`, for the example with `from` replaced by `to`. */
function diagnosticMessages(from: string | RegExp, to: string): string[] {
  const result = checkEnvironment(lumenfit.replace(from, to))
  const faults = result.ok ? result.warnings : [...result.faults, ...result.warnings]
  return faults.map(({ line, column, message }) => `${line}:${column} ${message}`)
}

/** Position of `^` in the replaced text, where the fault is expected. */
function markedPosition(from: string | RegExp, to: string): string {
  const before = lumenfit.replace(from, to).split('^')[0]?.split('\n') ?? []
  return `${before.length}:${(before.at(-1)?.length ?? 0) + 1}`
}

for (const name of ['lumenfit', 'kivikoja']) {
  void t.test(`the example ${name} passes the check without warnings`, t => {
    const result = checkEnvironment(example(name))
    t.same(result.ok ? result.warnings : result.faults, [])
    t.end()
  })
}

void t.test('each fault has the position of its node and a message that explains it', t => {
  // `^` marks the position where the fault is expected.
  const cases: [from: string | RegExp, to: string, message: RegExp][] = [
    ['share: 30, limit', 'share: 30, ^limt', /unknown field 'limt'; did you mean 'limit'\?/],
    ['pool: catalogue\n', 'pool: ^catalouge\n', /unknown pool 'catalouge'; did you mean/],
    ['team: counters,', 'team: ^conters,', /unknown team 'conters'; did you mean 'counters'/],
    ['service: search', 'service: ^serach', /unknown service 'serach'; did you mean 'search'/],
    ['zone: west', 'zone: ^wets', /unknown zone 'wets'; did you mean 'west'/],
    ['limit: 160', 'limit: ^3', /limit 3 is below the 96 slots/],
    ['limit: 160', 'limit: ^many', /expected number, received string/],
    ['name: bo,', 'name: ^anna,', /'anna' is already the name of operators\[0\]/],
    ['id: fitters-1', 'id: ^counters-1', /already the id of keys/],
    [
      '{ name: find, team: open, service: search }',
      '^{ name: find, team: open }',
      /neither a service nor/,
    ],
    [
      'host: search-north-1',
      'host: ^catalogue-north-1',
      /in pool 'catalogue' and in pool 'search'/,
    ],
    ['{ minServing: 0.6', '^{ minServing: 0.9', /by 2 runners when zone 'north' is out/],
    [/operators:\n(.*\n){2}/, 'operators: ^[]\n', /at least one operator/],
    [/teams:\n(.*\n){7}/, 'teams: ^[]\n', /sum of all shares is zero/],
    [/teams:\n(.*\n){7}/, 'teams: []\n', /is open, but there is no team/],
  ]
  for (const [from, to, message] of cases) {
    const found = diagnosticMessages(from, to.replace('^', ''))
    const position = to.includes('^') ? `${markedPosition(from, to)} ` : ''
    const isFound = found.some(line => message.test(line) && line.startsWith(position))
    t.ok(isFound, `${position}${String(message)} in ${found.join(' | ')}`)
  }
  t.end()
})

void t.test('a rack in two pools is a fault, because its hosts would belong to two pools', t => {
  const checkRacks = (first: string, second: string) =>
    diagnosticMessages(
      /pools:\n(.*\n){3}/,
      `pools:\n  - { name: compatibility, racks: [${first}] }\n  - { name: test-sheets, racks: [${second}] }\n`,
    )
  t.same(checkRacks('r1, r2', 'r3'), [])
  t.match(
    checkRacks('r1, r2', 'r2')[0],
    /rack 'r2' is in pool 'compatibility' and in pool 'test-sheets'/,
  )
  t.match(checkRacks('r1, r1', 'r2')[0], /rack 'r1' is twice in pool 'compatibility'/)
  t.end()
})

void t.test('a changed list of racks is promoted, a changed order of racks is not', t => {
  const withRacks = (racks: string[]) => {
    const parsed = parseEnvironment(lumenfit)
    if (!parsed.ok) throw new Error('the example has faults')
    const [first, ...others] = parsed.document.pools
    if (first === undefined) throw new Error('the example has no pool')
    return { ...parsed.document, pools: [{ ...first, racks }, ...others] }
  }
  const promoted = applyChange(emptyConfiguration(), {
    kind: 'promote',
    digest: '',
    entries: diffDocument(emptyConfiguration(), withRacks(['r1', 'r2'])),
  })
  t.same(diffDocument(promoted, withRacks(['r2', 'r1'])), [])
  t.equal(documentDigest(withRacks(['r2', 'r1'])), documentDigest(withRacks(['r1', 'r2'])))
  t.match(diffDocument(promoted, withRacks(['r1'])), [
    { op: 'set', section: 'pools', value: { racks: ['r1'] } },
  ])
  t.end()
})

void t.test('a missing field and a syntax error have positions', t => {
  t.match(diagnosticMessages(', limit: 160', '')[0], /field 'limit' is missing/)
  t.match(diagnosticMessages('zones: [', 'zones: [['), [/^\d+:\d+ /])
  t.match(checkEnvironment(''), { ok: false, faults: [{ line: 1, column: 1 }] })
  t.end()
})

void t.test('the order of entries and fields does not change the digest', t => {
  const doc = parse(lumenfit) as Record<string, unknown>
  const reversed = Object.fromEntries(
    Object.entries(doc)
      .reverse()
      .map(([name, value]) => [
        name,
        Array.isArray(value) ? [...(value as unknown[])].reverse() : value,
      ]),
  )
  const [one, two] = [parseEnvironment(lumenfit), parseEnvironment(stringify(reversed))]
  t.ok(one.ok && two.ok && documentDigest(one.document) === documentDigest(two.document))
  t.end()
})
