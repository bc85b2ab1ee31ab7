import { readFileSync } from 'node:fs'

/** Clock ticks of /proc in one second; fixed at 100 on Linux. */
const ticksPerSecond = 100

/** What the kernel accounts to a process. */
export interface ProcessStats {
  /** User and system time of all threads, in milliseconds. */
  cpuMs: number
  residentBytes: number
}

/**
 * Reads CPU time and resident memory of a process from /proc.
 *
 * @example
 * const before = readProcessStats(child.pid)
 */
export function readProcessStats(pid: number): ProcessStats {
  // The name in parentheses may hold spaces; fields are counted after it.
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const ticks = Number(fields[11]) + Number(fields[12])
  const resident = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return { cpuMs: (ticks * 1_000) / ticksPerSecond, residentBytes: Number(resident?.[1]) * 1_024 }
}
