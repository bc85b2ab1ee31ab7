import type { Amounts, Machine, PoolCores } from '@bulrushbridge/scheduler'
import type { RunnerSession } from './runner-session.js'

/** What {@link sumPoolCores} needs of a runner's session. */
export type CountedSession = Pick<RunnerSession, 'id' | 'allocations' | 'isRegistered'> & {
  entry: { pool: string; capacity: Amounts } | undefined
}

/** Input of {@link sumPoolCores}. */
export interface PoolCoresInput {
  sessions: Iterable<CountedSession>
  /** Runners that take new runs now. */
  availableRunners: ReadonlySet<string>
  /**
   * The platform's list of machines; `none` if the platform has no machine service, undefined while the list
   * is not known.
   */
  machines: readonly Machine[] | 'none' | undefined
  sparePools: ReadonlySet<string>
}

interface PoolSum {
  available: number
  registered: number
  lasting: number
  busy: number
  running: Map<string, number>
}

/**
 * Counts the cores of each working pool for the decision whether waiting work can end in time while a burst
 * asks for more than the pool holds. `expectedCores` is the most that the pool can get; what cannot be known
 * counts in favour of the callers.
 *
 * @example
 * const pools = sumPoolCores({ sessions, availableRunners, machines, sparePools })
 */
export function sumPoolCores(input: PoolCoresInput): PoolCores[] {
  const sums = new Map<string, PoolSum>()
  const idleRunners = new Set<string>()
  for (const session of input.sessions) {
    if (session.entry === undefined) continue
    const { pool, capacity } = session.entry
    const sum = sums.get(pool) ?? emptySum()
    sums.set(pool, sum)
    if (input.availableRunners.has(session.id)) sum.available += capacity.cpuMillis
    if (session.isRegistered) sum.registered += capacity.cpuMillis
    if (session.allocations.size === 0) idleRunners.add(session.id)
    for (const { task, amounts } of session.allocations.values()) {
      const { organisation = '' } = task?.step.job.definition ?? {}
      if (task?.step.definition.isLasting === true) {
        sum.lasting += amounts.cpuMillis
        continue
      }
      sum.busy += amounts.cpuMillis
      sum.running.set(organisation, (sum.running.get(organisation) ?? 0) + amounts.cpuMillis)
    }
  }
  return [...sums]
    .filter(([name]) => !input.sparePools.has(name))
    .map(([name, sum]) => ({
      name,
      cores: toCores(sum.available - sum.lasting),
      expectedCores: expectedCores(name, sum, input.machines, { ...input, idleRunners }),
      busyCores: toCores(sum.busy),
      running: [...sum.running].map(([organisation, millis]): [string, number] => [
        organisation,
        toCores(millis),
      ]),
    }))
}

/** Null while the machines are not known, as the pool may get any number of them. */
function expectedCores(
  pool: string,
  { registered, lasting }: PoolSum,
  machines: PoolCoresInput['machines'],
  { sparePools, idleRunners }: Pick<PoolCoresInput, 'sparePools'> & { idleRunners: Set<string> },
): number | null {
  if (machines === undefined) return null
  let own = 0
  let arriving = 0
  for (const machine of machines === 'none' ? [] : machines) {
    const { runnerId, state, capacity } = machine
    if (state === 'down') continue
    // A runner of a machine that is not connected yet may be idle too.
    const isIdle = runnerId === undefined || idleRunners.has(runnerId)
    if (machine.pool === pool) own += capacity.cpuMillis
    else if (state === 'moving' || sparePools.has(machine.pool) || isIdle)
      arriving += capacity.cpuMillis
  }
  return toCores(Math.max(own, registered) + arriving - lasting)
}

function emptySum(): PoolSum {
  return { available: 0, registered: 0, lasting: 0, busy: 0, running: new Map() }
}

function toCores(millis: number): number {
  return Math.max(0, Math.round(millis / 100) / 10)
}
