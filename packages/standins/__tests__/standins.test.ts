import t from 'tap'
import { createHostListStandin, createTableStandin } from '../src/index.js'

const post = (url: string, path: string, body: unknown) =>
  fetch(url + path, { method: 'POST', body: JSON.stringify(body) })

const put = (token: string, key = 'k') => ({
  token,
  checks: [],
  writes: [{ table: 'a', key, value: 1 }],
})

void t.test('a token reported as unknown never takes effect later', async t => {
  const standin = await createTableStandin()
  t.teardown(() => standin.close())
  t.equal((await fetch(`${standin.url}/tokens/late`)).status, 404)
  t.equal((await post(standin.url, '/transactions', put('late'))).status, 410)
  t.equal((await fetch(`${standin.url}/tables/a/k`)).status, 404)
})

void t.test('a lost answer leaves its effect and its token behind', async t => {
  const standin = await createTableStandin()
  t.teardown(() => standin.close())
  await post(standin.url, '/faults', { loseAnswers: { next: 1 } })
  await t.rejects(post(standin.url, '/transactions', put('one')))
  const result = await fetch(`${standin.url}/tokens/one`)
  t.same(await result.json(), { committed: true })
  t.equal((await post(standin.url, '/faults', { typo: true })).status, 400)
  t.equal((await post(standin.url, '/faults', { down: 'no' })).status, 400)
})

void t.test('a limited stand-in delays the excess instead of refusing it', async t => {
  const standin = await createTableStandin()
  t.teardown(() => standin.close())
  standin.faults.maxWritesPerSecond = 100
  const from = performance.now()
  await Promise.all(
    [0, 1, 2, 3, 4, 5].map(n => post(standin.url, '/transactions', put(`t${n}`, `k${n}`))),
  )
  t.ok(performance.now() - from >= 45, 'the sixth write waits for five intervals')
  t.equal(standin.counters().writes, 6)
})

void t.test('the host list lags behind its changes', async t => {
  const standin = await createHostListStandin({ lagMs: 3_600_000 })
  t.teardown(() => standin.close())
  standin.set([{ id: 'h', address: '127.0.0.2', zone: 'a', rack: 'r', state: 'live' }])
  t.same(await (await fetch(`${standin.url}/hosts`)).json(), { hosts: [] })
})
