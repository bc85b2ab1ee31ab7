import { poolKeyRange, tasksTable, type TaskRow } from '@bulrushbridge/host'
import { choosePoolAfterMaintenance } from '@bulrushbridge/maintenance'
import { scanAll } from '@bulrushbridge/store'
import { roundStart } from './fleet-configuration.js'
import type { FleetTerm } from './fleet-term.js'
import { nextStep } from './host-steps.js'
import { inventoryChanges } from './inventory.js'
import type { FleetHostRow } from './rows.js'
import { closedHosts } from './zone-returns.js'

/** Brings the rows in line with the platform's list. */
export async function takeInventory(term: FleetTerm): Promise<void> {
  const { cfg, rows, observer } = term
  const changes = inventoryChanges({
    cfg,
    rows: rows.hosts(),
    listed: observer.hosts(),
    isGone: id => observer.isGone(id),
    now: term.now(),
  })
  for (const { id, next, ...decision } of changes) {
    await rows.writeHost(id, next)
    term.decide('host', id, decision)
  }
}

/** Takes the step that is due of each host that is not serving. */
export async function advanceHosts(term: FleetTerm): Promise<void> {
  const { rows, observer } = term
  const waiting = rows.hosts().filter(({ state }) => state !== 'serving')
  const busy = await workersWithTasks(term, waiting)
  await Promise.all(waiting.map(row => observer.observe(row, term.probed(row), busy.has(row.id))))
  const closed = closedHosts(term.fleet(), rows.hosts(), rows.zones())
  for (const row of waiting) {
    const step = nextStep(row, {
      ...observer.view(row),
      isClosed: closed.has(row.id),
      now: term.now(),
      poolAfter: () => poolAfter(term, row),
    })
    if (step === undefined) continue
    await rows.writeHost(row.id, step.next)
    term.decide('host', row.id, step)
  }
}

/** A claimed task may not have reached its worker yet, so its row counts as well. */
async function workersWithTasks(
  term: FleetTerm,
  waiting: readonly FleetHostRow[],
): Promise<Set<string>> {
  const pools = new Set(waiting.flatMap(row => (row.state === 'draining' ? row.pool : [])))
  const { table } = term.opts
  const scans = [...pools].map(pool => scanAll<TaskRow>(table, tasksTable, poolKeyRange(pool)))
  return new Set((await Promise.all(scans)).flat().map(({ value }) => value.worker))
}

function poolAfter(term: FleetTerm, row: FleetHostRow): string {
  const fleet = term.fleet()
  const host = fleet.hosts.find(({ id }) => id === row.id)
  if (host === undefined) return row.pool
  const homes = new Map(term.rows.hosts().map(({ id, home }) => [id, home]))
  const now = term.now()
  const roundStartedAt = roundStart(term.cfg, now)
  return choosePoolAfterMaintenance({ fleet, host, homes, now, roundStartedAt })
}
