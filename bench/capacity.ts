import { create, toBinary } from '@bufbuild/protobuf'
import {
  applyChangeRow,
  emptyConfiguration,
  type EnvironmentConfiguration,
} from '@bulrushbridge/contract'
import { createKeyring } from '@bulrushbridge/team-keys'
import { ReportSchema } from '@bulrushbridge/wire'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { measureAllocateCost } from './allocate-cost.js'
import type { Figure, MeasurementOptions } from './figure.js'
import { computeMedian } from './hop.js'
import { fitLine, type Point } from './linear-fit.js'
import { measureFleetOverhead } from './node-overhead.js'

/** Numbers of teams, and of keys, for which the figures are measured. */
const teamSizes = [105, 210, 420, 840]

/** Numbers of runners. */
const runnerSizes = [500, 1_000, 2_000, 4_000]

/** Numbers of entry hosts. */
const hostSizes = [3, 6, 9]

/** Number of timed runs of an operation, and of copies whose heap memory is measured. */
const repetitions = 15

/** Numbers of objects in a configuration. */
interface Sizes {
  teams: number
  runners: number
  keys: number
}

/** Sizes of the dimensions that do not vary in a fit. */
const smallSizes: Sizes = { teams: 10, runners: 10, keys: 10 }

/** Creates a configuration whose names are as long as those that operators choose. */
function createConfiguration({ teams, runners, keys }: Sizes): EnvironmentConfiguration {
  const createTeamName = (i: number) => `association-team-${i}`
  const createDigest = (i: number) => i.toString(16).padStart(64, '0')
  const createRecord = <T>(count: number, createEntry: (i: number) => [string, T]) =>
    Object.fromEntries(Array.from({ length: count }, (_, i) => createEntry(i)))
  const service = {
    name: 'finder',
    pool: 'finder',
    slots: 8,
    connections: 64,
    availability: { minServing: 0.5, zoneFailures: 1 },
    runners: Array.from({ length: runners }, (_, i) => ({
      id: `finder-runner-${i}`,
      host: `host-${i}`,
      zone: `zone-${i % 10}`,
      address: `10.${i >> 16}.${(i >> 8) & 255}.${i & 255}:8000`,
    })),
  }
  return {
    ...emptyConfiguration(),
    version: 1,
    zones: Array.from({ length: 10 }, (_, i) => `zone-${i}`),
    services: { finder: service },
    teams: createRecord(teams, i => [
      createTeamName(i),
      { name: createTeamName(i), organisation: 'members', share: 1 + (i % 9), limit: 40 },
    ]),
    keys: createRecord(keys, i => [
      `key-${i}`,
      { id: `key-${i}`, team: createTeamName(i % teams), digest: createDigest(i) },
    ]),
  }
}

/** Measures the median run time of an operation after one warm-up run, in milliseconds. */
function measureMs(operation: () => unknown): number {
  operation()
  const times = Array.from({ length: repetitions }, () => {
    const startedAt = performance.now()
    operation()
    return performance.now() - startedAt
  })
  return computeMedian(times)
}

/**
 * Runs the garbage collector. `npm run bench` starts node without `--expose-gc`, so the flag is set
 * at run time.
 */
function collectGarbage(): void {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc()')
}

/** Measures the heap bytes that one parsed copy of a JSON text takes, as a mean of many copies. */
function measureHeapBytes(text: string): number {
  const copies: unknown[] = []
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  for (let i = 0; i < repetitions; i++) copies.push(JSON.parse(text))
  collectGarbage()
  return (process.memoryUsage().heapUsed - before) / copies.length
}

/** Measures sizes and run times of configurations in which one dimension varies. */
function measureConfiguration(dimension: keyof Sizes, sizes: number[]): Figure[] {
  const configurations = sizes.map(size => ({
    size,
    cfg: createConfiguration({ ...smallSizes, [dimension]: size }),
  }))
  const measurePoints = (measure: (cfg: EnvironmentConfiguration) => number): Point[] =>
    configurations.map(({ size, cfg }) => ({ size, value: measure(cfg) }))
  const sizeUnit = dimension.slice(0, -1)
  const applyChange = (cfg: EnvironmentConfiguration) => {
    const change = { kind: 'zone-out', zone: 'zone-1' } as const
    return applyChangeRow(cfg, { version: 2, at: 0, by: 'ops', change } as never)
  }
  const measureFit = (
    name: string,
    unit: string,
    measure: (cfg: EnvironmentConfiguration) => number,
  ) => fitLine(`configuration/${dimension}/${name}`, unit, sizeUnit, measurePoints(measure))
  return [
    ...measureFit('snapshot', 'bytes', cfg => JSON.stringify(cfg).length),
    ...measureFit('heap', 'bytes', cfg => measureHeapBytes(JSON.stringify(cfg))),
    ...measureFit('apply', 'ms', cfg => measureMs(() => applyChange(cfg))),
    ...measureFit('keyring', 'ms', cfg => measureMs(() => createKeyring({ keys: cfg }))),
  ]
}

/** Computes the size of one report in bytes, without the headers of the transport. */
function computeReportBytes(teams: number, runners: number): number {
  const report = create(ReportSchema, {
    member: 'e1',
    incarnation: '0123456789ab',
    version: 100_000n,
    demand: Array.from({ length: teams }, (_, i) => ({
      pool: 'finder',
      team: `association-team-${i}`,
      running: 1 + (i % 5),
      waiting: i % 40,
    })),
    load: Array.from({ length: runners }, (_, i) => ({
      runner: `finder-runner-${i}`,
      inFlight: 1 + (i % 8),
    })),
  })
  return toBinary(ReportSchema, report).length
}

/** Measures a quantity at each size and fits a line through the results. */
function measureFitOverSizes(
  name: string,
  unit: string,
  sizeUnit: string,
  sizes: number[],
  measure: (size: number) => number,
): Figure[] {
  const points = sizes.map(size => ({ size, value: measure(size) }))
  return fitLine(name, unit, sizeUnit, points)
}

/** Measures how state, messages and CPU time grow with the size of the fleet. */
export async function measureCapacitySlopes({ quick }: MeasurementOptions): Promise<Figure[]> {
  const rounds = quick ? 20 : 100
  const figures = [
    ...measureConfiguration('teams', teamSizes),
    ...measureConfiguration('runners', runnerSizes),
    ...measureConfiguration('keys', teamSizes),
    ...measureFitOverSizes('exchange/teams', 'bytes', 'team', teamSizes, size =>
      computeReportBytes(size, 0),
    ),
    ...measureFitOverSizes('exchange/runners', 'bytes', 'runner', runnerSizes, size =>
      computeReportBytes(0, size),
    ),
    ...measureFitOverSizes('allocate/teams', 'ms', 'team', teamSizes, teams =>
      measureAllocateCost(rounds, { teams }),
    ),
    ...measureFitOverSizes('allocate/hosts', 'ms', 'host', hostSizes, hosts =>
      measureAllocateCost(rounds, { hosts }),
    ),
  ]
  const fleets: Figure[][] = []
  for (const size of hostSizes) fleets.push(await measureFleetOverhead(size, quick ? 3_000 : 8_000))
  for (const [name, unit] of [
    ['node/idle-peer-traffic', 'KB/s'],
    ['node/idle-cpu', '%'],
    ['node/idle-memory', 'MB'],
  ] as const) {
    const points = hostSizes.map((size, i) => ({
      size,
      value: fleets[i]?.find(figure => figure.name.startsWith(name))?.value ?? 0,
    }))
    figures.push(...fitLine(name, unit, 'host', points))
  }
  return figures
}
