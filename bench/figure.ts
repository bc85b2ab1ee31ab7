/** One measured figure; the runner of the benchmarks adds seed and run. */
export interface Figure {
  name: string
  unit: string
  value: number
  /** The same quantity of the thing that it is compared with, from the same run. */
  baseline?: number
  /** Upper bound of the value, or lower bound for rates and goodput. */
  target?: number
}

/** Options of every measurement. */
export interface MeasureOptions {
  seed: number
  /** Shorter and fewer runs: shows that a measurement works, not what the figure is. */
  quick: boolean
}

/** A measurement; figures may come one by one. */
export interface Measurement {
  name: string
  /** Whether it belongs to the capacity page and runs only with `--capacity`. */
  capacity?: boolean
  run(opts: MeasureOptions): Promise<Figure[]> | Figure[]
}
