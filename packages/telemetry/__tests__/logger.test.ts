// Must be imported before roarr.
import { createLogger } from '../src/index.js'
import { ROARR } from 'roarr'
import t from 'tap'

// Guards against a client whose long names, in lines that wait for the reader of the log, fill the memory.
void t.test('the fields of a line are cut, without showing a secret', t => {
  const lines: string[] = []
  ROARR.write = line => lines.push(line)
  const log = createLogger({ program: 'test' })
  const secret = 'blr_lamps-1_x7Ghx7Ghx7Ghx7Ghx7Ghx7Ghx7Ghx7Gh'
  log.info('request failed', { path: `${'x'.repeat(1_990)}${secret}`, task: 'y'.repeat(4_000_000) })
  const [line = ''] = lines
  t.match(line, /request failed/)
  t.ok(line.length < 5_000)
  t.notMatch(line, /x7Gh/)
  t.end()
})
