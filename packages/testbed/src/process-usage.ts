import { readdirSync, readFileSync } from 'node:fs'

/**
 * Reads the highest resident memory that a process has had, in megabytes.
 *
 * @throws Error when the process has ended.
 * @example
 * peakResidentMb(child.pid) // 146
 */
export function peakResidentMb(pid: number): number {
  const match = /^VmHWM:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Math.round(Number(match?.[1]) / 1_024)
}

/**
 * Counts the descriptors that a process has open.
 *
 * @throws Error when the process has ended.
 * @example
 * countDescriptors(child.pid) // 31
 */
export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length
}
