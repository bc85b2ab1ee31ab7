import type { Figure } from './figure.js'

/** One measured size and its quantity. */
export interface Point {
  size: number
  value: number
}

/**
 * Fits a line through points by least squares and reports it with its residual: the root mean
 * square of the deviations in percent of the mean value.
 *
 * @example
 * const figures = fitFigures('allocate/teams', 'ms', 'team', points)
 */
export function fitFigures(name: string, unit: string, per: string, points: Point[]): Figure[] {
  const mean = (values: number[]) => values.reduce((sum, each) => sum + each, 0) / values.length
  const meanSize = mean(points.map(({ size }) => size))
  const meanValue = mean(points.map(({ value }) => value))
  const covariance = mean(points.map(p => (p.size - meanSize) * (p.value - meanValue)))
  const slope = covariance / mean(points.map(({ size }) => (size - meanSize) ** 2))
  const offset = meanValue - slope * meanSize
  const squares = points.map(({ size, value }) => (value - offset - slope * size) ** 2)
  return [
    ...points.map(({ size, value }) => ({ name: `${name}/${size}`, unit, value })),
    { name: `${name}/slope`, unit: `${unit}/${per}`, value: slope },
    { name: `${name}/offset`, unit, value: offset },
    { name: `${name}/residual`, unit: '%', value: (Math.sqrt(mean(squares)) / meanValue) * 100 },
  ]
}
