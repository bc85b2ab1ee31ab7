import { createTestbed, type Testbed } from '@bulrushbridge/testbed'
import { stringify } from 'yaml'
import { startChild } from './child.js'
import type { Figure, MeasureOptions } from './figure.js'
import { followRunners } from './running-total.js'

/** Longest time to the last start that ignores a change, in milliseconds. */
const targetMs = 3_000

/** Time for which starts are watched after a change, in milliseconds. */
const watchMs = 4_000

const deadlineMs = 1_000

/** A change that operators make, and the starts that would ignore it. */
interface Action {
  name: string
  apply: (bed: Testbed) => Promise<{ status: number; body: unknown }>
  isIgnored: (bed: Testbed, team: string, runner: string) => boolean
}

const withdrawal: Action = {
  name: 'key-withdrawal',
  apply: bed => bed.operator().post('keys/withdraw', { id: 'mills-1' }),
  isIgnored: (_bed, team) => team === 'mills',
}

const zoneOut: Action = {
  name: 'zone-out',
  apply: bed => bed.operator().post('zones/b/out'),
  isIgnored: (bed, _team, runner) =>
    bed.runnerEntries.find(({ id }) => id === runner)?.zone === 'b',
}

const promotion: Action = {
  name: 'promotion',
  apply: bed => {
    const [service] = bed.sample.data.services as Record<string, unknown>[]
    const runners = bed.runnerEntries.filter(({ id }) => id !== 'r1')
    const services = [{ ...service, runners }]
    return bed.operator().promote(stringify({ ...bed.sample.data, services }))
  },
  isIgnored: (_bed, _team, runner) => runner === 'r1',
}

/**
 * Time from the operator's call, which is before its acceptance, to the last start at a runner
 * that ignores it; 0 when none came after the call. A promotion needs the store.
 */
export async function measureInForce({ seed, quick }: MeasureOptions): Promise<Figure[]> {
  const figures: Figure[] = []
  for (const store of ['up', 'down'] as const) {
    const actions = [withdrawal, zoneOut, ...(store === 'up' ? [promotion] : [])]
    for (const action of actions) {
      const measured: { lastMs: number; callMs: number }[] = []
      for (let i = 0; i < (quick ? 1 : 3); i++) {
        measured.push(await measureAction(action, store, seed + i))
      }
      const name = `in-force/${action.name}/store-${store}`
      const worst = (key: 'lastMs' | 'callMs') => Math.max(...measured.map(each => each[key]))
      figures.push(
        { name: `${name}/last-start`, unit: 'ms', value: worst('lastMs'), target: targetMs },
        { name: `${name}/call`, unit: 'ms', value: worst('callMs') },
      )
    }
  }
  return figures
}

async function measureAction(action: Action, store: 'up' | 'down', seed: number) {
  const bed = await createTestbed({ entryHosts: 3, runners: 6, workMs: 10, seed })
  const load = startChild('load', {
    streams: ['lamps', 'mills'].map(team => ({
      targets: bed.entries.map(({ callers }) => callers),
      path: `/queues/${team}/call/work`,
      headers: { authorization: `Bearer ${bed.sample.keys[team] ?? ''}` },
      concurrency: 24,
      deadlineMs,
    })),
    warmUpMs: 500,
    measuredMs: 20_000,
  })
  try {
    const total = followRunners(bed.runners)
    await load.next()
    if (store === 'down') {
      bed.table.faults.down = true
      await pause(2_500)
    }
    const isIgnored = (team: string, runner: string) => action.isIgnored(bed, team, runner)
    const calledAt = Date.now()
    if (calledAt - total.lastStart(isIgnored) > 500) throw new Error('there is no load to stop')
    const { status, body } = await action.apply(bed)
    if (status >= 300) throw new Error(`${action.name}: ${JSON.stringify(body)}`)
    const callMs = Date.now() - calledAt
    await pause(watchMs)
    return { lastMs: Math.max(0, total.lastStart(isIgnored) - calledAt), callMs }
  } finally {
    await load.end()
    await bed.close()
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
