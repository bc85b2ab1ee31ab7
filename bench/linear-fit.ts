import type { Figure } from './figure.js'

/** Quantity that was measured at one size of the system. */
export interface Point {
  /** Number of objects, such as teams or runners. */
  size: number
  value: number
}

/**
 * Fits a line through points by least squares. Returns the points, the slope, the offset and the
 * residual, which is the root mean square of the deviations in percent of the mean value.
 *
 * @example
 * const figures = fitLine('allocate/teams', 'ms', 'team', points)
 */
export function fitLine(name: string, unit: string, sizeUnit: string, points: Point[]): Figure[] {
  const computeMean = (values: number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length
  const meanSize = computeMean(points.map(({ size }) => size))
  const meanValue = computeMean(points.map(({ value }) => value))
  const covariance = computeMean(
    points.map(point => (point.size - meanSize) * (point.value - meanValue)),
  )
  const slope = covariance / computeMean(points.map(({ size }) => (size - meanSize) ** 2))
  const offset = meanValue - slope * meanSize
  const squaredDeviations = points.map(({ size, value }) => (value - offset - slope * size) ** 2)
  return [
    ...points.map(({ size, value }) => ({ name: `${name}/${size}`, unit, value })),
    { name: `${name}/slope`, unit: `${unit}/${sizeUnit}`, value: slope },
    { name: `${name}/offset`, unit, value: offset },
    {
      name: `${name}/residual`,
      unit: '%',
      value: (Math.sqrt(computeMean(squaredDeviations)) / meanValue) * 100,
    },
  ]
}
