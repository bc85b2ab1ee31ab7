// Runs all tests under tap and prints their count. Exits with 1 when one failed that is not listed
// in KNOWN-RED.txt, or when none ran.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const dir = mkdtempSync(join(tmpdir(), 'bulrush-test-'))
const reportFile = join(dir, 'report.tap')

// Characters shown of each failure.
const maxDetail = 1_500
const args = ['run', '--disable-coverage', '--reporter=terse', `--output-file=${reportFile}`]
spawnSync('node_modules/.bin/tap', [...args, ...process.argv.slice(2)], { stdio: 'inherit' })

// Entries of KNOWN-RED.txt begin with `test: FILE, "NAME"`.
const listed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : ''
const known = [...listed.matchAll(/^test: (\S+), "(.+)"/gm)].map(([, file, name]) => ({
  file,
  name,
}))

let passed = 0
const passedOver = []
const failures = []
let failuresOfFile = []
// Top-level points of the report are test files; the points one level below are their tests.
for (const line of readFileSync(reportFile, 'utf8').split('\n')) {
  if (/^ {4}ok \d/.test(line)) passed += 1
  const failure = /^ {4}not ok \d+ - (.*)/.exec(line)
  if (failure) failuresOfFile.push(failure[1])
  const file = /^(ok|not ok) \d+ - (\S+)/.exec(line)
  if (!file) continue
  const isKnown = test => known.some(entry => entry.file === file[2] && test.startsWith(entry.name))
  for (const test of failuresOfFile) {
    if (isKnown(test)) passedOver.push(`${file[2]}: ${test}`)
    else failures.push(`${file[2]}: ${test}`)
  }
  // A file that ended badly without a failed test was cut off, for example by its time limit.
  if (file[1] === 'not ok' && failuresOfFile.length === 0) failures.push(`${file[2]}: cut off`)
  failuresOfFile = []
}
const failed = failures.length
if (failed > 0) {
  // The reporter shows details on a terminal only.
  const report = readFileSync(reportFile, 'utf8')
  for (const at of report.matchAll(/^ *not ok .*$/gm)) {
    process.stdout.write(`${report.slice(at.index, at.index + maxDetail)}\n...\n`)
  }
}
rmSync(dir, { recursive: true })

for (const test of failures) console.log(`failed: ${test}`)
for (const test of passedOver) console.log(`passed over, listed in KNOWN-RED.txt: ${test}`)
console.log(`${passed} passed, ${failed} failed`)
process.exit(failed > 0 || passed === 0 ? 1 : 0)
