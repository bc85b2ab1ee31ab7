import { poolKeyRange, tasksTable, type TaskRow, type ResourceAmounts } from '@bulrushbridge/host'
import type { PoolNeed } from '@bulrushbridge/host-pools'
import { queuedRange, queuedTable, type QueuedJob } from '@bulrushbridge/jobs'
import type { TableService } from '@bulrushbridge/store'
import type { FleetConfiguration } from './fleet-configuration.js'
import type { FleetHostRow } from './rows.js'

/** Rows of tasks and of queued jobs that are counted for one pool or queue. */
const countedRows = 500

const resources = ['cpus', 'memoryMb', 'accelerators'] as const

/**
 * Hosts that each pool needs now: what its services are owed, and what its running and queued jobs
 * would fill.
 *
 * @example
 * const needs = await readPoolNeeds({ table, cfg, rows })
 */
export async function readPoolNeeds(opts: {
  table: TableService
  cfg: FleetConfiguration
  rows: readonly FleetHostRow[]
}): Promise<PoolNeed[]> {
  const { table, cfg, rows } = opts
  return Promise.all(
    cfg.pools.map(async ({ name: pool }) => {
      const owed = cfg.budgets.filter(b => b.pool === pool).map(({ required }) => required)
      const queues = Object.values(cfg.queues).filter(queue => queue.pool === pool)
      if (queues.length === 0) return { pool, hosts: Math.max(0, ...owed) }
      const range = { ...poolKeyRange(pool), limit: countedRows }
      const tasks = await table.scan<TaskRow>(tasksTable, range)
      const work: ResourceAmounts[] = tasks.map(({ value }) => value)
      for (const { name } of queues) {
        const limits = { ...queuedRange(name), limit: countedRows }
        const jobs = await table.scan<QueuedJob>(queuedTable, limits)
        work.push(...jobs.map(({ value }) => value.request))
      }
      return { pool, hosts: Math.max(hostsFor(work, rows, pool), ...owed) }
    }),
  )
}

/** Hosts of the pool's mean size that the work would fill; of the fleet's mean in an empty pool. */
function hostsFor(
  work: readonly ResourceAmounts[],
  rows: readonly FleetHostRow[],
  pool: string,
): number {
  const own = rows.filter(row => row.pool === pool)
  const hosts = own.length > 0 ? own : rows
  const sum = (items: readonly ResourceAmounts[], of: (typeof resources)[number]) =>
    items.reduce((total, item) => total + item[of], 0)
  const counts = resources.map(of => {
    const mean = sum(hosts, of) / hosts.length
    return mean > 0 ? Math.ceil(sum(work, of) / mean) : 0
  })
  return Math.max(0, ...counts)
}
