// Runs all tests under tap and prints their count. Exits with 1 when one failed or none ran.
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const dir = mkdtempSync(join(tmpdir(), 'bulrush-test-'))
const report = join(dir, 'report.tap')
const args = ['run', '--disable-coverage', '--reporter=terse', `--output-file=${report}`]
const run = spawnSync('node_modules/.bin/tap', [...args, ...process.argv.slice(2)], {
  stdio: 'inherit',
})

// Top-level points of the report are test files; the points one level below are the tests.
const lines = readFileSync(report, 'utf8').split('\n')
const passed = lines.filter(line => /^ {4}ok \d/.test(line)).length
const failed = lines.filter(line => /^ {4}not ok \d/.test(line)).length
const failedFiles = lines.filter(line => /^not ok \d/.test(line)).length
rmSync(dir, { recursive: true })

const failures = Math.max(failed, failedFiles)
console.log(`${passed} passed, ${failures} failed`)
process.exit(run.status !== 0 || failures > 0 || passed === 0 ? 1 : 0)
