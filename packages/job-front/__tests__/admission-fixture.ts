import type { JobQueue, LoadView, Organisation, Step } from '@bulrushbridge/scheduler'

export const queue: JobQueue = {
  name: 'quick',
  hostName: '127.0.0.1',
  pathPrefix: '/quick/',
  pool: 'pool',
  priority: 0,
  maxAttempts: 1,
  stretch: 1.6,
  targetLatencyMs: 600,
  isAnonymousAllowed: true,
  advice: undefined,
}

/** With this step the objective is 2,200 ms, and a job must start within 5,600 ms. */
export const step: Step = {
  count: 1,
  amounts: { cpuMillis: 1_000, memoryMb: 1, accelerators: 0 },
  estimateMs: 1_000,
}

export const organisation = (name: string, weight: number, limitMillis = 0): Organisation => ({
  name,
  keys: [name],
  weight,
  limit: { cpuMillis: limitMillis, memoryMb: 0, accelerators: 0 },
})

/** Load of one pool of 100 cores and one queue; each organisation is [name, on time, late, running]. */
export function loadView(
  organisations: readonly [string, number, number, number][],
  changes: Partial<LoadView> = {},
): LoadView {
  const total = (index: 1 | 2 | 3) => organisations.reduce((sum, each) => sum + each[index], 0)
  return {
    format: 1,
    term: 7,
    number: 1,
    at: 0,
    storeAt: null,
    hosts: 1,
    accepted: organisations.map(([name]) => [name, 1_000]),
    queues: [
      {
        name: queue.name,
        pool: queue.pool,
        priority: 0,
        onTimeCoreMs: total(1),
        lateCoreMs: total(2),
        drainCores: 100,
        runTimesMs: [100, 10_000],
        organisations: organisations.map(([name, onTime, late]) => [name, onTime, late]),
      },
    ],
    pools: [
      {
        name: queue.pool,
        cores: 100,
        expectedCores: 100,
        busyCores: total(3),
        running: organisations.map(([name, , , cores]) => [name, cores]),
      },
    ],
    ...changes,
  }
}
