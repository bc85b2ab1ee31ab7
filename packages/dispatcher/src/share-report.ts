import type { JobQueue, PoolShare, StepExecution, WeightedShares } from '@bulrushbridge/scheduler'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'

/** Most organisations with a label of their own; the others share the label `other`. */
const maxNamedLabels = 31

/** Time without a delay after which an organisation counts as not delayed, in milliseconds. */
const delayEndMs = 1_000

/** Least time between two passes that are looked at, in milliseconds; each has thousands of steps. */
const noteIntervalMs = 200

/** Most lines about starts and ends of delays in one second; more are left out. */
const maxLinesPerS = 16

/** What a pass left waiting; without `shares` and `steps` if it had nothing to place. */
export interface PassShares {
  shares?: WeightedShares | undefined
  steps?: readonly StepExecution[]
  queues?: ReadonlyMap<string, JobQueue>
  /** Unix milliseconds. */
  wallNow: number
}

/** Metrics and log of the shares of organisations. */
export interface ShareReport {
  /** Notes the state after the starts of a pass have been recorded. */
  notePass(pass: PassShares): void
  close(): void
}

/** A delay of an organisation in a pool. */
interface Delay {
  share: PoolShare
  isExcess: boolean
  /** Unix milliseconds. */
  seenAt: number
}

/**
 * Creates the report of a term. While a burst fills a pool, an organisation is delayed there if it has
 * startable tasks that go after the work of others, because they are excess or because it has reached
 * its share. Interruptions of a delay for less than a second do not count, as the order changes with
 * each pass.
 *
 * @example
 * const report = createShareReport({ log, metrics })
 * report.notePass({ shares, steps, queues, wallNow: Date.now() })
 */
export function createShareReport(opts: { log: Logger; metrics: Metrics }): ShareReport {
  const delays = new Map<string, Delay>()
  let latest: readonly PoolShare[] = []
  let notedAt = -Infinity
  let lines = { second: 0, count: 0 }

  const logDelay = (message: string, { share, isExcess, seenAt }: Delay, wallNow: number) => {
    const second = Math.floor(wallNow / 1_000)
    if (lines.second !== second) lines = { second, count: 0 }
    lines.count += 1
    if (lines.count > maxLinesPerS) return
    const { organisation, pool, weight, used, entitled } = share
    opts.log.info(message, {
      organisation,
      pool,
      weight,
      share: round(used),
      guaranteedShare: round(entitled),
      isExcess,
      ageMs: wallNow - seenAt,
    })
  }

  const addGauge = (name: string, help: string, key: 'used' | 'entitled') => {
    opts.metrics.gauge(name, help, () => samplesOf(latest, key))
  }
  addGauge(
    'bulrush_organisation_share',
    'largest fraction of a pool that the runs of an organisation reserve',
    'used',
  )
  addGauge(
    'bulrush_organisation_guaranteed_share',
    'largest fraction of a pool that an organisation may reserve before others go first',
    'entitled',
  )

  return {
    notePass: ({ shares, steps = [], queues, wallNow }) => {
      if (wallNow >= notedAt && wallNow - notedAt < noteIntervalMs) return
      notedAt = wallNow
      latest = shares === undefined ? [] : [...shares.entries()]
      if (shares !== undefined && queues !== undefined) {
        for (const [key, delay] of findDelays(latest, shares, steps, queues, wallNow)) {
          if (!delays.has(key)) logDelay('organisation delayed', delay, wallNow)
          delays.set(key, delay)
        }
      }
      for (const [key, delay] of delays) {
        if (wallNow - delay.seenAt < delayEndMs) continue
        delays.delete(key)
        logDelay('organisation no longer delayed', delay, wallNow)
      }
    },
    close: () => {
      latest = []
      delays.clear()
    },
  }
}

/** The delays after a pass, by pool and organisation. Nobody is delayed in a pool without others. */
function findDelays(
  entries: readonly PoolShare[],
  shares: WeightedShares,
  steps: readonly StepExecution[],
  queues: ReadonlyMap<string, JobQueue>,
  wallNow: number,
): Map<string, Delay> {
  const byKey = new Map(entries.map(entry => [keyOf(entry.pool, entry.organisation), entry]))
  const organisationsOf = new Map<string, number>()
  for (const { pool } of entries) organisationsOf.set(pool, (organisationsOf.get(pool) ?? 0) + 1)
  const found = new Map<string, Delay>()
  for (const { job, definition, pendingCount } of steps) {
    const { organisation = '' } = job.definition
    const pool = queues.get(job.definition.queue)?.pool
    if (pool === undefined || pendingCount === 0 || definition.isLasting === true) continue
    const key = keyOf(pool, organisation)
    const share = byKey.get(key)
    if (share === undefined || found.has(key) || (organisationsOf.get(pool) ?? 0) < 2) continue
    const isExcess = shares.isExcess(job.definition)
    const hasReachedShare = shares.decides(isExcess) && !shares.isUnderShare(pool, organisation)
    if (isExcess || hasReachedShare) found.set(key, { share, isExcess, seenAt: wallNow })
  }
  return found
}

/** One sample for each of the organisations with the highest weights, and one for all others. */
function samplesOf(entries: readonly PoolShare[], key: 'used' | 'entitled') {
  const largest = new Map<string, { weight: number; value: number }>()
  for (const { organisation, weight, [key]: value } of entries) {
    const known = largest.get(organisation)?.value ?? 0
    largest.set(organisation, { weight, value: Math.max(known, value) })
  }
  const ranked = [...largest].sort(
    ([a, { weight }], [b, other]) => other.weight - weight || (a < b ? -1 : 1),
  )
  const samples = ranked
    .slice(0, maxNamedLabels)
    .map(([organisation, { value }]) => ({ labels: { organisation }, value: round(value) }))
  const others = ranked.slice(maxNamedLabels).map(([, { value }]) => value)
  if (others.length > 0)
    samples.push({ labels: { organisation: 'other' }, value: round(Math.max(...others)) })
  return samples
}

function keyOf(pool: string, organisation: string): string {
  return `${pool}\0${organisation}`
}

function round(value: number): number {
  return Number(value.toFixed(4))
}
