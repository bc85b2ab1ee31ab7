import { createLoopback, createTestbed, type Testbed } from '@bulrushbridge/testbed'
import { startChild } from './child.js'
import type { Figure, MeasureOptions } from './figure.js'
import { runLoad, type StreamResult } from './load.js'

/** Offered load of the burst in requests a second: five times a mean of half the capacity. */
const burstPerSecond = 1_600

/** Requests in progress that fill the pool when its capacity is measured. */
const fillConcurrency = 96

const runnerCount = 8
const slots = 8
const workMs = 100
const deadlineMs = 1_000

/** How much longer the slow runner works. */
const slowFactor = 10

/** Lowest goodput in percent of what the pool can do. */
const targetGoodputPercent = 95

/**
 * Goodput and latency in a burst, with all runners equal and with one of eight slow, against
 * random choice and round robin without queues. The load is open-loop.
 */
export async function measureBurst({ seed, quick }: MeasureOptions): Promise<Figure[]> {
  const measuredMs = quick ? 2_000 : 5_000
  const bed = await createTestbed({ entryHosts: 3, runners: runnerCount, slots, workMs, seed })
  const host = createLoopback(process.pid + 1).next()
  const addresses = bed.runners.map(({ address }) => address)
  const relays = (['random', 'round-robin'] as const).map(policy =>
    startChild('relay', { host, targets: addresses, policy, slots }),
  )
  try {
    const [random, roundRobin] = (await Promise.all(relays.map(each => each.next()))) as string[]
    const targets = {
      entry: bed.entries.map(({ callers }) => callers),
      random: [random ?? ''],
      'round-robin': [roundRobin ?? ''],
    }
    const figures: Figure[] = []
    for (const slow of [false, true]) {
      bed.runners[0]?.switchFaults({ slowFactor: slow ? slowFactor : 1 })
      const capacity = await measureCapacity(bed, measuredMs)
      for (const [policy, addressesOf] of Object.entries(targets)) {
        const result = await runBurst(bed, addressesOf, measuredMs)
        const name = `burst/${slow ? 'one-slow' : 'equal'}/${policy}`
        figures.push(...toFigures(name, result, capacity, policy === 'entry'))
      }
    }
    return figures
  } finally {
    await Promise.all(relays.map(each => each.end()))
    await bed.close()
  }
}

/** Requests a second that the pool completes when each runner is kept full directly. */
async function measureCapacity(bed: Testbed, measuredMs: number): Promise<number> {
  const streams = bed.runners.map(({ address }) => ({
    targets: [address],
    path: '/work',
    headers: { 'bulrush-request-id': 'direct', 'bulrush-team': 'direct' },
    concurrency: fillConcurrency / runnerCount,
    // Long enough that the slow runner finishes its work.
    deadlineMs: 20_000,
  }))
  const results = await runLoad({ streams, warmUpMs: 1_000, measuredMs })
  return results.reduce((sum, { ok, seconds }) => sum + ok / seconds, 0)
}

async function runBurst(bed: Testbed, targets: string[], measuredMs: number) {
  const stream = {
    targets,
    path: '/queues/lamps/call/work',
    headers: { authorization: `Bearer ${bed.sample.keys.lamps ?? ''}` },
    perSecond: burstPerSecond,
    deadlineMs,
  }
  const [result] = await runLoad({ streams: [stream], warmUpMs: 2_000, measuredMs })
  if (result === undefined) throw new Error('the load gave no result')
  return result
}

function toFigures(
  name: string,
  result: StreamResult,
  capacity: number,
  hasTarget: boolean,
): Figure[] {
  const goodput = (result.ok / result.seconds / capacity) * 100
  return [
    {
      name: `${name}/goodput`,
      unit: '%',
      value: goodput,
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
