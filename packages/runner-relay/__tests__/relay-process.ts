import { request } from 'node:http'
import type { CallResult, RunnerApi, RunnerOrderAnswer } from '@bulrushbridge/scheduler'
import { createLogger } from '@bulrushbridge/telemetry'
import { createRelayServer } from '../src/index.js'

/** Sends each start order to `address` as a request whose path is the task. */
function createRunner({ address }: { address: string }): RunnerApi {
  const [host, port] = address.split(':')
  const unsupported = () => Promise.reject(new Error('only starts are supported'))
  return {
    start: ({ task }) =>
      new Promise<CallResult<RunnerOrderAnswer>>((resolve, reject) => {
        const req = request({ host, port, path: `/${task}`, method: 'POST' }, res => {
          res.resume()
          resolve({ outcome: 'done', value: { refusal: undefined, clockMs: undefined } })
        })
        req.on('error', reject)
        req.end()
      }),
    stop: unsupported,
    pace: unsupported,
    poll: unsupported,
    close: () => Promise.resolve(),
  }
}

async function serve(): Promise<void> {
  const relay = await createRelayServer({
    host: '127.0.0.1',
    port: 0,
    createRunner,
    log: createLogger({ program: 'test', level: 'silent' }),
  })
  process.send?.(relay.address)
  // Asks this process to stop in a timer.
  process.on('message', () => {
    setTimeout(() => process.kill(process.pid, 'SIGSTOP'), 1)
  })
  process.once('disconnect', () => process.exit())
}

// The test runner also loads this file, without the argument.
if (process.argv[2] === 'serve') await serve()
