import type { EnvironmentConfiguration, ServiceDefinition } from '@bulrushbridge/contract'
import { hostsTable, type PlatformHost } from '@bulrushbridge/host'
import { poolMargin, type Fleet } from '@bulrushbridge/host-pools'
import { createManualClock, SimulatedHosts, noHostFaults } from '@bulrushbridge/standins'
import type { Transaction } from '@bulrushbridge/store'
import {
  createFleetDuty,
  toFleetConfiguration,
  fleetHostsTable,
  type FleetDecision,
  type FleetHostRow,
  type HostProbe,
} from '../src/index.js'
import { toFleetHost } from '../src/rows.js'
import { CallFaults, MemoryTable } from './memory-table.js'

const zones = ['a', 'b', 'c']
const listLagMs = 2_000
const rebootMs = 5_000

/** Wall-clock time at which each test starts; it is not the start of a maintenance period. */
export const wallStart = Date.UTC(2026, 0, 5)

/**
 * Options of {@link createWorld}: the number of hosts of each pool, and the rack of the workers.
 */
export interface WorldOptions {
  finders?: number
  workers?: number
  spares?: number
  workerRack?: string
}

/** A simulated fleet and its controls for a test. */
export type World = ReturnType<typeof createWorld>

/**
 * Creates a simulated fleet: a pool with a service whose budget lets one host be absent, a pool of
 * workers and a spare pool, spread over three zones, and a platform whose host list lags.
 */
export function createWorld(opts: WorldOptions = {}) {
  const { finders = 6, workers = 3, spares = 3, workerRack = 'batch-rack' } = opts
  const clock = createManualClock()
  const table = new MemoryTable()
  const faults = noHostFaults()
  faults.rebootMs = rebootMs
  const idsAndRacks = [
    ...Array.from({ length: finders }, (_, n) => ({ id: `f${n}`, rack: `f${n % 4}` })),
    ...Array.from({ length: workers }, (_, n) => ({ id: `w${n}`, rack: workerRack })),
    ...Array.from({ length: spares }, (_, n) => ({ id: `s${n}`, rack: 'other-rack' })),
  ]
  const hosts = idsAndRacks.map(({ id, rack }, n): PlatformHost => {
    const size = { cpus: 16, memoryMb: 65_536, accelerators: 0 }
    const place = { zone: zones[n % 3] ?? '', rack, address: `127.0.0.1:${n + 1}` }
    return { id, ...place, ...size, state: 'live', bootId: `${id}-boot-0`, healthy: true }
  })
  let visibleHosts: PlatformHost[] = hosts
  let pendingLists: { at: number; hosts: PlatformHost[] }[] = []
  const platform = new SimulatedHosts({
    hosts,
    faults,
    now: () => clock.now(),
    publish: (next, at = clock.now()) => {
      pendingLists.push({ at: at + listLagMs, hosts: next as PlatformHost[] })
    },
  })
  const listVisibleHosts = () => {
    platform.finishReboots()
    visibleHosts = pendingLists.findLast(({ at }) => at <= clock.now())?.hosts ?? visibleHosts
    pendingLists = pendingLists.filter(({ at }) => at > clock.now())
    return visibleHosts.filter(({ id }) => !unlistedHosts.has(id))
  }
  const unlistedHosts = new Set<string>()
  const busyHosts = new Set<string>()
  const unhealthyHosts = new Set<string>()
  const cfg = createConfiguration(hosts.filter(({ id }) => id.startsWith('f')))
  const orders: { id: string; action: string; generation: number }[] = []
  const decisions: FleetDecision[] = []
  const violations: string[] = []
  const listHostRows = () => table.listRows<FleetHostRow>(fleetHostsTable).map(({ value }) => value)
  const findHostId = (address: string) => hosts.find(host => host.address === address)?.id ?? ''
  const probe: HostProbe = {
    isEmpty: ({ address }) => Promise.resolve(!busyHosts.has(findHostId(address))),
    checkHealth: ({ address }) =>
      Promise.resolve(unhealthyHosts.has(findHostId(address)) ? 'unhealthy' : 'healthy'),
  }
  const buildFleet = (): Fleet => {
    const { budgets, zonesOut } = toFleetConfiguration(cfg)
    return { hosts: listHostRows().map(toFleetHost), budgets, zonesOut }
  }
  table.onCommit = tx => {
    violations.push(...findViolations(table, tx, listHostRows(), buildFleet()))
  }

  /**
   * Creates a new lease holder of the duty; its fence makes the writes of the previous one fail.
   */
  const acquireDuty = () => {
    const previousVersion = table.listRows('duty-fences')[0]?.version ?? 0
    const fence = { table: 'duty-fences', key: 'fleet' }
    const value = { token: previousVersion + 1 }
    table.commit({
      checks: [{ ...fence, version: previousVersion }],
      writes: [{ ...fence, value }],
    })
    const callFaults = new CallFaults()
    const held = { token: previousVersion + 1, check: { ...fence, version: previousVersion + 1 } }
    const errors: unknown[] = []
    const duty = createFleetDuty({
      table: table.service(callFaults),
      // A frozen process may still believe that it holds its lease, so only the fence stops its
      // writes.
      held: () => held,
      clock,
      wallClock: () => wallStart + clock.now(),
      platform: {
        list: async () => {
          await callFaults.beforeCall('list')
          return listVisibleHosts()
        },
        order: async (id, action, generation) => {
          await callFaults.beforeCall('order')
          const { status, executed } = platform.execute(id, action, generation)
          if (executed) orders.push({ id, action, generation })
          if (executed && action === 'reboot' && busyHosts.has(id))
            violations.push(`${id} was rebooted while work ran on it`)
          return status === 200 ? 'accepted' : status === 409 ? 'stale' : 'unknown-host'
        },
      },
      probe,
      configuration: () => cfg,
      confirmedUntil: () => Infinity,
      onDecision: decision => decisions.push(decision),
      onError: err => errors.push(err),
    })
    const runRound = async () => {
      await duty.round().catch((err: unknown) => errors.push(err))
      clock.advance(1_000)
    }
    /** Runs rounds until the condition holds; returns false if it still does not after `rounds`. */
    const runUntil = async (until: () => boolean, rounds = 600): Promise<boolean> => {
      for (let n = 0; n < rounds && !until(); n++) await runRound()
      return until()
    }
    return { runRound, runUntil, faults: callFaults, errors }
  }

  const countReboots = () =>
    Object.fromEntries(
      hosts.map(({ id }) => [
        id,
        orders.filter(order => order.id === id && order.action === 'reboot').length,
      ]),
    )
  const isRoundDone = () =>
    listHostRows().length === hosts.length &&
    listHostRows().every(
      ({ state, maintainedAt }) => state === 'serving' && maintainedAt >= wallStart,
    )
  /** Executes an order on the platform that no lease holder of the test has sent. */
  const executeOrder = (id: string, action: 'drain' | 'reboot' | 'open', generation: number) =>
    platform.execute(id, action, generation)
  /** Boots a host without an order, as a repair does. */
  const bootHost = (id: string) => {
    platform.boot(id)
  }
  /** Whether the host takes work by the platform's own state, not by the lagging list. */
  const isOpen = (id: string) => platform.hosts().some(h => h.id === id && h.state === 'live')
  const findState = (id: string) => listHostRows().find(row => row.id === id)?.state
  return {
    ...{
      clock,
      table,
      faults,
      cfg,
      orders,
      decisions,
      violations,
      hosts,
      unlistedHosts,
      busyHosts,
      unhealthyHosts,
    },
    ...{
      listHostRows,
      findState,
      isOpen,
      executeOrder,
      bootHost,
      buildFleet,
      acquireDuty,
      countReboots,
      isRoundDone,
    },
  }
}

