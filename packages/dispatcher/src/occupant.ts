import { noAmounts, reservedAmounts, type Amounts, type Task } from '@bulrushbridge/scheduler'

/**
 * State of a run on a runner: `recorded` is stored and not ordered yet, `ordered` has an order
 * without an answer, `present` has started as far as is known, `stopping` has been told to stop.
 */
export type OccupantState = 'recorded' | 'ordered' | 'present' | 'stopping'

/** A run that occupies room on a runner, or may do so. */
export interface Occupant {
  readonly name: string
  readonly run: number
  /** Undefined for a run of a job that is not known any more. */
  readonly task: Task | undefined
  readonly amounts: Amounts
  /** Life of the runner on which the run was recorded. */
  readonly runnerBornAt: number
  state: OccupantState
  /** When the runner confirmed the start or first listed the run. */
  confirmedAt: number | undefined
  /** When the order to start was first sent. */
  orderedAt: number | undefined
  percent: number
  /** When `percent` last changed. */
  percentAt: number
  usage: number | undefined
  /** Share at which the run was told to work, in percent. */
  pacedTo: number
}

/** Key of a run on its runner. */
export function occupantKey(name: string, run: number): string {
  return `${name}#${run}`
}

/** The occupant for the task's present run, or for a run that is named. */
export function createOccupant(
  task: Task | undefined,
  runnerBornAt: number,
  id?: { name: string; run: number },
): Occupant {
  return {
    name: id?.name ?? task?.name ?? '',
    run: id?.run ?? task?.run?.number ?? 0,
    task,
    amounts: task === undefined ? noAmounts : reservedAmounts(task.step),
    runnerBornAt,
    state: id === undefined ? 'recorded' : 'present',
    confirmedAt: undefined,
    orderedAt: undefined,
    percent: 0,
    percentAt: performance.now(),
    usage: undefined,
    pacedTo: 100,
  }
}
