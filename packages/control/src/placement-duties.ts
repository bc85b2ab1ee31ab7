import { createHostListReader, type ListedHosts } from '@bulrushbridge/entry'
import type { EnvironmentConfiguration } from '@bulrushbridge/contract'
import { normalizeError } from '@bulrushbridge/errors'
import { createPlacementDuty } from '@bulrushbridge/placement'
import type { HeldLease } from '@bulrushbridge/store'
import { createTaskPermits, createTaskDemandWriter } from '@bulrushbridge/team-limit'
import type { ControlContext } from './control-context.js'
import { createDutyTask, type DutyTerm } from './duty-task.js'

/** Pause between two rounds of a placement duty, in milliseconds. */
const roundIntervalMs = 500

/**
 * Most control programs that compete for the placement duty of one pool. Further ones would only
 * add reads of the row of its lease.
 */
const maxCandidatesPerPool = 3

/**
 * Competes for the duty `placement/<pool>` of each pool that has a job queue and whose candidates
 * include this member, and follows changes of the configuration. The candidates of a pool are the
 * registered entry hosts with the lowest hashes for the pool.
 *
 * @example
 * const placement = createPlacementDuties(ctx)
 * await placement.close()
 */
export function createPlacementDuties(ctx: ControlContext): { close(): Promise<void> } {
  const { cfg, table, clock, log, follower } = ctx
  const tasks = new Map<string, { close(): Promise<void> }>()
  const closeResults: Promise<void>[] = []
  const updateTasks = (next: EnvironmentConfiguration) => {
    const candidatePools = new Set(
      findJobPools(next).filter(pool => findCandidates(next, pool).includes(cfg.member)),
    )
    for (const [pool, task] of tasks) {
      if (candidatePools.has(pool)) continue
      tasks.delete(pool)
      closeResults.push(task.close())
    }
    for (const pool of candidatePools) {
      if (tasks.has(pool)) continue
      const beginTerm = (held: () => HeldLease | undefined) => beginPlacementTerm(ctx, pool, held)
      const duty = `placement/${pool}`
      const holder = cfg.member
      const opts = { table, duty, holder, clock, log, intervalMs: roundIntervalMs, beginTerm }
      tasks.set(pool, createDutyTask(opts))
    }
  }
  const stopListening = follower.onChange(updateTasks)
  updateTasks(follower.committed())
  return {
    close: async () => {
      stopListening()
      await Promise.all([...closeResults, ...[...tasks.values()].map(task => task.close())])
    },
  }
}

function findJobPools(cfg: EnvironmentConfiguration): string[] {
  return [...new Set(Object.values(cfg.queues).flatMap(({ pool }) => pool ?? []))]
}

/** Ranks the members by rendezvous hashing, so that a join or a removal changes few candidates. */
function findCandidates(cfg: EnvironmentConfiguration, pool: string): string[] {
  const ranked = Object.keys(cfg.members).map(id => ({ id, rank: computeHash(`${pool}/${id}`) }))
  ranked.sort((a, b) => a.rank - b.rank)
  return ranked.slice(0, maxCandidatesPerPool).map(({ id }) => id)
}

/** Computes the 32-bit FNV-1a hash over the code points of `text`. */
function computeHash(text: string): number {
  let hash = 0x811c9dc5
  for (const char of text) hash = Math.imul(hash ^ (char.codePointAt(0) ?? 0), 0x01000193)
  return hash >>> 0
}

function beginPlacementTerm(
  ctx: ControlContext,
  pool: string,
  held: () => HeldLease | undefined,
): DutyTerm {
  const { cfg, table, clock, log, follower, decisions } = ctx
  const releaseConfirmation = follower.keepConfirmed()
  const permits = createTaskPermits({ table })
  let listedHosts = { leaving: new Set<string>(), unlisted: new Set<string>() }
  const hostListReader = createHostListReader({
    url: cfg['hosts-url'],
    clock,
    onHosts: ({ leaving, unlisted }: ListedHosts) => {
      listedHosts = { leaving: new Set(leaving), unlisted: new Set(unlisted) }
    },
  })
  const placement = createPlacementDuty({
    table,
    permits,
    taskDemand: createTaskDemandWriter({ table, pool }),
    pool,
    clock,
    held,
    configuration: () => {
      const { queues, teams, zonesOut } = follower.committed()
      const poolQueues = Object.values(queues).filter(queue => queue.pool === pool)
      return {
        queues: poolQueues.map(({ name }) => name),
        shares: new Map(Object.values(teams).map(({ name, share }) => [name, share])),
        zonesOut: new Set(zonesOut),
      }
    },
    confirmedUntil: () => follower.confirmedUntil(),
    listed: () => listedHosts,
    onDecision: decision => {
      decisions.record(decision)
    },
    onError: err => {
      log.debug('placement call to a worker failed', { error: normalizeError(err).message })
    },
  })
  return {
    runRound: async () => {
      const { version, teams } = follower.committed()
      const limits = new Map(Object.values(teams).map(({ name, limit }) => [name, limit]))
      permits.configure({ version, limits })
      await placement.round()
    },
    close: async () => {
      hostListReader.close()
      releaseConfirmation()
      await placement.close()
    },
  }
}
