import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createPeerLinks, createPeerTls } from '@bulrushbridge/peer-link'
import { createObjectStandin, createTableStandin } from '@bulrushbridge/standins'
import t from 'tap'
import { createAuthority } from '../../peer-link/__tests__/certificates.js'
import { createLoopback, createOperator, createTestbed, launch } from '../src/index.js'

const peerSecret = 'peer-secret-that-must-not-show'

void t.test('keys, credentials and secrets show in no log, metric or error', async t => {
  const bed = await createTestbed({
    entryHosts: 2,
    zones: ['a', 'b'],
    runners: 2,
    env: { BULRUSH_LOG_LEVEL: 'debug', BULRUSH_PEER_SECRET: peerSecret },
  })
  t.teardown(() => bed.close())
  const { keys, operator } = bed.sample
  const key = keys.lamps ?? ''
  const unknownKey = key.replace(/.$/, end => (end === 'A' ? 'B' : 'A'))
  const stranger = createOperator(bed.entries[0]?.operators ?? '', `${operator.credential}x`)

  t.equal((await bed.send(0, 'lamps')).status, 200)
  const errors: unknown[] = [
    await bed.send(0, 'lamps', { key: unknownKey }),
    await bed.send(0, 'mills', { key }),
    await bed.send(0, 'lamps', { key: `${key} ${key}` }),
    await bed.send(0, 'nothing', { key, queue: key }),
    await bed.send(0, 'lamps', { key, path: `/work?key=${key}&ms=1`, headers: { te: key } }),
    await bed.send(0, 'lamps', { key: unknownKey, path: `/work/${key}?secret=${key}` }),
    await stranger.get('status'),
    await bed.operator().post('keys/grant', { id: 'x', team: 'none', digest: key }),
    await bed.operator().post(`zones/${key}/out`),
    await bed.operator().get(`explain/team/${key}`),
  ]
  for (const runner of bed.runners) runner.switchFaults({ cut: true })
  errors.push(await bed.send(0, 'lamps'), await bed.send(1, 'lamps', { method: 'POST' }))

  const seen: string[] = bed.entries.map(({ program }) => program.log())
  for (const { operators } of bed.entries) {
    seen.push(await (await fetch(`http://${operators}/metrics`)).text())
  }
  t.match(seen.join('\n'), /request failed/, 'the failures are logged')
  const secrets = [...Object.values(keys), unknownKey, operator.credential].map(
    text => text.split('_').slice(2).join('_'), // the part after the id
  )
  for (const secret of [...secrets, peerSecret]) {
    t.notOk(
      seen.some(text => text.includes(secret)),
      'logs and metrics',
    )
  }
  const answers = JSON.stringify(errors)
  for (const secret of [...secrets, peerSecret]) t.notOk(answers.includes(secret), 'answers')
})

void t.test('an entry host with certificates tells a stranger nothing', async t => {
  const loopback = createLoopback()
  const host = loopback.next()
  const table = await createTableStandin({ host })
  const objects = await createObjectStandin({ host })
  const [ours, theirs] = [createAuthority(), createAuthority()]
  const dir = t.testdir()
  const files = (name: string, issued: { cert: string; key: string; ca: string }) => {
    mkdirSync(join(dir, name))
    const paths = { cert: '', key: '', ca: '' }
    for (const part of ['cert', 'key', 'ca'] as const) {
      paths[part] = join(dir, name, part)
      writeFileSync(paths[part], issued[part])
    }
    return paths
  }
  const own = files('own', { ...ours.issue(host), ca: ours.ca })
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
    await Promise.all([entry.ended(), table.close(), objects.close()])
  })
  const exchangeAs = async (name: string, issued: { cert: string; key: string; ca: string }) => {
    const tls = createPeerTls({ files: files(name, issued), onError: () => undefined })
    const links = createPeerLinks({ secret: peerSecret, tls })
    const peer = { id: 'e1', peerAddress: entry.ready.peers ?? '' }
    const call = links.to(peer).calls.exchange({ report: { member: 'e2' } }, { timeoutMs: 3_000 })
    const isAnswered = await call.then(
      () => true,
      () => false,
    )
    links.close()
    tls.close()
    return isAnswered
  }
  t.equal(await exchangeAs('stranger', { ...theirs.issue(host), ca: ours.ca }), false)
  t.equal(await exchangeAs('member', { ...ours.issue(host), ca: ours.ca }), true)
})
