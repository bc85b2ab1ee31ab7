import { createMemoryRunner, createMemoryStore, type MemoryRunner } from '@bulrushbridge/standins'
import type { RunnerApi, StartOrder } from '@bulrushbridge/scheduler'
import { createLogger } from '@bulrushbridge/telemetry'
import type { Test } from 'tap'
import {
  createRelayedRunners,
  createRelayServer,
  relaysTable,
  type RelayAnnouncement,
} from '../src/index.js'

/** Number of runners from which calls are relayed. */
export const largeFleet = 100

const log = createLogger({ program: 'test', level: 'silent' })

export const startOrder = (task: string, fence = 1): StartOrder => ({
  task,
  run: 1,
  payload: '',
  checkpoint: '',
  ticket: undefined,
  fence,
  leaseDeadline: 10_000,
})

export const pollRequest = {
  fence: 1,
  acknowledged: 0,
  leaseDeadline: undefined,
  waitMs: 0,
}

/** A dispatcher's host and relays, with runners in memory. */
export function createNetwork(t: Test) {
  const store = createMemoryStore()
  const runners = new Map<string, MemoryRunner>()
  /** Calls to runners by the host that made them, `relay` or `dispatcher`. */
  const callers: string[] = []
  const runner = (id: string): MemoryRunner => {
    const found = runners.get(id) ?? createMemoryRunner()
    runners.set(id, found)
    return found
  }
  const createClient =
    (caller: string) =>
    ({ runnerId }: { runnerId: string }): RunnerApi => {
      const api = runner(runnerId).api()
      const noted =
        <A, R>(call: (arg: A) => R) =>
        (arg: A): R => {
          callers.push(caller)
          return call(arg)
        }
      return {
        start: noted(order => api.start(order)),
        stop: noted(order => api.stop(order)),
        pace: noted(order => api.pace(order)),
        poll: noted(order => api.poll(order)),
        close: () => Promise.resolve(),
      }
    }
  const announce = ({ address, instance }: Pick<RelayAnnouncement, 'address' | 'instance'>) =>
    store.commit({
      checks: [],
      writes: [
        {
          table: relaysTable,
          key: 'front-2',
          value: { zone: 'a', startsPerSecond: 100, address, instance },
        },
      ],
    })
  const startRelay = async () => {
    const relay = await createRelayServer({
      host: '127.0.0.1',
      port: 0,
      createRunner: createClient('relay'),
      log,
    })
    t.teardown(() => relay.close())
    return relay
  }
  const connect = (count = largeFleet) => {
    const pool = createRelayedRunners({
      store,
      host: 'front-1',
      startsPerSecond: 10 * largeFleet,
      createRunner: createClient('dispatcher'),
      log,
    })
    t.teardown(() => pool.close())
    return Array.from({ length: count }, (_, index) =>
      pool.createRunner({ address: '127.0.0.1:1', runnerId: `r${index}`, zone: 'a' }),
    )
  }
  return { store, runner, callers, announce, startRelay, connect }
}

/** Polls a runner until a relay has made the call. */
export async function untilRelayed(api: RunnerApi, callers: readonly string[]): Promise<void> {
  const deadline = performance.now() + 5_000
  while (performance.now() < deadline) {
    await api.poll(pollRequest)
    if (callers.at(-1) === 'relay') return
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  throw new Error('no call was relayed')
}
