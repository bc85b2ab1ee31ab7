import { poolKeyRange, tasksTable, type TaskRow } from '@bulrushbridge/host'
import { choosePoolAfterMaintenance } from '@bulrushbridge/maintenance'
import { scanAll } from '@bulrushbridge/store'
import { computeRoundStart } from './fleet-configuration.js'
import type { FleetTerm } from './fleet-term.js'
import { planNextStep } from './host-steps.js'
import { planInventoryChanges } from './inventory.js'
import type { FleetHostRow } from './rows.js'
import { findClosedHosts } from './zone-returns.js'

/** Updates the host rows to the platform's host list. */
export async function applyInventory(term: FleetTerm): Promise<void> {
  const { cfg, rows, observer } = term
  const changes = planInventoryChanges({
    cfg,
    rows: rows.hosts(),
    listed: observer.hosts(),
    isMissing: id => observer.isMissing(id),
    now: term.wallNow(),
  })
  for (const { id, next, ...decision } of changes) {
    await rows.writeHost(id, next)
    term.recordDecision('host', id, decision)
  }
}

/** Takes the next step of each host that is not serving, if one is due. */
export async function advanceHosts(term: FleetTerm): Promise<void> {
  const { rows, observer } = term
  const rowsInTransition = rows.hosts().filter(({ state }) => state !== 'serving')
  const busyWorkers = await findWorkersWithTasks(term, rowsInTransition)
  await Promise.all(
    rowsInTransition.map(row =>
      observer.observe(row, term.toProbedHost(row), busyWorkers.has(row.id)),
    ),
  )
  const closedHosts = findClosedHosts(term.currentFleet(), rows.hosts(), rows.zones())
  for (const row of rowsInTransition) {
    const step = planNextStep(row, {
      ...observer.describeHost(row),
      isClosed: closedHosts.has(row.id),
      now: term.wallNow(),
      choosePool: () => choosePool(term, row),
    })
    if (step === undefined) continue
    await rows.writeHost(row.id, step.next)
    term.recordDecision('host', row.id, step)
  }
}

/**
 * Finds the workers of the draining hosts' pools that have tasks by the task table. The table is
 * read besides asking the hosts, because a claimed task may not have reached its worker yet.
 */
async function findWorkersWithTasks(
  term: FleetTerm,
  rowsInTransition: readonly FleetHostRow[],
): Promise<Set<string>> {
  const pools = new Set(rowsInTransition.flatMap(row => (row.state === 'draining' ? row.pool : [])))
  const { table } = term.opts
  const scans = [...pools].map(pool => scanAll<TaskRow>(table, tasksTable, poolKeyRange(pool)))
  return new Set((await Promise.all(scans)).flat().map(({ value }) => value.worker))
}

/** Chooses the pool that a host joins after maintenance. */
function choosePool(term: FleetTerm, row: FleetHostRow): string {
  const fleet = term.currentFleet()
  const host = fleet.hosts.find(({ id }) => id === row.id)
  if (host === undefined) return row.pool
  const homePools = new Map(term.rows.hosts().map(({ id, home }) => [id, home]))
  const now = term.wallNow()
  const roundStartedAt = computeRoundStart(term.cfg, now)
  return choosePoolAfterMaintenance({ fleet, host, homePools, now, roundStartedAt })
}
