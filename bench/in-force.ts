import { createTestbed, type Testbed } from '@bulrushbridge/testbed'
import { stringify } from 'yaml'
import { startRoleProcess } from './child.js'
import type { Figure, MeasurementOptions } from './figure.js'
import { trackRunnerUsage } from './running-total.js'

/** Upper bound of the time from a change to the last start that it forbids, in milliseconds. */
const targetDelayMs = 3_000

/** Time for which starts are observed after a change, in milliseconds. */
const observationMs = 4_000

/** Deadline of each request of the load. */
const deadlineMs = 1_000

/** Change that operators make, and the starts that it forbids. */
interface Action {
  name: string
  /** Makes the change with a call of the operator API and returns the response. */
  apply: (bed: Testbed) => Promise<{ status: number; body: unknown }>
  /** Whether the change, once in force, forbids the team's requests to start at the runner. */
  isForbidden: (bed: Testbed, team: string, runner: string) => boolean
}

const keyWithdrawal: Action = {
  name: 'key-withdrawal',
  apply: bed => bed.operator().post('keys/withdraw', { id: 'mills-1' }),
  isForbidden: (_bed, team) => team === 'mills',
}

const zoneWithdrawal: Action = {
  name: 'zone-out',
  apply: bed => bed.operator().post('zones/b/out'),
  isForbidden: (bed, _team, runner) =>
    bed.sampleRunners.find(({ id }) => id === runner)?.zone === 'b',
}

const promotion: Action = {
  name: 'promotion',
  apply: bed => {
    const [service] = bed.sample.data.services as Record<string, unknown>[]
    const runners = bed.sampleRunners.filter(({ id }) => id !== 'r1')
    const services = [{ ...service, runners }]
    return bed.operator().promote(stringify({ ...bed.sample.data, services }))
  },
  isForbidden: (_bed, _team, runner) => runner === 'r1',
}

/**
 * Measures how long a change takes until it is in force: the time from the operator's call, which
 * is before its acceptance, to the last start at a runner that the change forbids. It is 0 when no
 * such start follows the call. A promotion needs the store, so it is not measured while the store
 * is down.
 *
 * @throws Error when no load runs that the change would stop, or when a call of an operator fails.
 */
export async function measureInForceDelay({ seed, quick }: MeasurementOptions): Promise<Figure[]> {
  const figures: Figure[] = []
  for (const store of ['up', 'down'] as const) {
    const actions = [keyWithdrawal, zoneWithdrawal, ...(store === 'up' ? [promotion] : [])]
    for (const action of actions) {
      /** `lastMs`: until the last forbidden start; `callMs`: until the response to the call. */
      const samples: { lastMs: number; callMs: number }[] = []
      for (let i = 0; i < (quick ? 1 : 3); i++) {
        samples.push(await measureAction(action, store, seed + i))
      }
      const name = `in-force/${action.name}/store-${store}`
      const computeMax = (key: 'lastMs' | 'callMs') =>
        Math.max(...samples.map(sample => sample[key]))
      figures.push(
        {
          name: `${name}/last-start`,
          unit: 'ms',
          value: computeMax('lastMs'),
          target: targetDelayMs,
        },
        { name: `${name}/call`, unit: 'ms', value: computeMax('callMs') },
      )
    }
  }
  return figures
}

async function measureAction(action: Action, store: 'up' | 'down', seed: number) {
  const bed = await createTestbed({ entryHosts: 3, runners: 6, workMs: 10, seed })
  const loadGenerator = startRoleProcess('load', {
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
    const runningTotal = trackRunnerUsage(bed.runners)
    await loadGenerator.readNextLine()
    if (store === 'down') {
      bed.table.faults.down = true
      await pause(2_500)
    }
    const isForbidden = (team: string, runner: string) => action.isForbidden(bed, team, runner)
    const calledAt = Date.now()
    if (calledAt - runningTotal.lastStartAt(isForbidden) > 500)
      throw new Error(`${action.name}: no start that the change forbids came in the last 500 ms`)
    const { status, body } = await action.apply(bed)
    if (status >= 300)
      throw new Error(`${action.name}: the operator's call failed: ${JSON.stringify(body)}`)
    const callMs = Date.now() - calledAt
    await pause(observationMs)
    return { lastMs: Math.max(0, runningTotal.lastStartAt(isForbidden) - calledAt), callMs }
  } finally {
    await loadGenerator.killAndWait()
    await bed.close()
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
