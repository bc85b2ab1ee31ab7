import { createHostListReader, type ListedHosts } from '@bulrushbridge/entry'
import type { EnvironmentConfiguration } from '@bulrushbridge/contract'
import { normalizeError } from '@bulrushbridge/errors'
import { createPlacementDuty } from '@bulrushbridge/placement'
import type { HeldLease } from '@bulrushbridge/store'
import { createTaskPermits, createTaskDemandWriter } from '@bulrushbridge/team-limit'
import type { ControlContext } from './control-context.js'
import { createDutyTask, type DutyTerm } from './duty-task.js'

/** Pause between two rounds of placement, in milliseconds. */
const roundMs = 500

/** Control programs that compete for one pool; more would only read the duty's row. */
const candidatesPerPool = 3

/**
 * Keeps a candidate for `placement/<pool>` for each pool with a job queue whose candidates include
 * this member. Candidates are the registered entry hosts with the highest hash for the pool.
 *
 * @example
 * const placement = createPlacementDuties(context)
 * await placement.close()
 */
export function createPlacementDuties(ctx: ControlContext): { close(): Promise<void> } {
  const { cfg, table, clock, log, follower } = ctx
  const tasks = new Map<string, { close(): Promise<void> }>()
  const closing: Promise<void>[] = []
  const update = (next: EnvironmentConfiguration) => {
    const wanted = new Set(
      jobPools(next).filter(pool => candidates(next, pool).includes(cfg.member)),
    )
    for (const [pool, task] of tasks) {
      if (wanted.has(pool)) continue
      tasks.delete(pool)
      closing.push(task.close())
    }
    for (const pool of wanted) {
      if (tasks.has(pool)) continue
      const begin = (held: () => HeldLease | undefined) => beginPlacement(ctx, pool, held)
      const duty = `placement/${pool}`
      const holder = cfg.member
      const opts = { table, duty, holder, clock, log, intervalMs: roundMs, begin }
      tasks.set(pool, createDutyTask(opts))
    }
  }
  const stopListening = follower.onChange(update)
  update(follower.committed())
  return {
    close: async () => {
      stopListening()
      await Promise.all([...closing, ...[...tasks.values()].map(task => task.close())])
    },
  }
}

function jobPools(cfg: EnvironmentConfiguration): string[] {
  return [...new Set(Object.values(cfg.queues).flatMap(({ pool }) => pool ?? []))]
}

/** Rendezvous hashing: a member that joins or leaves changes few candidates. */
function candidates(cfg: EnvironmentConfiguration, pool: string): string[] {
  const ranked = Object.keys(cfg.members).map(id => ({ id, rank: hashOf(`${pool}/${id}`) }))
  ranked.sort((a, b) => a.rank - b.rank)
  return ranked.slice(0, candidatesPerPool).map(({ id }) => id)
}

/** FNV-1a, 32 bits. */
function hashOf(text: string): number {
  let hash = 0x811c9dc5
  for (const char of text) hash = Math.imul(hash ^ (char.codePointAt(0) ?? 0), 0x01000193)
  return hash >>> 0
}

function beginPlacement(
  ctx: ControlContext,
  pool: string,
  held: () => HeldLease | undefined,
): DutyTerm {
  const { cfg, table, clock, log, follower, decisions } = ctx
  const release = follower.keepConfirmed()
  const permits = createTaskPermits({ table })
  let listed = { leaving: new Set<string>(), gone: new Set<string>() }
  const hostList = createHostListReader({
    url: cfg['hosts-url'],
    clock,
    onHosts: ({ leaving, gone }: ListedHosts) => {
      listed = { leaving: new Set(leaving), gone: new Set(gone) }
    },
  })
  const placement = createPlacementDuty({
    table,
    permits,
    wishes: createTaskDemandWriter({ table, pool }),
    pool,
    clock,
    held,
    configuration: () => {
      const { queues, teams, zonesOut } = follower.committed()
      const own = Object.values(queues).filter(queue => queue.pool === pool)
      return {
        queues: own.map(({ name }) => name),
        shares: new Map(Object.values(teams).map(({ name, share }) => [name, share])),
        zonesOut: new Set(zonesOut),
      }
    },
    confirmedUntil: () => follower.confirmedUntil(),
    listed: () => listed,
    onDecision: decision => {
      decisions.record(decision)
    },
    onError: err => {
      log.debug('placement: a call to a worker failed', { error: normalizeError(err).message })
    },
  })
  return {
    round: async () => {
      const { version, teams } = follower.committed()
      const limits = new Map(Object.values(teams).map(({ name, limit }) => [name, limit]))
      permits.configure({ version, limits })
      await placement.round()
    },
    close: async () => {
      hostList.close()
      release()
      await placement.close()
    },
  }
}
