import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createPeerLinks, createPeerTls } from '@bulrushbridge/peer-link'
import { createObjectStandin, createTableStandin } from '@bulrushbridge/standins'
import t from 'tap'
import { createAuthority } from '../../peer-link/__tests__/certificates.js'
import { createLoopback, createOperator, createTestbed, launch } from '../src/index.js'

const peerSecret = 'peer-secret-that-must-not-show'

void t.test('no log, metric or error contains a key, credential or peer secret', async t => {
  const testbed = await createTestbed({
    entryHosts: 2,
    zones: ['a', 'b'],
    runners: 2,
    env: { BULRUSH_LOG_LEVEL: 'debug', BULRUSH_PEER_SECRET: peerSecret },
  })
  t.teardown(() => testbed.close())
  const { keys, operator } = testbed.sample
  const key = keys.lamps ?? ''
  const unknownKey = key.replace(/.$/, end => (end === 'A' ? 'B' : 'A'))
  const unknownOperator = createOperator(
    testbed.entries[0]?.operators ?? '',
    `${operator.credential}x`,
  )

  t.equal((await testbed.send(0, 'lamps')).status, 200)
  const errorResponses: unknown[] = [
    await testbed.send(0, 'lamps', { key: unknownKey }),
    await testbed.send(0, 'mills', { key }),
    await testbed.send(0, 'lamps', { key: `${key} ${key}` }),
    await testbed.send(0, 'nothing', { key, queue: key }),
    await testbed.send(0, 'lamps', { key, path: `/work?key=${key}&ms=1`, headers: { te: key } }),
    await testbed.send(0, 'lamps', { key: unknownKey, path: `/work/${key}?secret=${key}` }),
    await unknownOperator.get('status'),
    await testbed.operator().post('keys/grant', { id: 'x', team: 'none', digest: key }),
    await testbed.operator().post(`zones/${key}/out`),
    await testbed.operator().get(`explain/team/${key}`),
  ]
  for (const runner of testbed.runners) runner.switchFaults({ cut: true })
  errorResponses.push(
    await testbed.send(0, 'lamps'),
    await testbed.send(1, 'lamps', { method: 'POST' }),
  )

  const outputs: string[] = testbed.entries.map(({ program }) => program.log())
  for (const { operators } of testbed.entries) {
    outputs.push(await (await fetch(`http://${operators}/metrics`)).text())
  }
  t.match(outputs.join('\n'), /request failed/, 'the failures are logged')
  const secrets = [...Object.values(keys), unknownKey, operator.credential].map(
    text => text.split('_').slice(2).join('_'), // the secret part after the id
  )
  for (const secret of [...secrets, peerSecret]) {
    t.notOk(
      outputs.some(text => text.includes(secret)),
      'no secret in logs and metrics',
    )
  }
  const responseText = JSON.stringify(errorResponses)
  for (const secret of [...secrets, peerSecret])
    t.notOk(responseText.includes(secret), 'no secret in responses')
})

void t.test('an entry host refuses a peer whose certificate another authority issued', async t => {
  const loopback = createLoopback()
  const host = loopback.nextAddress()
  const table = await createTableStandin({ host })
  const objects = await createObjectStandin({ host })
  const [ownAuthority, otherAuthority] = [createAuthority(), createAuthority()]
  const dir = t.testdir()
  const writeFiles = (name: string, issued: { cert: string; key: string; ca: string }) => {
    mkdirSync(join(dir, name))
    const paths = { cert: '', key: '', ca: '' }
    for (const part of ['cert', 'key', 'ca'] as const) {
      paths[part] = join(dir, name, part)
      writeFileSync(paths[part], issued[part])
    }
    return paths
  }
  const own = writeFiles('own', { ...ownAuthority.issue(host), ca: ownAuthority.ca })
  const settings = {
    member: 'e1',
    zone: 'a',
    host,
    'caller-port': '0',
    'operator-port': '0',
    'peer-port': '0',
    'table-url': table.url,
    'object-url': objects.url,
    'peer-cert': own.cert,
    'peer-key': own.key,
    'peer-ca': own.ca,
  }
  const args = Object.entries(settings).flatMap(([name, value]) => [`--${name}`, value])
  const entry = await launch('bulrush-entry', args, { BULRUSH_PEER_SECRET: peerSecret })
  t.teardown(async () => {
    entry.kill('SIGKILL')
    await Promise.all([entry.waitForExit(), table.close(), objects.close()])
  })
  const exchangeAs = async (name: string, issued: { cert: string; key: string; ca: string }) => {
    const tls = createPeerTls({ files: writeFiles(name, issued), onError: () => undefined })
    const links = createPeerLinks({ secret: peerSecret, tls })
    const peer = { id: 'e1', peerAddress: entry.readyOutput.peers ?? '' }
    const call = links.to(peer).calls.exchange({ report: { member: 'e2' } }, { timeoutMs: 3_000 })
    const isAnswered = await call.then(
      () => true,
      () => false,
    )
    links.close()
    tls.close()
    return isAnswered
  }
  t.equal(
    await exchangeAs('stranger', { ...otherAuthority.issue(host), ca: ownAuthority.ca }),
    false,
  )
  t.equal(await exchangeAs('member', { ...ownAuthority.issue(host), ca: ownAuthority.ca }), true)
})
