import { poolKeyRange, tasksTable, type TaskRow, type ResourceAmounts } from '@bulrushbridge/host'
import type { PoolNeed } from '@bulrushbridge/host-pools'
import { queuedRange, queuedTable, type QueuedJob } from '@bulrushbridge/jobs'
import type { TableService } from '@bulrushbridge/store'
import type { FleetConfiguration } from './fleet-configuration.js'
import type { FleetHostRow } from './rows.js'

/** Most rows that are counted: of tasks for each pool, of queued jobs for each queue. */
const maxCountedRows = 500

/** Resources by which the size of hosts and work is compared. */
const resourceNames = ['cpus', 'memoryMb', 'accelerators'] as const

/**
 * Reads how many hosts each pool needs now: the larger of the number that the availability budgets
 * of its services require and the number that its running tasks and queued jobs would fill.
 *
 * @throws StoreError when the tasks or queued jobs cannot be read.
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
      const budgetedHosts = cfg.budgets.filter(b => b.pool === pool).map(({ required }) => required)
      const queues = Object.values(cfg.queues).filter(queue => queue.pool === pool)
      if (queues.length === 0) return { pool, hosts: Math.max(0, ...budgetedHosts) }
      const taskRange = { ...poolKeyRange(pool), limit: maxCountedRows }
      const tasks = await table.scan<TaskRow>(tasksTable, taskRange)
      const workAmounts: ResourceAmounts[] = tasks.map(({ value }) => value)
      for (const { name } of queues) {
        const queueRange = { ...queuedRange(name), limit: maxCountedRows }
        const jobs = await table.scan<QueuedJob>(queuedTable, queueRange)
        workAmounts.push(...jobs.map(({ value }) => value.request))
      }
      return {
        pool,
        hosts: Math.max(computeHostsForWork(workAmounts, rows, pool), ...budgetedHosts),
      }
    }),
  )
}

/**
 * Computes how many hosts of the pool's mean size the work would fill. For a pool without hosts the
 * mean size of the fleet's hosts is used.
 */
function computeHostsForWork(
  workAmounts: readonly ResourceAmounts[],
  rows: readonly FleetHostRow[],
  pool: string,
): number {
  const poolRows = rows.filter(row => row.pool === pool)
  const referenceRows = poolRows.length > 0 ? poolRows : rows
  const sum = (items: readonly ResourceAmounts[], resource: (typeof resourceNames)[number]) =>
    items.reduce((total, item) => total + item[resource], 0)
  const hostCounts = resourceNames.map(resource => {
    const mean = sum(referenceRows, resource) / referenceRows.length
    return mean > 0 ? Math.ceil(sum(workAmounts, resource) / mean) : 0
  })
  return Math.max(0, ...hostCounts)
}
