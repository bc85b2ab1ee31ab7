/** One measured quantity. The bench program adds the seed and the run when it prints it. */
export interface Figure {
  name: string
  unit: string
  value: number
  /** Same quantity of the system that the value is compared with, measured in the same run. */
  baseline?: number
  /** Upper bound of the value; for rates and goodput the lower bound. */
  target?: number
}

/** Options of every measurement. */
export interface MeasurementOptions {
  /** Seed of the random choices. */
  seed: number
  /**
   * Whether runs are shorter and fewer. This shows that a measurement works; its figures are not
   * meaningful.
   */
  quick: boolean
}

/** A named group of figures that are measured together. */
export interface Measurement {
  name: string
  /**
   * Whether the figures belong to docs/CAPACITY.md. The measurement then runs only with
   * `--capacity`, or when `--only` names it.
   */
  isForCapacityPage?: boolean
  run(opts: MeasurementOptions): Promise<Figure[]> | Figure[]
}
