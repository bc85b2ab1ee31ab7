/**
 * Runs the measurements and prints each figure as one JSON line. With the arguments
 * `role NAME OPTIONS` it runs one part of a measurement instead; `startChild` starts it so.
 *
 * @example
 * npm run bench -- --quick --only hop
 */
import { binary, command, flag, number, option, optional, run, string } from 'cmd-ts'
import { loadavg } from 'node:os'
import type { Figure } from './figure.js'
import { measurements } from './measurements.js'
import { roles } from './roles.js'

/** Number of significant digits of the printed values. */
const significantDigits = 5

function roundFigure(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Number(value.toPrecision(significantDigits))
}

const benchCommand = command({
  name: 'bench',
  description: 'Measures this project and prints each figure as a JSON line.',
  args: {
    quick: flag({
      long: 'quick',
      description:
        'short runs, which show that the measurements work; the figures are not meaningful',
    }),
    capacity: flag({
      long: 'capacity',
      description: 'run the measurements of docs/CAPACITY.md instead of the others',
    }),
    only: option({
      long: 'only',
      type: optional(string),
      description: 'run only the measurement with this name',
    }),
    seed: option({
      long: 'seed',
      type: number,
      defaultValue: () => 1,
      description: 'seed of the random choices',
    }),
  },
  handler: async ({ quick, capacity, only, seed }) => {
    const selected = measurements.filter(measurement =>
      only === undefined
        ? (measurement.isForCapacityPage ?? false) === capacity
        : measurement.name === only,
    )
    if (selected.length === 0) throw new RangeError(`no measurement is named '${only ?? ''}'`)
    const runId = new Date().toISOString()
    for (const measurement of selected) {
      const [load = 0] = loadavg()
      const figures: Figure[] = [
        { name: `${measurement.name}/load-average-before`, unit: 'processes', value: load },
        ...(await measurement.run({ seed, quick })),
      ]
      for (const { name, unit, value, baseline, target } of figures) {
        const fields = {
          name,
          unit,
          seed,
          value: roundFigure(value),
          baseline: roundFigure(baseline),
          target,
        }
        process.stdout.write(`${JSON.stringify({ ...fields, run: runId })}\n`)
      }
    }
  },
})

const [, , subcommand, role = '', roleOptions = '{}'] = process.argv
if (subcommand === 'role') await roles[role]?.(JSON.parse(roleOptions) as never)
else await run(binary(benchCommand), process.argv)
