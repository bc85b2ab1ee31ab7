import type { Wave } from './runner.js'

/** A machine of a wave as its plan sees it. */
export interface WaveMachine {
  id: string
  pool: string
  isSpare: boolean
  /** It is in service, so that an upkeep can begin. */
  isUp: boolean
  /** It takes no new work, because the plan has chosen it before. */
  isClosing: boolean
  /** Tasks on it that end by themselves. */
  finite: number
  /** Lasting tasks on it, all of which may be away now. */
  mayLose: boolean
  lasting: number
}

/** Input of {@link planWave}. */
export interface WaveState {
  wave: Wave
  /** Machines in their upkeep, or whose order has no known result yet. */
  away: number
  /** Machines that have not had their upkeep. */
  machines: readonly WaveMachine[]
  /** Machines of each pool, for the share that may be closing at once. */
  poolSizes: ReadonlyMap<string, number>
  /** Time that is left for the wave, in milliseconds. */
  leftMs: number
  /** Time of one upkeep with the return of the runner, in milliseconds. */
  upkeepMs: number
}

/** What to do now: machines to order into upkeep and machines to close for new work. */
export interface WavePlan {
  upkeep: string[]
  close: string[]
}

/** Largest share of a pool that is closed for a wave at once while there is time. */
const closingShare = 0.25

/** Time that finite tasks of a closed machine are given to end, as part of each round. */
const drainMs = 2_500

/**
 * Plans the next step of a wave. Machines without work go at once; others are closed for new work
 * first and go when their finite tasks have ended and their lasting tasks may be away. Fewer
 * machines of a pool are closed at once than the wave allows, unless time runs short.
 *
 * @example
 * const { upkeep, close } = planWave(state)
 */
export function planWave(state: WaveState): WavePlan {
  const upkeep: string[] = []
  const close: string[] = []
  let room = state.wave.maxAway - state.away
  const machines = [...state.machines].filter(({ isUp }) => isUp).sort(byEase)
  for (const machine of machines) {
    if (room < 1) break
    if (!isEmpty(machine)) continue
    upkeep.push(machine.id)
    room -= 1
  }
  const closing = new Map<string, number>()
  for (const { pool, isClosing } of machines) {
    if (isClosing) closing.set(pool, (closing.get(pool) ?? 0) + 1)
  }
  const isShort = isShortOfTime(state)
  for (const machine of machines) {
    if (machine.isClosing || upkeep.includes(machine.id) || room < 1) continue
    const inPool = closing.get(machine.pool) ?? 0
    const size = state.poolSizes.get(machine.pool) ?? 1
    if (!isShort && inPool >= Math.max(1, Math.floor(size * closingShare))) continue
    close.push(machine.id)
    closing.set(machine.pool, inPool + 1)
    room -= 1
  }
  return { upkeep, close }
}

/** Spare machines cost nobody anything; then those with least work. */
function byEase(a: WaveMachine, b: WaveMachine): number {
  return (
    Number(b.isSpare) - Number(a.isSpare) ||
    Number(b.isClosing) - Number(a.isClosing) ||
    a.lasting - b.lasting ||
    a.finite - b.finite
  )
}

function isEmpty(machine: WaveMachine): boolean {
  return machine.finite === 0 && (machine.lasting === 0 || machine.mayLose)
}

function isShortOfTime({ wave, machines, leftMs, upkeepMs }: WaveState): boolean {
  const rounds = Math.ceil(machines.length / Math.max(1, wave.maxAway))
  return leftMs < 2 * rounds * (upkeepMs + drainMs)
}
