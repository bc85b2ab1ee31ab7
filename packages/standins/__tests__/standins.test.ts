import t from 'tap'
import { createHostListStandin, createManualClock, createTableStandin } from '../src/index.js'

const post = (url: string, path: string, body: unknown) =>
  fetch(url + path, { method: 'POST', body: JSON.stringify(body) })

const transaction = (token: string, key = 'k') => ({
  token,
  checks: [],
  writes: [{ table: 'a', key, value: 1 }],
})

void t.test('a transaction whose token was reported as unknown never takes effect', async t => {
  const standin = await createTableStandin()
  t.teardown(() => standin.close())
  t.equal((await fetch(`${standin.url}/tokens/late`)).status, 404)
  t.equal((await post(standin.url, '/transactions', transaction('late'))).status, 410)
  t.equal((await fetch(`${standin.url}/tables/a/k`)).status, 404)
})

void t.test(
  'a transaction whose response was lost takes effect and its token is known',
  async t => {
    const standin = await createTableStandin()
    t.teardown(() => standin.close())
    await post(standin.url, '/faults', { loseAnswers: { next: 1 } })
    await t.rejects(post(standin.url, '/transactions', transaction('one')))
    const result = await fetch(`${standin.url}/tokens/one`)
    t.same(await result.json(), { committed: true })
    t.equal((await post(standin.url, '/faults', { typo: true })).status, 400)
    t.equal((await post(standin.url, '/faults', { down: 'no' })).status, 400)
  },
)

void t.test('a stand-in with a rate limit delays excess requests and refuses none', async t => {
  const standin = await createTableStandin()
  t.teardown(() => standin.close())
  standin.faults.maxWritesPerSecond = 100
  const startedAt = performance.now()
  await Promise.all(
    [0, 1, 2, 3, 4, 5].map(n => post(standin.url, '/transactions', transaction(`t${n}`, `k${n}`))),
  )
  t.ok(performance.now() - startedAt >= 45, 'the sixth write waits for five intervals')
  t.equal(standin.counters().writes, 6)
})

void t.test('a generation is executed once, and a lower one is refused', async t => {
  const clock = createManualClock()
  const hosts = [{ id: 'h', address: '127.0.0.2:1', zone: 'a', rack: 'r', state: 'live' as const }]
  const executed: string[] = []
  const standin = await createHostListStandin({
    hosts,
    lagMs: 100,
    rebootMs: 1_000,
    now: () => clock.now(),
    onOrder: ({ action, generation }) => executed.push(`${action} ${generation}`),
  })
  t.teardown(() => standin.close())
  const order = async (action: string, generation: number) =>
    (await post(standin.url, `/hosts/h/${action}`, { generation })).status
  const listHosts = async () => {
    const res = await fetch(`${standin.url}/hosts`)
    const { hosts: all } = (await res.json()) as { hosts: { state: string; bootId: string }[] }
    return all.map(({ state, bootId }) => `${state} ${bootId}`)
  }
  t.same(
    [
      await order('drain', 2),
      await order('drain', 2),
      await order('open', 1),
      await order('boil', 3),
      await order('reboot', 0),
    ],
    [200, 200, 409, 404, 400],
  )
  t.same(executed, ['drain 2'])
  t.same(await listHosts(), ['live h-boot-0'], 'the drain is not visible before the lag')
  clock.advance(100)
  t.same(await listHosts(), ['leaving h-boot-0'])
  t.equal(await order('reboot', 3), 200)
  clock.advance(1_050)
  t.same(await listHosts(), [], 'the boot is not visible before the lag')
  clock.advance(50)
  t.same(await listHosts(), ['leaving h-boot-1'], 'a host returns in state leaving')
  t.same(
    [await order('reboot', 3), await order('open', 4), await order('reboot', 3)],
    [200, 200, 409],
  )
  clock.advance(100)
  t.same(await listHosts(), ['live h-boot-1'], 'a repeated reboot is not executed')
})

void t.test(
  'hosts that never return stay unlisted, and unhealthy hosts are listed as such',
  async t => {
    const host = { address: '127.0.0.2:1', zone: 'a', rack: 'r', state: 'live' as const }
    const standin = await createHostListStandin({
      hosts: [
        { id: 'lost', ...host },
        { id: 'sick', ...host },
      ],
    })
    t.teardown(() => standin.close())
    await post(standin.url, '/host-faults', { neverReturn: ['lost'], returnUnhealthy: ['sick'] })
    for (const id of ['lost', 'sick']) {
      await post(standin.url, `/hosts/${id}/reboot`, { generation: 1 })
    }
    const listHosts = async () => {
      const res = await fetch(`${standin.url}/hosts`)
      return ((await res.json()) as { hosts: unknown[] }).hosts
    }
    t.match(await listHosts(), [{ id: 'sick', healthy: false }])
    await post(standin.url, '/host-faults', { neverReturn: [] })
    t.match(await listHosts(), [{ id: 'lost', healthy: true }, { id: 'sick' }])
  },
)

void t.test('the host list shows a change only after the lag', async t => {
  const standin = await createHostListStandin({ lagMs: 3_600_000 })
  t.teardown(() => standin.close())
  standin.set([{ id: 'h', address: '127.0.0.2', zone: 'a', rack: 'r', state: 'live' }])
  t.same(await (await fetch(`${standin.url}/hosts`)).json(), { hosts: [] })
})
