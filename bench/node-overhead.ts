import { createTestbed, type TestEntry } from '@bulrushbridge/testbed'
import type { Figure, MeasureOptions } from './figure.js'
import { runLoad } from './load.js'
import { readProcessStats } from './process-stats.js'

const targetMegabytes = 128
const targetCpuPercent = 2.6
const targetKilobytesPerSecond = 4

/** Entry hosts of the idle fleet; the users have 8 to 9. */
const fleetSize = 9

/** Rate of the loaded entry host. */
const loadedPerSecond = 200

/** Pause until the work of the start has ended, in milliseconds. */
const settleMs = 5_000

/** Rate at each entry host while the peer traffic of a working fleet is measured. */
const workingPerSecond = 20

/**
 * Memory, processor time and peer traffic of an idle entry host in a fleet of nine, and of a loaded
 * one. Processor time is user and system time of all threads of the process, with compilation and
 * garbage collection. When other programs share the machine it is an upper estimate, because they
 * displace caches; the first figure of the run has the load average. Idle figures are means over the
 * fleet. Peer traffic counts the payload of the TCP connections at both of their ends.
 */
export async function measureNodeOverhead({ quick }: MeasureOptions): Promise<Figure[]> {
  return measureFleet(quick ? 3 : fleetSize, quick ? 3_000 : 15_000)
}

/**
 * Measures a fleet of `entryHosts`.
 *
 * @example
 * const figures = await measureFleet(9, 15_000)
 */
export async function measureFleet(entryHosts: number, measuredMs: number): Promise<Figure[]> {
  const bed = await createTestbed({ entryHosts, runners: 6 })
  try {
    await pause(settleMs)
    const before = await readFleet(bed.entries)
    await pause(measuredMs)
    const after = await readFleet(bed.entries)
    const seconds = (after.at - before.at) / 1_000
    const cpuPercent = (after.cpuMs - before.cpuMs) / entryHosts / seconds / 10
    // Each byte is counted once, at the serving end, and costs both ends.
    const peerBytes = (2 * (after.peerBytes - before.peerBytes)) / entryHosts / seconds
    const stream = {
      path: '/queues/lamps/call/work',
      headers: { authorization: `Bearer ${bed.sample.keys.lamps ?? ''}` },
      deadlineMs: 1_000,
    }
    const peerBytesBefore = await readPeerBytesOf(bed.entries)
    const workingAt = performance.now()
    const targets = bed.entries.map(({ callers }) => callers)
    const perSecond = workingPerSecond * entryHosts
    await runLoad({ streams: [{ ...stream, targets, perSecond }], warmUpMs: 0, measuredMs })
    const workingSeconds = (performance.now() - workingAt) / 1_000
    const workingBytes = (await readPeerBytesOf(bed.entries)) - peerBytesBefore
    const [first] = bed.entries
    const pid = first?.program.process.pid ?? 0
    const loadedBefore = readProcessStats(pid)
    await runLoad({
      streams: [{ ...stream, targets: [first?.callers ?? ''], perSecond: loadedPerSecond }],
      warmUpMs: 0,
      measuredMs,
    })
    const loaded = readProcessStats(pid)
    return [
      { name: 'node/idle-memory', unit: 'MB', value: after.megabytes, target: targetMegabytes },
      { name: 'node/idle-cpu', unit: '%', value: cpuPercent, target: targetCpuPercent },
      {
        name: 'node/idle-peer-traffic',
        unit: 'KB/s',
        value: peerBytes / 1_000,
        target: targetKilobytesPerSecond,
      },
      {
        name: 'node/working-peer-traffic',
        unit: 'KB/s',
        value: (2 * workingBytes) / entryHosts / workingSeconds / 1_000,
        target: targetKilobytesPerSecond,
      },
      { name: 'node/loaded-memory', unit: 'MB', value: loaded.residentBytes / 1e6 },
      {
        name: 'node/loaded-cpu',
        unit: '%',
        value: (loaded.cpuMs - loadedBefore.cpuMs) / (measuredMs / 100),
      },
    ].map(figure => ({ ...figure, name: `${figure.name}/${entryHosts}-entry-hosts` }))
  } finally {
    await bed.close()
  }
}

async function readFleet(entries: TestEntry[]) {
  const at = performance.now()
  const stats = entries.map(({ program }) => readProcessStats(program.process.pid ?? 0))
  const peerBytes = await readPeerBytesOf(entries)
  return {
    at,
    cpuMs: sum(stats.map(({ cpuMs }) => cpuMs)),
    megabytes: sum(stats.map(({ residentBytes }) => residentBytes)) / stats.length / 1e6,
    peerBytes,
  }
}

async function readPeerBytesOf(entries: TestEntry[]): Promise<number> {
  return sum(await Promise.all(entries.map(readPeerBytes)))
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

async function readPeerBytes({ operators }: TestEntry): Promise<number> {
  const res = await fetch(`http://${operators}/metrics`)
  const found = /^bulrush_peer_bytes (\S+)$/m.exec(await res.text())
  if (found === null) throw new Error('the metric bulrush_peer_bytes is missing')
  return Number(found[1])
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
