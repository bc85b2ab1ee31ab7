/** Amounts of a runner's resources: thousandths of a core, mebibytes and accelerators. */
export interface Amounts {
  cpuMillis: number
  memoryMb: number
  accelerators: number
}

export const noAmounts: Readonly<Amounts> = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Adds `other`, `times` times over, to `sum` in place; a negative `times` takes it away. */
export function addAmounts(sum: Amounts, other: Amounts, times = 1): void {
  sum.cpuMillis += other.cpuMillis * times
  sum.memoryMb += other.memoryMb * times
  sum.accelerators += other.accelerators * times
}

/**
 * How many times `each` fits into `free`.
 *
 * @example
 * timesFitting({ cpuMillis: 4_000, memoryMb: 900, accelerators: 0 }, taskAmounts)
 */
export function timesFitting(free: Amounts, each: Amounts): number {
  return Math.max(
    0,
    Math.floor(
      Math.min(
        ratio(free.cpuMillis, each.cpuMillis),
        ratio(free.memoryMb, each.memoryMb),
        ratio(free.accelerators, each.accelerators),
      ),
    ),
  )
}

/** The largest fraction that `used` takes of any resource of `whole`. */
export function largestFraction(used: Amounts, whole: Amounts): number {
  return Math.max(
    fraction(used.cpuMillis, whole.cpuMillis),
    fraction(used.memoryMb, whole.memoryMb),
    fraction(used.accelerators, whole.accelerators),
  )
}

function ratio(free: number, each: number): number {
  return each <= 0 ? Number.POSITIVE_INFINITY : free / each
}

function fraction(used: number, whole: number): number {
  return whole <= 0 ? 0 : used / whole
}
