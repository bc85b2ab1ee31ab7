/** Amounts of resources, of a runner, a task or an organisation. */
export interface Amounts {
  /** Thousandths of a core. */
  cpuMillis: number
  /** Mebibytes. */
  memoryMb: number
  accelerators: number
}

/** Zero of every resource; copy it before passing it as the sum of {@link addAmounts}. */
export const noAmounts: Readonly<Amounts> = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Adds `times` multiples of `other` to `sum` in place; a negative `times` subtracts them. */
export function addAmounts(sum: Amounts, other: Amounts, times = 1): void {
  sum.cpuMillis += other.cpuMillis * times
  sum.memoryMb += other.memoryMb * times
  sum.accelerators += other.accelerators * times
}

/**
 * Returns how many times `each` fits into `free`.
 *
 * @example
 * countFitting({ cpuMillis: 4_000, memoryMb: 900, accelerators: 0 }, taskAmounts)
 */
export function countFitting(free: Amounts, each: Amounts): number {
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

/** Returns the largest fraction of any resource of `total` that `used` takes. */
export function largestFraction(used: Amounts, total: Amounts): number {
  return Math.max(
    fraction(used.cpuMillis, total.cpuMillis),
    fraction(used.memoryMb, total.memoryMb),
    fraction(used.accelerators, total.accelerators),
  )
}

function ratio(free: number, each: number): number {
  return each <= 0 ? Number.POSITIVE_INFINITY : free / each
}

function fraction(used: number, total: number): number {
  return total <= 0 ? 0 : used / total
}
