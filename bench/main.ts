/**
 * Runs the measurements and prints each figure as one JSON line.
 *
 * @example
 * npm run bench -- --quick --only hop
 */
import { binary, command, flag, number, option, optional, run, string } from 'cmd-ts'
import { loadavg } from 'node:os'
import type { Figure } from './figure.js'
import { measurements } from './measurements.js'
import { roles } from './roles.js'

/** Significant digits of the printed figures. */
const significantDigits = 5

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Number(value.toPrecision(significantDigits))
}

const bench = command({
  name: 'bench',
  description: 'Prints the measured figures as JSON lines.',
  args: {
    quick: flag({ long: 'quick', description: 'short runs that only show that all work' }),
    capacity: flag({ long: 'capacity', description: 'the slopes of docs/CAPACITY.md instead' }),
    only: option({ long: 'only', type: optional(string), description: 'name of a measurement' }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1, description: 'seed' }),
  },
  handler: async ({ quick, capacity, only, seed }) => {
    const chosen = measurements.filter(each =>
      only === undefined ? (each.capacity ?? false) === capacity : each.name === only,
    )
    if (chosen.length === 0) throw new RangeError(`there is no measurement ${only ?? ''}`)
    const runId = new Date().toISOString()
    for (const measurement of chosen) {
      const [load = 0] = loadavg()
      const figures: Figure[] = [
        { name: `${measurement.name}/load-average-before`, unit: 'processes', value: load },
        ...(await measurement.run({ seed, quick })),
      ]
      for (const { name, unit, value, baseline, target } of figures) {
        const line = { name, unit, seed, value: round(value), baseline: round(baseline), target }
        process.stdout.write(`${JSON.stringify({ ...line, run: runId })}\n`)
      }
    }
  },
})

const [, , first, role = '', opts = '{}'] = process.argv
if (first === 'role') await roles[role]?.(JSON.parse(opts) as never)
else await run(binary(bench), process.argv)
