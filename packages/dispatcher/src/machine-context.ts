import type { Machine, MachineApi, OperatorView, Amounts } from '@bulrushbridge/scheduler'
import type { Check, FollowableTableService, Write } from '@bulrushbridge/store'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import type { DispatcherTiming } from './dispatcher.js'
import type { MachineOrderRate } from './machine-order-rate.js'
import type { PoolDemand } from './pool-demand.js'
import type { RunnerSession } from './runner-session.js'

/** What the machine controller and its components work with. */
export interface MachineContext {
  machines: MachineApi<Machine>
  /** Limits moves and upkeeps together. */
  orderRate: MachineOrderRate
  /** Reads of the list of machines that the platform accepts a second; undefined if not stated. */
  machineListsPerSecond?: number | undefined
  store: FollowableTableService
  /** Name of this host, which every order carries. */
  holder: string
  fence: number
  /** Check of the dispatcher's lease, which every write of the controller includes. */
  leaseCheck: Check
  timing: DispatcherTiming
  view: OperatorView
  sessions: ReadonlyMap<string, RunnerSession>
  waveStatusRow: (wave: number, state: 'running' | 'completed') => Write
  /** Whether a runner takes new runs; one that fails what it starts does not. */
  canStartOn: (session: RunnerSession) => boolean
  /** What the pools are expected to need. */
  demand: Pick<PoolDemand, 'loadOf' | 'storeIfDue'>
  /** Sum of the amounts of a pool's startable tasks for which the last pass found no runner. */
  waitingAmounts: (pool: string) => Amounts
  /**
   * Whether the term must not give orders now: its lease is in doubt, its takeover is not complete,
   * or it has ended.
   */
  isInactive: () => boolean
  /** Called when the platform has seen a later dispatcher. */
  onFenced: () => void
  log: Logger
  metrics: Metrics
}

/** The session of the runner on a machine. */
export function sessionOf(
  ctx: MachineContext,
  machine: Machine | undefined,
): RunnerSession | undefined {
  const id = machine?.runnerId
  return id === undefined ? undefined : ctx.sessions.get(id)
}

/** Whether a pool is a spare pool, whose machines are switched off. */
export function isSparePool(ctx: MachineContext, name: string): boolean {
  const pools = ctx.view.configuration()?.pools ?? []
  return pools.some(pool => pool.name === name && pool.isSpare)
}
