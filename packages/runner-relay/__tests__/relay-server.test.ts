import { waitUntil } from '@bulrushbridge/standins'
import t from 'tap'
import { createPauseDetector } from '../src/index.js'
import { createNetwork } from './fixture.js'
import { connect, startCall } from './relay-client.js'

// Guards against orders of a dispatcher that has been replaced. The runner cannot refuse them if it
// has restarted since, and so has seen no fencing token.
void t.test(
  'calls with a lower fencing token than another dispatcher used are refused',
  async t => {
    const network = createNetwork(t)
    const relay = await network.startRelay()
    const [older, newer] = [await connect(t, relay), await connect(t, relay)]
    newer.write(startCall(1, 'j.0.0.0', 8))
    await waitUntil(() => newer.result(1) !== undefined)
    network.runner('r1').restart()
    older.write(startCall(1, 'j.0.0.1', 7))
    await waitUntil(() => older.result(1) !== undefined)
    t.match(older.result(1), { result: { outcome: 'done', value: { refusal: 'fence' } } })
    t.strictSame(network.runner('r1').startedRuns, [{ task: 'j.0.0.0', run: 1 }])
  },
)

// Guards against refusing the calls to all runners after a restart of one, which raises the fencing
// token of the calls to that runner only.
void t.test('calls from before a restart of their runner are refused, others are made', async t => {
  const network = createNetwork(t)
  const relay = await network.startRelay()
  const dispatcher = await connect(t, relay)
  dispatcher.write(startCall(1, 'j.0.0.0', 1_025, 'r1'))
  dispatcher.write(startCall(2, 'j.0.0.1', 1_024, 'r1'))
  dispatcher.write(startCall(3, 'j.0.0.2', 1_024, 'r2'))
  await waitUntil(() => dispatcher.result(3) !== undefined)
  t.match(dispatcher.result(2), { result: { outcome: 'done', value: { refusal: 'fence' } } })
  t.strictSame(network.runner('r1').startedRuns, [{ task: 'j.0.0.0', run: 1 }])
  t.strictSame(network.runner('r2').startedRuns, [{ task: 'j.0.0.2', run: 1 }])
  dispatcher.write(startCall(4, 'j.0.0.3', 2_048, 'r1'))
  dispatcher.write(startCall(5, 'j.0.0.4', 1_030, 'r2'))
  await waitUntil(() => dispatcher.result(5) !== undefined)
  t.match(dispatcher.result(5), { result: { outcome: 'done', value: { refusal: 'fence' } } })
})

// Guards against a malformed message that takes down the process or the calls of others.
void t.test('a malformed call ends its connection and no other', async t => {
  const network = createNetwork(t)
  const relay = await network.startRelay()
  for (const line of [
    '{',
    '7',
    '{"id":1,"kind":"reboot"}',
    startCall(1, 'j', 1).replace('1', '"'),
  ]) {
    const broken = await connect(t, relay)
    const sound = await connect(t, relay)
    broken.write(line)
    await waitUntil(() => broken.isClosed())
    sound.write(startCall(3, 'j.0.0.0', 1))
    await waitUntil(() => sound.result(3) !== undefined)
    t.notOk(sound.isClosed())
  }
})

// Guards against a paused host that carries out outdated orders when it runs again.
void t.test('calls that arrived while the process was paused are not made', async t => {
  const network = createNetwork(t)
  const relay = await network.startRelay()
  const dispatcher = await connect(t, relay)
  dispatcher.write(startCall(1, 'j.0.0.0', 1))
  await waitUntil(() => dispatcher.result(1) !== undefined)
  dispatcher.write(startCall(2, 'j.0.0.1', 1))
  const resumeAt = performance.now() + 800
  while (performance.now() < resumeAt);
  await waitUntil(() => dispatcher.isClosed())
  t.strictSame(network.runner('r1').startedRuns, [{ task: 'j.0.0.0', run: 1 }])
})

void t.test('a pause shows on the steady clock, a suspended machine on the time of day', t => {
  let now = 0
  let wallNow = 50_000
  const detector = createPauseDetector({
    intervalMs: 200,
    toleranceMs: 400,
    now: () => now,
    wallNow: () => wallNow,
  })
  const elapse = (ms: number, wallMs: number) => {
    now += ms
    wallNow += wallMs
    return detector.check()
  }
  t.equal(elapse(200, 200), 0)
  t.equal(elapse(600, 600), 0)
  t.equal(elapse(3_000, 3_000), 2_800)
  t.equal(elapse(200, 5_200), 5_000)
  t.equal(elapse(200, 200), 0)
  now += 700
  t.equal(detector.peek(), 500)
  t.equal(detector.peek(), 500, 'peek starts no interval')
  t.equal(detector.check(), 500)
  t.equal(detector.peek(), 0)
  t.end()
})
