import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc; Linux reports 100 to user space on every machine. */
const ticksPerSecond = 100

/** CPU time and memory that the kernel accounts to a process. */
export interface ProcessStats {
  /** User and system time of all threads since the process started, in milliseconds. */
  cpuMs: number
  residentBytes: number
}

/**
 * Reads the CPU time and the resident memory of a process from /proc.
 *
 * @throws Error with the code ENOENT when the process does not exist.
 *
 * @example
 * const before = readProcessStats(child.pid)
 */
export function readProcessStats(pid: number): ProcessStats {
  // The process name in parentheses may contain spaces, so the fields are counted after it.
  // Fields 11 and 12 are then the user and the system time.
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const ticks = Number(fields[11]) + Number(fields[12])
  const residentMatch = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return {
    cpuMs: (ticks * 1_000) / ticksPerSecond,
    residentBytes: Number(residentMatch?.[1]) * 1_024,
  }
}
