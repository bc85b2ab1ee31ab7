import { createTestbed } from '@bulrushbridge/testbed'
import type { Figure, MeasureOptions } from './figure.js'
import { runLoad, type Stream } from './load.js'
import { followRunners } from './running-total.js'

/** Largest error of a team's part of the slots, in percent of its share. */
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

/** Upper limit of the team `flood` in the run that counts the overshoot. */
const floodLimit = 5

/** Share of each team in a full pool, and overshoot of an upper limit, at three entry hosts. */
export async function measureFleetShare({ seed, quick }: MeasureOptions): Promise<Figure[]> {
  const measuredMs = quick ? 3_000 : 10_000
  const shares = await runFleet(seed, measuredMs, 1_000)
  const total = [...shares.slotMs.values()].reduce((sum, ms) => sum + ms, 0)
  const shareSum = teams.reduce((sum, { share }) => sum + share, 0)
  const limited = await runFleet(seed, measuredMs, floodLimit)
  return [
    ...teams.map(({ name, share }): Figure => {
      const part = (shares.slotMs.get(name) ?? 0) / total
      const value = (part / (share / shareSum) - 1) * 100
      return { name: `fleet/share-error/${name}`, unit: '%', value, target: targetErrorPercent }
    }),
    { name: 'fleet/pool-use', unit: '%', value: (total / (shares.slots * measuredMs)) * 100 },
    { name: 'fleet/late', unit: 'requests', value: shares.late, target: 0 },
    { name: 'fleet/refused', unit: 'requests', value: shares.refused },
    { name: 'fleet/failed', unit: 'requests', value: shares.failed },
    ...teams.map(({ name }, i): Figure => ({
      name: `fleet/median/${name}`,
      unit: 'ms',
      value: shares.results[i]?.median ?? 0,
    })),
    {
      name: 'fleet/limit-overshoot',
      unit: 'requests',
      value: Math.max(0, limited.mostFlood - floodLimit),
      target: 0,
    },
    { name: 'fleet/limit-most-running', unit: 'requests', value: limited.mostFlood },
  ]
}

async function runFleet(seed: number, measuredMs: number, limit: number) {
  const bed = await createTestbed({
    entryHosts: 3,
    runners,
    slots: slotsPerRunner,
    seed,
    teams: teams.map(({ name, share }) => ({
      name,
      share,
      limit: name === 'flood' ? limit : 1_000,
    })),
  })
  try {
    const total = followRunners(bed.runners)
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
          total.reset()
        },
        end: () => (slotMs = total.slotMs()),
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
      mostFlood: total.most('flood'),
    }
  } finally {
    await bed.close()
  }
}
