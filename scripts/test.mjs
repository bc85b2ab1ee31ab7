// Runs all tests under tap and prints the counts. Exits with 1 when a test failed that is not listed
// in KNOWN-RED.txt, or when no test passed in one of the runs.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const reportDir = mkdtempSync(join(tmpdir(), 'bulrush-test-'))

// Most characters of the report that are printed for each failure.
const maxDetailLength = 1_500

// A scenario file runs a whole system in several processes against bounds of seconds. One file on
// each core would make these processes wait for each other.
const maxScenarioFilesAtOnce = 4

// Each of these tests brings a process to its limits and checks its memory, so they run alone.
const clientLoadTests = 'packages/*/__tests__/client-load/*.test.ts'

const paths = process.argv.slice(2)
const selections =
  paths.length > 0
    ? [paths]
    : [
        ['--exclude=scenarios/**', `--exclude=${clientLoadTests}`],
        ['--jobs=1', `--include=${clientLoadTests}`],
        [`--jobs=${maxScenarioFilesAtOnce}`, '--include=scenarios/**/*.test.ts'],
      ]
const reports = selections.map((selection, index) => {
  const reportFile = join(reportDir, `report-${index}.tap`)
  const args = ['run', '--disable-coverage', '--reporter=terse', `--output-file=${reportFile}`]
  spawnSync('node_modules/.bin/tap', [...args, ...selection], { stdio: 'inherit' })
  return readFileSync(reportFile, 'utf8')
})
const report = reports.join('\n')

// Entries of KNOWN-RED.txt begin with `test: FILE, "NAME"`.
const knownFailuresText = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : ''
const knownFailures = [...knownFailuresText.matchAll(/^test: (\S+), "(.+)"/gm)].map(
  ([, file, name]) => ({
    file,
    name,
  }),
)

let passed = 0
const toleratedFailures = []
const failures = []
let fileFailures = []
// Top-level test points of the report are files; those one level below are the tests of a file.
for (const line of report.split('\n')) {
  if (/^ {4}ok \d/.test(line)) passed += 1
  const failure = /^ {4}not ok \d+ - (.*)/.exec(line)
  if (failure) fileFailures.push(failure[1])
  const fileResult = /^(ok|not ok) \d+ - (\S+)/.exec(line)
  if (!fileResult) continue
  const isKnown = test =>
    knownFailures.some(known => known.file === fileResult[2] && test.startsWith(known.name))
  for (const test of fileFailures) {
    if (isKnown(test)) toleratedFailures.push(`${fileResult[2]}: ${test}`)
    else failures.push(`${fileResult[2]}: ${test}`)
  }
  // A file that failed without a failed test was aborted, for example at its time limit.
  if (fileResult[1] === 'not ok' && fileFailures.length === 0)
    failures.push(`${fileResult[2]}: aborted`)
  fileFailures = []
}
const failed = failures.length
if (failed > 0) {
  // The reporter prints details of failures only on a terminal.
  for (const match of report.matchAll(/^ *not ok .*$/gm)) {
    process.stdout.write(`${report.slice(match.index, match.index + maxDetailLength)}\n...\n`)
  }
}
rmSync(reportDir, { recursive: true })

for (const test of failures) console.log(`failed: ${test}`)
for (const test of toleratedFailures) console.log(`known failure, listed in KNOWN-RED.txt: ${test}`)
console.log(`${passed} passed, ${failed} failed`)
const hasEmptyReport = reports.some(text => !/^ {4}ok \d/m.test(text))
process.exit(failed > 0 || hasEmptyReport ? 1 : 0)
