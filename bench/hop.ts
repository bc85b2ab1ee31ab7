import { createLoopback, createTestbed, until } from '@bulrushbridge/testbed'
import { stringify } from 'yaml'
import { startChild } from './child.js'
import type { Figure, MeasureOptions } from './figure.js'
import { runLoad, type Stream } from './load.js'
import { readProcessStats } from './process-stats.js'

/** Requests in progress at once in the closed loop. */
const concurrency = 32

/** Rate of the open loop, low enough that no queue forms at any target. */
const openPerSecond = 500

/** Most CPU per request of an entry host in units of the floor's. */
const targetRatio = 1.5

/** Slots of the one runner, more than the concurrency so that nothing queues. */
const slots = 64

/** Bytes of the entry host's log that explain a failed measurement. */
const logTailBytes = 1_000

const deadlineMs = 5_000

/** One round of one target. */
interface Sample {
  median: number
  p99: number
  p999: number
  perSecond: number
  cpuUs: number
}

/**
 * Cost of one entry hop against a minimal relay and a direct call, all to the same runner. CPU and
 * throughput come from a closed loop, latencies from an open loop. Medians of the rounds.
 */
export async function measureHop({ quick }: MeasureOptions): Promise<Figure[]> {
  const host = createLoopback(process.pid + 1).next()
  const runner = startChild('runner', { host })
  const runnerAddress = (await runner.next()) as string
  const relay = startChild('relay', { host, targets: [runnerAddress], policy: 'random', slots })
  const relayAddress = (await relay.next()) as string
  const bed = await createTestbed({ entryHosts: 1, runners: 3, slots })
  try {
    const { sample } = bed
    const [service] = sample.data.services as Record<string, unknown>[]
    const runners = [{ id: 'plain', host: 'host-plain', zone: 'a', address: runnerAddress }]
    const availability = { minServing: 0.5, zoneFailures: 0 }
    const data = { ...sample.data, services: [{ ...service, runners, slots, availability }] }
    const promoted = await bed.operator().promote(stringify(data))
    if (promoted.status !== 200) throw new Error(JSON.stringify(promoted.body))
    // The shares of a new configuration take effect with the next update.
    await until(async () => (await bed.send(0, 'lamps', { path: '/x' })).body.startsWith('xxx'))
    const [entry] = bed.entries
    const entryPid = entry?.program.process.pid ?? 0
    const headers = { authorization: `Bearer ${sample.keys.lamps ?? ''}` }
    const viaHop = '/queues/lamps/call/work'
    const targets = {
      direct: { pid: runner.pid, address: runnerAddress, path: '/work' },
      floor: { pid: relay.pid, address: relayAddress, path: viaHop },
      entry: { pid: entryPid, address: entry?.callers ?? '', path: viaHop },
    }
    const samples: Record<keyof typeof targets, Sample[]> = { direct: [], floor: [], entry: [] }
    for (let round = 0; round < (quick ? 1 : 4); round++) {
      for (const [name, { pid, address, path }] of Object.entries(targets)) {
        const stream = { targets: [address], path, headers, deadlineMs }
        const sampled = await sampleTarget(pid, stream, quick ? 1_000 : 1_500)
        samples[name as keyof typeof targets].push(sampled)
      }
    }
    return toFigures(samples)
  } catch (err) {
    const log = bed.entries[0]?.program.log().slice(-logTailBytes)
    throw new Error(`the hop could not be measured: ${log ?? ''}`, { cause: err })
  } finally {
    await bed.close()
    await relay.end()
    await runner.end()
  }
}

async function sampleTarget(pid: number, stream: Stream, measuredMs: number): Promise<Sample> {
  let [cpuBefore, cpuAfter] = [0, 0]
  const [closed] = await runLoad(
    { streams: [{ ...stream, concurrency }], warmUpMs: measuredMs / 3, measuredMs },
    {
      measure: () => (cpuBefore = readProcessStats(pid).cpuMs),
      end: () => (cpuAfter = readProcessStats(pid).cpuMs),
    },
  )
  const [open] = await runLoad({
    streams: [{ ...stream, perSecond: openPerSecond }],
    warmUpMs: measuredMs / 3,
    measuredMs,
  })
  if (closed === undefined || open === undefined) throw new Error('the load gave no result')
  const failed = closed.failed + open.failed
  const refused = closed.refused + open.refused + closed.late + open.late
  // A refusal costs less than a request, so a sample with refusals would flatter the hop.
  if (failed + refused > 0) {
    throw new Error(`${stream.targets.join()}: ${failed} requests failed, ${refused} were refused`)
  }
  const { median, p99, p999 } = open
  const cpuUs = ((cpuAfter - cpuBefore) * 1_000) / closed.ok
  return { median, p99, p999, perSecond: closed.ok / closed.seconds, cpuUs }
}

function toFigures(samples: Record<'direct' | 'floor' | 'entry', Sample[]>): Figure[] {
  const pick = (of: Sample[], key: keyof Sample) => medianOf(of.map(sample => sample[key]))
  const { direct, floor, entry } = samples
  const added = (key: 'median' | 'p99' | 'p999'): Figure => ({
    name: `hop/added-latency-${key}`,
    unit: 'ms',
    value: pick(entry, key) - pick(direct, key),
    baseline: pick(floor, key) - pick(direct, key),
  })
  // Ratios are taken within a round, so that load on the machine affects both sides.
  const ratios = entry.map((each, i) => each.cpuUs / (floor[i]?.cpuUs ?? 0))
  return [
    added('median'),
    added('p99'),
    added('p999'),
    {
      name: 'hop/cpu-per-request',
      unit: 'us',
      value: pick(entry, 'cpuUs'),
      baseline: pick(floor, 'cpuUs'),
    },
    { name: 'hop/cpu-ratio', unit: 'floor', value: medianOf(ratios), target: targetRatio },
    { name: 'hop/cpu-ratio-lowest', unit: 'floor', value: Math.min(...ratios) },
    { name: 'hop/cpu-ratio-highest', unit: 'floor', value: Math.max(...ratios) },
    {
      name: 'hop/requests-per-core',
      unit: '1/s',
      value: 1e6 / pick(entry, 'cpuUs'),
      baseline: 1e6 / pick(floor, 'cpuUs'),
    },
    {
      name: 'hop/requests-per-second',
      unit: '1/s',
      value: pick(entry, 'perSecond'),
      baseline: pick(floor, 'perSecond'),
    },
  ]
}

/** The middle value; the lower of the two for an even count. */
export function medianOf(values: number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 0
}