/** Creates a configuration with one service, whose runners are on the given hosts. */
function createConfiguration(runners: PlatformHost[]) {
  const finder: ServiceDefinition = {
    name: 'finder',
    pool: 'finder',
    slots: 8,
    connections: 64,
    availability: { minServing: 0.5, zoneFailures: 1 },
    runners: runners.map(({ id, zone, address }) => ({ id: `run-${id}`, host: id, zone, address })),
  }
  const pools: EnvironmentConfiguration['pools'] = {
    finder: { name: 'finder', spare: false },
    batch: { name: 'batch', spare: false, racks: ['batch-rack'] },
    reserve: { name: 'reserve', spare: true },
  }
  const zonesOut: string[] = []
  const services = { finder }
  return { pools, services, queues: {}, zonesOut, maintenance: { periodDays: 42 } }
}

/**
 * Checks the rules that must hold after every write: exactly the serving hosts are projected, each
 * to its pool, and no host drains when its pool is below its budget.
 */
function findViolations(
  table: MemoryTable,
  tx: Transaction,
  rows: readonly FleetHostRow[],
  fleet: Fleet,
): string[] {
  const violations: string[] = []
  const projected = table.listRows<{ id: string; pool: string }>(hostsTable)
  for (const { id, pool, state } of rows) {
    const keys = projected.filter(({ value }) => value.id === id).map(({ key }) => key)
    const expected = state === 'serving' ? [`${pool}/${id}`] : []
    if (keys.join() !== expected.join())
      violations.push(`host ${id} in pool ${pool} has the projections [${keys.join()}]`)
  }
  if (projected.some(({ value }) => !rows.some(({ id }) => id === value.id))) {
    violations.push('a projection has no host row')
  }
  const drains = tx.writes.filter(({ table: name, value }) => {
    const row = value as FleetHostRow | null
    return name === fleetHostsTable && row?.state === 'draining'
  })
  for (const { budget, margin } of fleet.budgets.map(b => ({
    budget: b,
    margin: poolMargin(fleet, b.pool),
  }))) {
    const hasDrain = drains.some(({ value }) => (value as FleetHostRow).pool === budget.pool)
    if (hasDrain && margin < 0)
      violations.push(
        `service ${budget.service}: a host started to drain and left the margin ${margin}`,
      )
  }
  return violations
}
