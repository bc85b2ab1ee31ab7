import { createTestbed, type TestEntry } from '@bulrushbridge/testbed'
import type { Figure, MeasurementOptions } from './figure.js'
import { runLoad } from './load.js'
import { readProcessStats } from './process-stats.js'

/** Upper bound of the resident memory of an idle entry host. */
const targetMemoryMegabytes = 128

/** Upper bound of the CPU time of an idle entry host, in percent of one core. */
const targetCpuPercent = 2.6

/** Upper bound of the peer traffic of an entry host. */
const targetPeerKilobytesPerSecond = 4

/** Number of entry hosts of the fleet; production fleets have 8 to 9. */
const fullFleetEntryHosts = 9

/** Rate of requests at the entry host that is measured under load. */
const loadedRequestsPerSecond = 200

/** Pause after the start of the fleet until the work of the start has ended, in milliseconds. */
const startupPauseMs = 5_000

/** Rate of requests at each entry host while the peer traffic of a working fleet is measured. */
const workingRequestsPerSecond = 20

/**
 * Measures memory, CPU time and peer traffic of an entry host in a fleet of nine, or three in a
 * quick run, while it is idle and under load.
 *
 * CPU time is the user and system time of all threads of the process, including compilation and
 * garbage collection. When other programs share the machine it is an upper estimate, because they
 * displace data from the caches; the figure `load-average-before` of the run shows the load. Idle
 * figures are means over the fleet. Peer traffic counts the payload of the TCP connections at both
 * of their ends.
 */
export async function measureNodeOverhead({ quick }: MeasurementOptions): Promise<Figure[]> {
  return measureFleetOverhead(quick ? 3 : fullFleetEntryHosts, quick ? 3_000 : 15_000)
}

/**
 * Measures the figures of {@link measureNodeOverhead} in a fleet of `entryHosts`, with `measuredMs`
 * for each of the three loads.
 *
 * @example
 * const figures = await measureFleetOverhead(9, 15_000)
 */
export async function measureFleetOverhead(
  entryHosts: number,
  measuredMs: number,
): Promise<Figure[]> {
  const bed = await createTestbed({ entryHosts, runners: 6 })
  try {
    await pause(startupPauseMs)
    const before = await readFleetStats(bed.entries)
    await pause(measuredMs)
    const after = await readFleetStats(bed.entries)
    const seconds = (after.readAt - before.readAt) / 1_000
    const cpuPercent = (after.cpuMs - before.cpuMs) / entryHosts / seconds / 10
    // The server of a connection counts each byte once. It costs both ends, hence the factor 2.
    const peerBytes = (2 * (after.peerBytes - before.peerBytes)) / entryHosts / seconds
    const stream = {
      path: '/queues/lamps/call/work',
      headers: { authorization: `Bearer ${bed.sample.keys.lamps ?? ''}` },
      deadlineMs: 1_000,
    }
    const peerBytesBefore = await readTotalPeerBytes(bed.entries)
    const workingStartedAt = performance.now()
    const targets = bed.entries.map(({ callers }) => callers)
    const perSecond = workingRequestsPerSecond * entryHosts
    await runLoad({ streams: [{ ...stream, targets, perSecond }], warmUpMs: 0, measuredMs })
    const workingSeconds = (performance.now() - workingStartedAt) / 1_000
    const workingBytes = (await readTotalPeerBytes(bed.entries)) - peerBytesBefore
    const [firstEntry] = bed.entries
    const pid = firstEntry?.program.process.pid ?? 0
    const loadedBefore = readProcessStats(pid)
    await runLoad({
      streams: [
        { ...stream, targets: [firstEntry?.callers ?? ''], perSecond: loadedRequestsPerSecond },
      ],
      warmUpMs: 0,
      measuredMs,
    })
    const loadedAfter = readProcessStats(pid)
    return [
      {
        name: 'node/idle-memory',
        unit: 'MB',
        value: after.megabytes,
        target: targetMemoryMegabytes,
      },
      { name: 'node/idle-cpu', unit: '%', value: cpuPercent, target: targetCpuPercent },
      {
        name: 'node/idle-peer-traffic',
        unit: 'KB/s',
        value: peerBytes / 1_000,
        target: targetPeerKilobytesPerSecond,
      },
      {
        name: 'node/working-peer-traffic',
        unit: 'KB/s',
        value: (2 * workingBytes) / entryHosts / workingSeconds / 1_000,
        target: targetPeerKilobytesPerSecond,
      },
      { name: 'node/loaded-memory', unit: 'MB', value: loadedAfter.residentBytes / 1e6 },
      {
        name: 'node/loaded-cpu',
        unit: '%',
        value: (loadedAfter.cpuMs - loadedBefore.cpuMs) / (measuredMs / 100),
      },
    ].map(figure => ({ ...figure, name: `${figure.name}/${entryHosts}-entry-hosts` }))
  } finally {
    await bed.close()
  }
}

/** Reads the sums of CPU time and peer bytes, and the mean memory, of all entry hosts. */
async function readFleetStats(entries: TestEntry[]) {
  const readAt = performance.now()
  const stats = entries.map(({ program }) => readProcessStats(program.process.pid ?? 0))
  const peerBytes = await readTotalPeerBytes(entries)
  return {
    readAt,
    cpuMs: sum(stats.map(({ cpuMs }) => cpuMs)),
    megabytes: sum(stats.map(({ residentBytes }) => residentBytes)) / stats.length / 1e6,
    peerBytes,
  }
}

/** Reads the sum of the peer bytes that the entry hosts have counted. */
async function readTotalPeerBytes(entries: TestEntry[]): Promise<number> {
  return sum(await Promise.all(entries.map(readPeerBytes)))
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Reads the peer bytes that an entry host has counted from its metrics. */
async function readPeerBytes({ operators }: TestEntry): Promise<number> {
  const res = await fetch(`http://${operators}/metrics`)
  const match = /^bulrush_peer_bytes (\S+)$/m.exec(await res.text())
  if (match === null) throw new Error(`the metrics of ${operators} lack bulrush_peer_bytes`)
  return Number(match[1])
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
