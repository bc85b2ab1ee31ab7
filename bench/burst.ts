import { createLoopback, createTestbed, type Testbed } from '@bulrushbridge/testbed'
import { startRoleProcess } from './child.js'
import type { Figure, MeasurementOptions } from './figure.js'
import { runLoad, type StreamResult } from './load.js'

/** Offered load of the burst: five times a mean load of half the capacity. */
const burstRequestsPerSecond = 1_600

/** Concurrent requests that keep the pool full while its capacity is measured. */
const fillConcurrency = 96

const runnerCount = 8
const slots = 8
const workMs = 100
const deadlineMs = 1_000

/** Factor by which the slow runner takes longer for a request. */
const slowFactor = 10

/** Lower bound of the goodput, in percent of the pool's capacity. */
const targetGoodputPercent = 95

/**
 * Measures goodput and latency in a burst of open-loop load, once with equal runners and once with
 * one of the eight runners slow. The entry hosts are compared with relays without queues that
 * choose runners at random or by round robin.
 */
export async function measureBurst({ seed, quick }: MeasurementOptions): Promise<Figure[]> {
  const measuredMs = quick ? 2_000 : 5_000
  const bed = await createTestbed({ entryHosts: 3, runners: runnerCount, slots, workMs, seed })
  const host = createLoopback(process.pid + 1).nextAddress()
  const addresses = bed.runners.map(({ address }) => address)
  const relays = (['random', 'round-robin'] as const).map(policy =>
    startRoleProcess('relay', { host, targets: addresses, policy, slots }),
  )
  try {
    const [random, roundRobin] = (await Promise.all(
      relays.map(relay => relay.readNextLine()),
    )) as string[]
    const targets = {
      entry: bed.entries.map(({ callers }) => callers),
      random: [random ?? ''],
      'round-robin': [roundRobin ?? ''],
    }
    const figures: Figure[] = []
    for (const isOneSlow of [false, true]) {
      bed.runners[0]?.switchFaults({ slowFactor: isOneSlow ? slowFactor : 1 })
      const capacityPerSecond = await measureCapacity(bed, measuredMs)
      for (const [policy, targetAddresses] of Object.entries(targets)) {
        const result = await runBurst(bed, targetAddresses, measuredMs)
        const name = `burst/${isOneSlow ? 'one-slow' : 'equal'}/${policy}`
        figures.push(...toFigures(name, result, capacityPerSecond, policy === 'entry'))
      }
    }
    return figures
  } finally {
    await Promise.all(relays.map(relay => relay.killAndWait()))
    await bed.close()
  }
}

/** Measures the requests per second that the pool completes when each runner is loaded directly. */
async function measureCapacity(bed: Testbed, measuredMs: number): Promise<number> {
  const streams = bed.runners.map(({ address }) => ({
    targets: [address],
    path: '/work',
    headers: { 'bulrush-request-id': 'direct', 'bulrush-team': 'direct' },
    concurrency: fillConcurrency / runnerCount,
    // Long enough for the slow runner to finish its requests.
    deadlineMs: 20_000,
  }))
  const results = await runLoad({ streams, warmUpMs: 1_000, measuredMs })
  return results.reduce((sum, { ok, seconds }) => sum + ok / seconds, 0)
}

/** Sends the burst to the targets in turn. */
async function runBurst(bed: Testbed, targets: string[], measuredMs: number) {
  const stream = {
    targets,
    path: '/queues/lamps/call/work',
    headers: { authorization: `Bearer ${bed.sample.keys.lamps ?? ''}` },
    perSecond: burstRequestsPerSecond,
    deadlineMs,
  }
  const [result] = await runLoad({ streams: [stream], warmUpMs: 2_000, measuredMs })
  if (result === undefined) throw new Error('load generator returned no result for the burst')
  return result
}

function toFigures(
  name: string,
  result: StreamResult,
  capacityPerSecond: number,
  hasTarget: boolean,
): Figure[] {
  const goodputPercent = (result.ok / result.seconds / capacityPerSecond) * 100
  return [
    {
      name: `${name}/goodput`,
      unit: '%',
      value: goodputPercent,
      ...(hasTarget ? { target: targetGoodputPercent } : {}),
    },
    { name: `${name}/p99`, unit: 'ms', value: result.p99 },
    {
      name: `${name}/late`,
      unit: 'requests',
      value: result.late,
      ...(hasTarget ? { target: 0 } : {}),
    },
    { name: `${name}/failed`, unit: 'requests', value: result.failed },
  ]
}
