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
const lagMs = 2_000
const rebootMs = 5_000

/** Wall-clock time of the start of each test; not the start of a maintenance period. */
export const wallStart = Date.UTC(2026, 0, 5)

/** Hosts of each pool, and the rack of the workers. */
export interface WorldOptions {
  finders?: number
  workers?: number
  spares?: number
  workerRack?: string
}

export type World = ReturnType<typeof createWorld>

/**
 * A small fleet: a service that may spare one host, a pool of workers and a spare pool, three hosts
 * in each zone, and the platform with its lag.
 */
export function createWorld(opts: WorldOptions = {}) {
  const { finders = 6, workers = 3, spares = 3, workerRack = 'batch-rack' } = opts
  const clock = createManualClock()
  const table = new MemoryTable()
  const faults = noHostFaults()
  faults.rebootMs = rebootMs
  const names = [
    ...Array.from({ length: finders }, (_, n) => ({ id: `f${n}`, rack: `f${n % 4}` })),
    ...Array.from({ length: workers }, (_, n) => ({ id: `w${n}`, rack: workerRack })),
    ...Array.from({ length: spares }, (_, n) => ({ id: `s${n}`, rack: 'other-rack' })),
  ]
  const hosts = names.map(({ id, rack }, n): PlatformHost => {
    const size = { cpus: 16, memoryMb: 65_536, accelerators: 0 }
    const place = { zone: zones[n % 3] ?? '', rack, address: `127.0.0.1:${n + 1}` }
    return { id, ...place, ...size, state: 'live', bootId: `${id}-boot-0`, healthy: true }
  })
  let visible: PlatformHost[] = hosts
  let pending: { at: number; hosts: PlatformHost[] }[] = []
  const platform = new SimulatedHosts({
    hosts,
    faults,
    now: () => clock.now(),
    publish: (next, at = clock.now()) => {
      pending.push({ at: at + lagMs, hosts: next as PlatformHost[] })
    },
  })
  const list = () => {
    platform.finishReboots()
    visible = pending.findLast(({ at }) => at <= clock.now())?.hosts ?? visible
    pending = pending.filter(({ at }) => at > clock.now())
    return visible.filter(({ id }) => !unlisted.has(id))
  }
  const unlisted = new Set<string>()
  const busy = new Set<string>()
  const sick = new Set<string>()
  const cfg = configuration(hosts.filter(({ id }) => id.startsWith('f')))
  const orders: { id: string; action: string; generation: number }[] = []
  const decisions: FleetDecision[] = []
  const broken: string[] = []
  const rows = () => table.all<FleetHostRow>(fleetHostsTable).map(({ value }) => value)
  const nameOf = (address: string) => hosts.find(host => host.address === address)?.id ?? ''
  const probe: HostProbe = {
    isEmpty: ({ address }) => Promise.resolve(!busy.has(nameOf(address))),
    checkHealth: ({ address }) =>
      Promise.resolve(sick.has(nameOf(address)) ? 'unhealthy' : 'healthy'),
  }
  const fleet = (): Fleet => {
    const { budgets, zonesOut } = toFleetConfiguration(cfg)
    return { hosts: rows().map(toFleetHost), budgets, zonesOut }
  }
  table.onCommit = tx => {
    broken.push(...brokenRules(table, tx, rows(), fleet()))
  }

  /** A new holder of the duty; its fence ends the one before. */
  const takeDuty = () => {
    const old = table.all('duty-fences')[0]?.version ?? 0
    const fence = { table: 'duty-fences', key: 'fleet' }
    const value = { token: old + 1 }
    table.commit({ checks: [{ ...fence, version: old }], writes: [{ ...fence, value }] })
    const own = new CallFaults()
    const held = { token: old + 1, check: { ...fence, version: old + 1 } }
    const errors: unknown[] = []
    const duty = createFleetDuty({
      table: table.service(own),
      // A frozen process believes for a moment that it still holds its lease; the fence decides.
      held: () => held,
      clock,
      wallClock: () => wallStart + clock.now(),
      platform: {
        list: async () => {
          await own.before('list')
          return list()
        },
        order: async (id, action, generation) => {
          await own.before('order')
          const { status, executed } = platform.execute(id, action, generation)
          if (executed) orders.push({ id, action, generation })
          if (executed && action === 'reboot' && busy.has(id)) broken.push(`${id} rebooted at work`)
          return status === 200 ? 'accepted' : status === 409 ? 'stale' : 'unknown-host'
        },
      },
      probe,
      configuration: () => cfg,
      confirmedUntil: () => Infinity,
      onDecision: decision => decisions.push(decision),
      onError: err => errors.push(err),
    })
    const round = async () => {
      await duty.round().catch((err: unknown) => errors.push(err))
      clock.advance(1_000)
    }
    /** Runs rounds until the condition holds; false when it does not within the rounds. */
    const run = async (until: () => boolean, rounds = 600): Promise<boolean> => {
      for (let n = 0; n < rounds && !until(); n++) await round()
      return until()
    }
    return { round, run, faults: own, errors }
  }

  const boots = () =>
    Object.fromEntries(
      hosts.map(({ id }) => [
        id,
        orders.filter(order => order.id === id && order.action === 'reboot').length,
      ]),
    )
  const isRoundDone = () =>
    rows().length === hosts.length &&
    rows().every(({ state, maintainedAt }) => state === 'serving' && maintainedAt >= wallStart)
  /** An order that the platform executes for somebody else. */
  const execute = (id: string, action: 'drain' | 'reboot' | 'open', generation: number) =>
    platform.execute(id, action, generation)
  /** A boot without an order, as in a repair. */
  const boot = (id: string) => {
    platform.boot(id)
  }
  const isOpen = (id: string) => platform.hosts().some(h => h.id === id && h.state === 'live')
  const state = (id: string) => rows().find(row => row.id === id)?.state
  return {
    ...{ clock, table, faults, cfg, orders, decisions, broken, hosts, unlisted, busy, sick },
    ...{ rows, state, isOpen, execute, boot, fleet, takeDuty, boots, isRoundDone },
  }
}

function configuration(runners: PlatformHost[]) {
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

/** Rules that must hold after every write. */
function brokenRules(
  table: MemoryTable,
  tx: Transaction,
  rows: readonly FleetHostRow[],
  fleet: Fleet,
): string[] {
  const found: string[] = []
  const projected = table.all<{ id: string; pool: string }>(hostsTable)
  for (const { id, pool, state } of rows) {
    const keys = projected.filter(({ value }) => value.id === id).map(({ key }) => key)
    const expected = state === 'serving' ? [`${pool}/${id}`] : []
    if (keys.join() !== expected.join())
      found.push(`${id} in ${pool} is projected to ${keys.join()}`)
  }
  if (projected.some(({ value }) => !rows.some(({ id }) => id === value.id))) {
    found.push('a projection has no host')
  }
  const drains = tx.writes.filter(({ table: name, value }) => {
    const row = value as FleetHostRow | null
    return name === fleetHostsTable && row?.state === 'draining'
  })
  for (const { budget, margin } of fleet.budgets.map(b => ({
    budget: b,
    margin: poolMargin(fleet, b.pool),
  }))) {
    const leaves = drains.some(({ value }) => (value as FleetHostRow).pool === budget.pool)
    if (leaves && margin < 0) found.push(`${budget.service}: a host left at margin ${margin}`)
  }
  return found
}
