import { createLoopback, createTestbed, until } from '@bulrushbridge/testbed'
import { stringify } from 'yaml'
import { startRoleProcess } from './child.js'
import type { Figure, MeasurementOptions } from './figure.js'
import { runLoad, type Stream } from './load.js'
import { readProcessStats } from './process-stats.js'

/** Number of requests in progress at any time in the closed loop. */
const concurrency = 32

/** Rate of the open loop in requests per second, low enough that no queue forms at any target. */
const openLoopRequestsPerSecond = 500

/** Upper bound of an entry host's CPU time per request, as a multiple of the relay's. */
const targetCpuRatio = 1.5

/** Slots of the only runner; more than the concurrency, so that no request waits in a queue. */
const slots = 64

/** Number of characters at the end of the entry host's log that the error of a failed run shows. */
const logTailLength = 1_000

/** Deadline of each request; a later response fails the measurement. */
const deadlineMs = 5_000

/** Result of one round at one target; latencies in milliseconds. */
interface Sample {
  median: number
  p99: number
  p999: number
  /** Successful requests per second in the closed loop. */
  perSecond: number
  /** CPU time of the target's process per request, in microseconds. */
  cpuUs: number
}

/**
 * Measures what one hop through an entry host costs, compared with a minimal relay (the `floor`)
 * and with direct calls, all to the same runner. CPU time and throughput come from a closed loop,
 * latencies from an open loop. The figures are medians of the rounds.
 *
 * @throws Error with the end of the entry host's log, when a request fails, is refused or is late.
 */
export async function measureHopCost({ quick }: MeasurementOptions): Promise<Figure[]> {
  const host = createLoopback(process.pid + 1).nextAddress()
  const runner = startRoleProcess('runner', { host })
  const runnerAddress = (await runner.readNextLine()) as string
  const relay = startRoleProcess('relay', {
    host,
    targets: [runnerAddress],
    policy: 'random',
    slots,
  })
  const relayAddress = (await relay.readNextLine()) as string
  const bed = await createTestbed({ entryHosts: 1, runners: 3, slots })
  try {
    const { sample } = bed
    const [service] = sample.data.services as Record<string, unknown>[]
    const runners = [{ id: 'plain', host: 'host-plain', zone: 'a', address: runnerAddress }]
    const availability = { minServing: 0.5, zoneFailures: 0 }
    const data = { ...sample.data, services: [{ ...service, runners, slots, availability }] }
    const promotion = await bed.operator().promote(stringify(data))
    if (promotion.status !== 200)
      throw new Error(
        `the promotion of the configuration failed: ${JSON.stringify(promotion.body)}`,
      )
    // The shares of a new configuration take effect with the next update.
    await until(async () => (await bed.send(0, 'lamps', { path: '/x' })).body.startsWith('xxx'))
    const [entry] = bed.entries
    const entryPid = entry?.program.process.pid ?? 0
    const headers = { authorization: `Bearer ${sample.keys.lamps ?? ''}` }
    const queuePath = '/queues/lamps/call/work'
    const targets = {
      direct: { pid: runner.pid, address: runnerAddress, path: '/work' },
      floor: { pid: relay.pid, address: relayAddress, path: queuePath },
      entry: { pid: entryPid, address: entry?.callers ?? '', path: queuePath },
    }
    const samples: Record<keyof typeof targets, Sample[]> = { direct: [], floor: [], entry: [] }
    for (let round = 0; round < (quick ? 1 : 4); round++) {
      for (const [name, { pid, address, path }] of Object.entries(targets)) {
        const stream = { targets: [address], path, headers, deadlineMs }
        const targetSample = await sampleTarget(pid, stream, quick ? 1_000 : 1_500)
        samples[name as keyof typeof targets].push(targetSample)
      }
    }
    return toFigures(samples)
  } catch (err) {
    const log = bed.entries[0]?.program.log().slice(-logTailLength)
    throw new Error(
      `the measurement of the hop failed; end of the entry host's log: ${log ?? ''}`,
      { cause: err },
    )
  } finally {
    await bed.close()
    await relay.killAndWait()
    await runner.killAndWait()
  }
}

/** Measures one target for one round in a closed and then in an open loop. */
async function sampleTarget(pid: number, stream: Stream, measuredMs: number): Promise<Sample> {
  let [cpuBefore, cpuAfter] = [0, 0]
  const [closedLoop] = await runLoad(
    { streams: [{ ...stream, concurrency }], warmUpMs: measuredMs / 3, measuredMs },
    {
      measure: () => (cpuBefore = readProcessStats(pid).cpuMs),
      end: () => (cpuAfter = readProcessStats(pid).cpuMs),
    },
  )
  const [openLoop] = await runLoad({
    streams: [{ ...stream, perSecond: openLoopRequestsPerSecond }],
    warmUpMs: measuredMs / 3,
    measuredMs,
  })
  if (closedLoop === undefined || openLoop === undefined)
    throw new Error('the load generator returned no result')
  const failed = closedLoop.failed + openLoop.failed
  const refused = closedLoop.refused + openLoop.refused + closedLoop.late + openLoop.late
  // A refusal costs less CPU time than a served request, so refusals would make a hop look cheaper.
  if (failed + refused > 0) {
    throw new Error(
      `${stream.targets.join()}: ${failed} requests failed, ${refused} were refused or late`,
    )
  }
  const { median, p99, p999 } = openLoop
  const cpuUs = ((cpuAfter - cpuBefore) * 1_000) / closedLoop.ok
  return { median, p99, p999, perSecond: closedLoop.ok / closedLoop.seconds, cpuUs }
}

function toFigures(samples: Record<'direct' | 'floor' | 'entry', Sample[]>): Figure[] {
  const computeMedianOf = (targetSamples: Sample[], key: keyof Sample) =>
    computeMedian(targetSamples.map(sample => sample[key]))
  const { direct, floor, entry } = samples
  const createLatencyFigure = (key: 'median' | 'p99' | 'p999'): Figure => ({
    name: `hop/added-latency-${key}`,
    unit: 'ms',
    value: computeMedianOf(entry, key) - computeMedianOf(direct, key),
    baseline: computeMedianOf(floor, key) - computeMedianOf(direct, key),
  })
  // Each ratio compares samples of the same round, so that other load on the machine affects both.
  const ratios = entry.map((sample, i) => sample.cpuUs / (floor[i]?.cpuUs ?? 0))
  return [
    createLatencyFigure('median'),
    createLatencyFigure('p99'),
    createLatencyFigure('p999'),
    {
      name: 'hop/cpu-per-request',
      unit: 'us',
      value: computeMedianOf(entry, 'cpuUs'),
      baseline: computeMedianOf(floor, 'cpuUs'),
    },
    { name: 'hop/cpu-ratio', unit: 'floor', value: computeMedian(ratios), target: targetCpuRatio },
    { name: 'hop/cpu-ratio-lowest', unit: 'floor', value: Math.min(...ratios) },
    { name: 'hop/cpu-ratio-highest', unit: 'floor', value: Math.max(...ratios) },
    {
      name: 'hop/requests-per-core',
      unit: '1/s',
      value: 1e6 / computeMedianOf(entry, 'cpuUs'),
      baseline: 1e6 / computeMedianOf(floor, 'cpuUs'),
    },
    {
      name: 'hop/requests-per-second',
      unit: '1/s',
      value: computeMedianOf(entry, 'perSecond'),
      baseline: computeMedianOf(floor, 'perSecond'),
    },
  ]
}

/** Computes the median: the middle value, or the lower of the two for an even count. 0 if empty. */
export function computeMedian(values: number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 0
}
