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
import { measureAllocate } from './allocate-cost.js'
import type { Figure, MeasureOptions } from './figure.js'
import { medianOf } from './hop.js'
import { fitFigures, type Point } from './linear-fit.js'
import { measureFleet } from './node-overhead.js'

const teamSizes = [105, 210, 420, 840]
const runnerSizes = [500, 1_000, 2_000, 4_000]
const hostSizes = [3, 6, 9]

/** Repetitions of a timed step, of which the median counts. */
const repetitions = 15

interface Sizes {
  teams: number
  runners: number
  keys: number
}

const small: Sizes = { teams: 10, runners: 10, keys: 10 }

/** Names as long as an operator would choose them. */
function createConfiguration({ teams, runners, keys }: Sizes): EnvironmentConfiguration {
  const teamName = (i: number) => `association-team-${i}`
  const digest = (i: number) => i.toString(16).padStart(64, '0')
  const list = <T>(count: number, make: (i: number) => [string, T]) =>
    Object.fromEntries(Array.from({ length: count }, (_, i) => make(i)))
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
    teams: list(teams, i => [
      teamName(i),
      { name: teamName(i), organisation: 'members', share: 1 + (i % 9), limit: 40 },
    ]),
    keys: list(keys, i => [
      `key-${i}`,
      { id: `key-${i}`, team: teamName(i % teams), digest: digest(i) },
    ]),
  }
}

function timeMs(step: () => unknown): number {
  step()
  const times = Array.from({ length: repetitions }, () => {
    const begin = performance.now()
    step()
    return performance.now() - begin
  })
  return medianOf(times)
}

/** `npm run bench` starts node without `--expose-gc`, so the function is fetched at run time. */
function collectGarbage(): void {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc()')
}

/** Bytes of the heap that copies of a value take, per copy. */
function heapBytes(text: string): number {
  const copies: unknown[] = []
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  for (let i = 0; i < repetitions; i++) copies.push(JSON.parse(text))
  collectGarbage()
  return (process.memoryUsage().heapUsed - before) / copies.length
}

function measureConfiguration(dimension: keyof Sizes, sizes: number[]): Figure[] {
  const configurations = sizes.map(size => ({
    size,
    cfg: createConfiguration({ ...small, [dimension]: size }),
  }))
  const points = (measure: (cfg: EnvironmentConfiguration) => number): Point[] =>
    configurations.map(({ size, cfg }) => ({ size, value: measure(cfg) }))
  const per = dimension.slice(0, -1)
  const apply = (cfg: EnvironmentConfiguration) => {
    const change = { kind: 'zone-out', zone: 'zone-1' } as const
    return applyChangeRow(cfg, { version: 2, at: 0, by: 'ops', change } as never)
  }
  const fit = (name: string, unit: string, measure: (cfg: EnvironmentConfiguration) => number) =>
    fitFigures(`configuration/${dimension}/${name}`, unit, per, points(measure))
  return [
    ...fit('snapshot', 'bytes', cfg => JSON.stringify(cfg).length),
    ...fit('heap', 'bytes', cfg => heapBytes(JSON.stringify(cfg))),
    ...fit('apply', 'ms', cfg => timeMs(() => apply(cfg))),
    ...fit('keyring', 'ms', cfg => timeMs(() => createKeyring({ keys: cfg }))),
  ]
}

/** Bytes of one report without the transport's headers. */
function reportBytes(teams: number, runners: number): number {
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

function fitSizes(
  name: string,
  unit: string,
  per: string,
  sizes: number[],
  measure: (size: number) => number,
): Figure[] {
  const points = sizes.map(size => ({ size, value: measure(size) }))
  return fitFigures(name, unit, per, points)
}

/** Slopes of state, messages and processor time against the sizes of the fleet. */
export async function measureCapacity({ quick }: MeasureOptions): Promise<Figure[]> {
  const rounds = quick ? 20 : 100
  const figures = [
    ...measureConfiguration('teams', teamSizes),
    ...measureConfiguration('runners', runnerSizes),
    ...measureConfiguration('keys', teamSizes),
    ...fitSizes('exchange/teams', 'bytes', 'team', teamSizes, size => reportBytes(size, 0)),
    ...fitSizes('exchange/runners', 'bytes', 'runner', runnerSizes, size => reportBytes(0, size)),
    ...fitSizes('allocate/teams', 'ms', 'team', teamSizes, teams =>
      measureAllocate(rounds, { teams }),
    ),
    ...fitSizes('allocate/hosts', 'ms', 'host', hostSizes, hosts =>
      measureAllocate(rounds, { hosts }),
    ),
  ]
  const fleets: Figure[][] = []
  for (const size of hostSizes) fleets.push(await measureFleet(size, quick ? 3_000 : 8_000))
  for (const [name, unit] of [
    ['node/idle-peer-traffic', 'KB/s'],
    ['node/idle-cpu', '%'],
    ['node/idle-memory', 'MB'],
  ] as const) {
    const points = hostSizes.map((size, i) => ({
      size,
      value: fleets[i]?.find(figure => figure.name.startsWith(name))?.value ?? 0,
    }))
    figures.push(...fitFigures(name, unit, 'host', points))
  }
  return figures
}
