import type { Machine, MachineApi, OperatorView, Amounts } from '@bulrushbridge/scheduler'
import type { Check, FollowedTableService, Write } from '@bulrushbridge/store'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import type { DispatcherTiming } from './dispatcher.js'
import type { RunnerSession } from './runner-session.js'

/** What the duty for the machines works with. */
export interface MachineContext {
  machines: MachineApi<Machine>
  store: FollowedTableService
  holder: string
  fence: number
  /** The check of the dispatcher's lease, for writes of this duty. */
  check: Check
  timing: DispatcherTiming
  view: OperatorView
  sessions: ReadonlyMap<string, RunnerSession>
  waveStatusRow: (wave: number, state: 'running' | 'completed') => Write
  /** What startable tasks of a pool take that find no room. */
  waitingIn: (pool: string) => Amounts
  /** The dispatcher may not decide now. */
  isSuspended: () => boolean
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

/** Whether the machines of a pool are switched off. */
export function isSparePool(ctx: MachineContext, name: string): boolean {
  const pools = ctx.view.configuration()?.pools ?? []
  return pools.some(pool => pool.name === name && pool.isSpare)
}
