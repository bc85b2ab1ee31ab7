/** Watches the growth of the heap from now on, in bytes. */
export function watchHeap(): { stop: () => number } {
  const before = process.memoryUsage().heapUsed
  let peak = before
  const sample = () => (peak = Math.max(peak, process.memoryUsage().heapUsed))
  const timer = setInterval(sample, 1)
  return {
    stop: () => {
      clearInterval(timer)
      return sample() - before
    },
  }
}

/**
 * Processor time that the process uses until an action and what it causes are over, in milliseconds;
 * other processes of the machine do not count.
 */
export async function measureCpuMs(act: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage()
  await act()
  return process.cpuUsage(before).user / 1_000
}
