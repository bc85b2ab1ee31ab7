import type { UpkeepWave } from './runner.js'

/** A machine of a wave, as input of {@link planUpkeepWave}. */
export interface WaveMachine {
  id: string
  pool: string
  isSpare: boolean
  /** Work waits for a machine of its pool. */
  isPoolShort?: boolean
  /** It is up, so its upkeep can begin. */
  isUp: boolean
  /** It takes no new tasks, because an earlier plan has cordoned it. */
  isCordoned: boolean
  /** Number of tasks on it that end by themselves. */
  finiteTasks: number
  /** All lasting tasks on it may become unavailable now. */
  canLoseLastingTasks: boolean
  /** Number of lasting tasks on it, which run until their job is cancelled. */
  lastingTasks: number
}

/** Input of {@link planUpkeepWave}. */
export interface UpkeepWaveInput {
  wave: UpkeepWave
  /** Number of machines that are, or because of an order may be, in upkeep. */
  unavailableCount: number
  /** Machines of the wave that have not had their upkeep. */
  machines: readonly WaveMachine[]
  /** Number of machines in each pool, for the share that may be cordoned at once. */
  poolSizes: ReadonlyMap<string, number>
  /** Time left for the wave, in milliseconds. */
  remainingMs: number
  /** Duration of one upkeep including the return of the runner, in milliseconds. */
  upkeepMs: number
}

/**
 * Ids of the machines to order into upkeep now, and of those to cordon, so that they take no new
 * tasks.
 */
export interface UpkeepWavePlan {
  upkeep: string[]
  cordon: string[]
}

/** Largest share of a pool that is cordoned at once for a wave, unless time runs short. */
const maxCordonedShare = 0.25

/** Time in each round for the finite tasks of cordoned machines to end, in milliseconds. */
const cordonWaitMs = 2_500

/**
 * Plans the next orders of a wave. Machines without work go into upkeep at once. Others are
 * cordoned first, and go into upkeep when their finite tasks have ended and all their lasting tasks
 * may be unavailable. Unless time runs short, only a share of a pool is cordoned at once, even if
 * the wave allows more. Machines that earlier plans cordoned do not count against the number that
 * the wave allows until their upkeep is ordered.
 *
 * @example
 * const { upkeep, cordon } = planUpkeepWave(input)
 */
export function planUpkeepWave(input: UpkeepWaveInput): UpkeepWavePlan {
  const upkeep: string[] = []
  const cordon: string[] = []
  let freePlaces = input.wave.maxUnavailable - input.unavailableCount
  const machines = [...input.machines].filter(({ isUp }) => isUp).sort(compareMachines)
  for (const machine of machines) {
    if (freePlaces < 1) break
    if (!canBeginUpkeep(machine)) continue
    upkeep.push(machine.id)
    freePlaces -= 1
  }
  const cordonedByPool = new Map<string, number>()
  for (const { pool, isCordoned } of machines) {
    if (isCordoned) cordonedByPool.set(pool, (cordonedByPool.get(pool) ?? 0) + 1)
  }
  const isShort = isShortOfTime(input)
  for (const machine of machines) {
    if (machine.isCordoned || upkeep.includes(machine.id) || freePlaces < 1) continue
    const cordonedCount = cordonedByPool.get(machine.pool) ?? 0
    const size = input.poolSizes.get(machine.pool) ?? 1
    if (!isShort && cordonedCount >= Math.max(1, Math.floor(size * maxCordonedShare))) continue
    cordon.push(machine.id)
    cordonedByPool.set(machine.pool, cordonedCount + 1)
    freePlaces -= 1
  }
  return { upkeep, cordon }
}

/**
 * Sorts spare machines first, because their upkeep affects no tasks, then cordoned machines, then
 * those of pools in which no work waits, then those with least work.
 */
function compareMachines(a: WaveMachine, b: WaveMachine): number {
  return (
    Number(b.isSpare) - Number(a.isSpare) ||
    Number(b.isCordoned) - Number(a.isCordoned) ||
    Number(a.isPoolShort === true) - Number(b.isPoolShort === true) ||
    a.lastingTasks - b.lastingTasks ||
    a.finiteTasks - b.finiteTasks
  )
}

function canBeginUpkeep(machine: WaveMachine): boolean {
  return machine.finiteTasks === 0 && (machine.lastingTasks === 0 || machine.canLoseLastingTasks)
}

/** Whether the remaining time is less than twice the time that the remaining rounds need. */
function isShortOfTime({ wave, machines, remainingMs, upkeepMs }: UpkeepWaveInput): boolean {
  const rounds = Math.ceil(machines.length / Math.max(1, wave.maxUnavailable))
  return remainingMs < 2 * rounds * (upkeepMs + cordonWaitMs)
}
