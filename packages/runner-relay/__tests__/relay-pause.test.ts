import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { waitUntil } from '@bulrushbridge/standins'
import t, { type Test } from 'tap'
import { connect, startCall } from './relay-client.js'

/** A runner that notes the paths of the requests it receives. */
async function startRunner(t: Test) {
  const paths: string[] = []
  const server = createServer((req, res) => {
    paths.push(req.url ?? '')
    res.end()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return { paths, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

async function startRelayProcess(t: Test) {
  const child = fork(fileURLToPath(new URL('relay-process.ts', import.meta.url)), ['serve'])
  t.teardown(async () => {
    if (child.exitCode !== null || child.signalCode !== null) return
    child.kill('SIGKILL')
    await once(child, 'exit')
  })
  const [address] = (await once(child, 'message')) as [string]
  return { child, address }
}

/** Ways to stop the process, which differ in where its event loop goes on. */
const stops: Record<string, (child: ChildProcess) => Promise<void> | void> = {
  'from outside': child => {
    child.kill('SIGSTOP')
  },
  // The event loop goes on with its sockets and runs overdue timers after them.
  'in a timer': child => {
    child.send('stop')
    return waitUntil(() => readFileSync(`/proc/${child.pid}/stat`, 'utf8').includes(') T '))
  },
}

// Guards against a stopped process that reads its sockets before its timers run, and so carries out
// the outdated calls. A blocked event loop does not show it, as timers run first after that.
for (const [how, stop] of Object.entries(stops))
  void t.test(`calls that arrive while the process is stopped ${how} are not made`, async t => {
    const runner = await startRunner(t)
    const relay = await startRelayProcess(t)
    const rounds = Array.from({ length: 5 }, (_, round) => round)
    for (const round of rounds) {
      const dispatcher = await connect(t, relay)
      const start = (id: number, task: string) => {
        dispatcher.write(startCall(id, task, 1, 'r1', runner.address))
      }
      start(1, `before-${round}`)
      await waitUntil(() => dispatcher.result(1) !== undefined)
      await stop(relay.child)
      for (let id = 2; id < 6; id++) start(id, `stopped-${round}-${id}`)
      await sleep(1_500)
      relay.child.kill('SIGCONT')
      await waitUntil(() => dispatcher.isClosed())
    }
    t.strictSame(
      runner.paths,
      rounds.map(round => `/before-${round}`),
    )
  })
