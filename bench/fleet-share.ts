import { createTestbed } from '@bulrushbridge/testbed'
import type { Figure, MeasurementOptions } from './figure.js'
import { runLoad, type Stream } from './load.js'
import { trackRunnerUsage } from './running-total.js'

/** Upper bound of the error of a team's slot time, in percent of its share. */
const targetErrorPercent = 2

const runners = 6
const slotsPerRunner = 8
const deadlineMs = 3_000

/** Every team offers more than its share; `flood` offers many times its share. */
const teams = [
  { name: 'large', share: 8, workMs: 40, concurrency: 64 },
  { name: 'long', share: 4, workMs: 150, concurrency: 48 },
  { name: 'short', share: 2, workMs: 20, concurrency: 24 },
  { name: 'flood', share: 1, workMs: 60, concurrency: 160 },
  { name: 'small', share: 1, workMs: 50, concurrency: 12 },
]

/** Upper limit of running requests of the team `flood` in the run that measures the overshoot. */
const floodLimit = 5

/**
 * Measures the share of each team in a full pool, and in a second run by how much a team exceeds
 * its upper limit. Three entry hosts receive the load.
 */
export async function measureFleetShare({ seed, quick }: MeasurementOptions): Promise<Figure[]> {
  const measuredMs = quick ? 3_000 : 10_000
  const unlimitedRun = await runFleet(seed, measuredMs, 1_000)
  const totalSlotMs = [...unlimitedRun.slotMs.values()].reduce((sum, ms) => sum + ms, 0)
  const shareSum = teams.reduce((sum, { share }) => sum + share, 0)
  const limitedRun = await runFleet(seed, measuredMs, floodLimit)
  return [
    ...teams.map(({ name, share }): Figure => {
      const fraction = (unlimitedRun.slotMs.get(name) ?? 0) / totalSlotMs
      const value = (fraction / (share / shareSum) - 1) * 100
      return { name: `fleet/share-error/${name}`, unit: '%', value, target: targetErrorPercent }
    }),
    {
      name: 'fleet/pool-use',
      unit: '%',
      value: (totalSlotMs / (unlimitedRun.slots * measuredMs)) * 100,
    },
    { name: 'fleet/late', unit: 'requests', value: unlimitedRun.late, target: 0 },
    { name: 'fleet/refused', unit: 'requests', value: unlimitedRun.refused },
    { name: 'fleet/failed', unit: 'requests', value: unlimitedRun.failed },
    ...teams.map(({ name }, i): Figure => ({
      name: `fleet/median/${name}`,
      unit: 'ms',
      value: unlimitedRun.results[i]?.median ?? 0,
    })),
    {
      name: 'fleet/limit-overshoot',
      unit: 'requests',
      value: Math.max(0, limitedRun.maxFloodRunning - floodLimit),
      target: 0,
    },
    { name: 'fleet/limit-most-running', unit: 'requests', value: limitedRun.maxFloodRunning },
  ]
}

/** Runs the load of all teams on a testbed in which `flood` has the given limit. */
async function runFleet(seed: number, measuredMs: number, floodTeamLimit: number) {
  const bed = await createTestbed({
    entryHosts: 3,
    runners,
    slots: slotsPerRunner,
    seed,
    teams: teams.map(({ name, share }) => ({
      name,
      share,
      limit: name === 'flood' ? floodTeamLimit : 1_000,
    })),
  })
  try {
    const usage = trackRunnerUsage(bed.runners)
    const streams = teams.map(({ name, workMs, concurrency }): Stream => ({
      targets: bed.entries.map(({ callers }) => callers),
      path: `/queues/${name}/call/work?ms=${workMs}`,
      headers: { authorization: `Bearer ${bed.sample.keys[name] ?? ''}` },
      concurrency,
      deadlineMs,
    }))
    let slotMs = new Map<string, number>()
    const results = await runLoad(
      { streams, warmUpMs: 4_000, measuredMs },
      {
        measure: () => {
          usage.reset()
        },
        end: () => (slotMs = usage.slotMs()),
      },
    )
    const sum = (key: 'late' | 'refused' | 'failed') =>
      results.reduce((total, result) => total + result[key], 0)
    return {
      slotMs,
      results,
      late: sum('late'),
      refused: sum('refused'),
      failed: sum('failed'),
      slots: runners * slotsPerRunner,
      maxFloodRunning: usage.maxRunning('flood'),
    }
  } finally {
    await bed.close()
  }
}
