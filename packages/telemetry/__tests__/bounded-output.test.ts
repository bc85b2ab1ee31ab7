import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { createBoundedOutput, createLogger } from '../src/index.js'

/** Rate limit of the output, in lines per second. */
const maxLinesPerSecond = 1_000

// Guards against unlimited logging: an overloaded host must not spend its time on log lines.
void t.test('lines beyond the rate limit are dropped and counted', async t => {
  const file = join(mkdtempSync(join(tmpdir(), 'bulrush-log-')), 'log')
  const output = createBoundedOutput({
    descriptor: openSync(file, 'w'),
    onSuppressed: () => undefined,
  })
  const log = createLogger({ program: 'test' })
  const lines = 3 * maxLinesPerSecond
  for (let i = 0; i < lines; i++) log.info('line', { i })
  await output.close()
  const written = readFileSync(file, 'utf8').trimEnd().split('\n')
  t.equal(written.length + output.suppressedLines(), lines)
  t.ok(written.length <= 2 * maxLinesPerSecond)
  for (const line of written) JSON.parse(line)
})

// Guards against split log lines: a pipe that accepted only some of the bytes of a write cut a line
// in two.
void t.test('a slow reader of a pipe receives complete lines', async t => {
  const reader = spawn(
    process.execPath,
    ['-e', 'setTimeout(() => process.stdin.pipe(process.stdout), 300)'],
    { stdio: ['pipe', 'pipe', 'inherit'] },
  )
  const descriptor = (reader.stdin as unknown as { _handle: { fd: number } })._handle.fd
  const output = createBoundedOutput({ descriptor, onSuppressed: () => undefined })
  const log = createLogger({ program: 'test' })
  const text = 'x'.repeat(2_000)
  let received = ''
  reader.stdout.on('data', (chunk: Buffer) => (received += chunk.toString()))
  for (let i = 0; i < 200; i++) log.info(text, { i })
  await output.close()
  reader.stdin.end()
  await once(reader, 'close')
  const read = received.trimEnd().split('\n')
  t.equal(read.length, 200)
  for (const line of read) JSON.parse(line)
})

// Guards against losing the lines that explain an overload: at 900 starts a second, the lines about
// runs used up the rate limit, and the line about the load was dropped.
void t.test('a frequent message does not displace a rare one', async t => {
  const file = join(mkdtempSync(join(tmpdir(), 'bulrush-log-')), 'log')
  const output = createBoundedOutput({
    descriptor: openSync(file, 'w'),
    onSuppressed: () => undefined,
  })
  const log = createLogger({ program: 'test' })
  for (let i = 0; i < 2 * maxLinesPerSecond; i++) log.info('run started', { i })
  log.info('dispatcher load', { eventLoopUse: 1 })
  await output.close()
  const written = readFileSync(file, 'utf8').trimEnd().split('\n')
  const hasRareLine = written.some(line => line.includes('"message":"dispatcher load"'))
  t.ok(hasRareLine, 'the rare line is written')
  t.ok(written.length <= maxLinesPerSecond)
})
