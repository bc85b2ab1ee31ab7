import t from 'tap'
import { isSocketAddress } from '../src/index.js'

void t.test('an address consists of an IP address and a port', t => {
  for (const text of ['10.128.0.9:8080', '127.0.0.1:1', '10.0.0.1:65535', '[fd00::1]:80'])
    t.equal(isSocketAddress(text), true, text)
  for (const text of [
    '',
    ':',
    ':80',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '10.0.0.1:8.5',
    '10.0.0.1:1e3',
    ' 10.0.0.1:80',
    '10.0.0.1\n:80',
    '10.0.0.1:80\n',
    '10.0.0.256:80',
    '10.1:80',
    'fd00::1:80',
    '[fd00::1]',
    'user:secret@10.0.0.1:80',
    '10.0.0.1:80/path',
    'http://10.0.0.1:80',
    `${'1'.repeat(100_000)}:80`,
  ])
    t.equal(isSocketAddress(text), false, text.slice(0, 40))
  t.end()
})
