import fc from 'fast-check'
import t from 'tap'
import type { RelayServer } from '../src/index.js'
import { createNetwork, pollRequest, startOrder, untilRelayed } from './fixture.js'

const steps = ['start', 'end', 'poll', 'replace-relay', 'lose-answers', 'answer-again'] as const

// Guards against answers that contradict what the runner did, in any order of starts, ends, lost
// answers, and relays that end with calls in progress and are replaced by another process.
void t.test('results are true whatever becomes of the relay', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.constantFrom(...steps), { minLength: 4, maxLength: 14 }),
      async list => {
        const network = createNetwork(t)
        let relay: RelayServer = await network.startRelay()
        await network.announce(relay)
        const [api] = network.connect()
        if (api === undefined) throw new Error('no runner')
        await untilRelayed(api, network.callers)
        const runner = network.runner('r0')
        const starts: { task: string; result: ReturnType<typeof api.start> }[] = []
        const polls: ReturnType<typeof api.poll>[] = []
        const apply = {
          start: () => {
            const task = `j.0.0.${starts.length}`
            starts.push({ task, result: api.start(startOrder(task)) })
          },
          end: () => {
            for (const task of runner.running.keys()) runner.end(task, 'done')
          },
          poll: () => {
            polls.push(api.poll(pollRequest))
          },
          'replace-relay': async () => {
            const closed = relay.close()
            relay = await network.startRelay()
            await Promise.all([closed, network.announce(relay)])
          },
          'lose-answers': () => {
            runner.fault = 'lose-after'
          },
          'answer-again': () => {
            runner.fault = 'none'
          },
        }
        for (const step of list) {
          await apply[step]()
          await new Promise(resolve => setImmediate(resolve))
        }
        await Promise.all(polls)
        for (const { task, result } of starts) {
          const { outcome } = await result
          const startCount = runner.startedRuns.filter(run => run.task === task).length
          t.ok(startCount <= 1, `${task} was started ${startCount} times`)
          if (outcome === 'done') t.equal(startCount, 1, `${task} is said to be started`)
          if (outcome === 'not-done') t.equal(startCount, 0, `${task} is said not to be started`)
        }
        await api.close()
        await relay.close()
      },
    ),
    { seed: 22, numRuns: 25 },
  )
})
