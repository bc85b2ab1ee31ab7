import type { RunnerApi } from '@bulrushbridge/scheduler'
import t from 'tap'
import { createRelayUsage, defaultRelayBounds } from '../src/relay-usage.js'
import { createRunnerClients } from '../src/runner-clients.js'

function setup(maxRunners: number) {
  const open = new Set<string>()
  const clients = createRunnerClients({
    usage: createRelayUsage({ ...defaultRelayBounds, maxRunners }),
    createRunner: ({ runnerId }) => {
      open.add(runnerId)
      const close = () => Promise.resolve(void open.delete(runnerId))
      return { close } as Partial<RunnerApi> as RunnerApi
    },
  })
  const call = (runnerId: string, make = () => Promise.resolve('done')) =>
    clients.call({ address: '10.0.0.1:80', runnerId }, make)
  return { clients, call, open }
}

// Guards against connections to runners that a client of the relay only names once.
void t.test('the client that has been unused for longest is closed for a new one', async t => {
  const { clients, call, open } = setup(2)
  for (const id of ['a', 'b', 'a', 'c']) t.equal(await call(id), 'done')
  t.same([...open], ['a', 'c'])
  clients.close()
  t.equal(open.size, 0)
})

// Guards against the end of a call for the sake of another one.
void t.test('a client with a call in progress is not closed', async t => {
  const { call, open } = setup(1)
  let finish: (value: string) => void = () => undefined
  const first = call('a', () => new Promise(resolve => (finish = resolve)))
  t.equal(await call('b'), undefined, 'the call is not made')
  t.same([...open], ['a'])
  finish('done')
  t.equal(await first, 'done')
  t.equal(await call('b'), 'done')
  t.same([...open], ['b'])
})

// Guards against places that ended connections keep.
void t.test('the runners of a closed connection are free for others', async t => {
  const usage = createRelayUsage({ ...defaultRelayBounds, maxRunners: 1 })
  const createRunner = () => ({ close: () => Promise.resolve() }) as Partial<RunnerApi> as RunnerApi
  const [first, second] = [1, 2].map(() => createRunnerClients({ usage, createRunner }))
  const runner = { address: '10.0.0.1:80', runnerId: 'a' }
  t.equal(await first?.call(runner, () => Promise.resolve('done')), 'done')
  t.equal(await second?.call(runner, () => Promise.resolve('done')), undefined)
  first?.close()
  t.equal(await second?.call(runner, () => Promise.resolve('done')), 'done')
})
