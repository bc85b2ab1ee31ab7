import {
  mustRunAlone,
  noAmounts,
  reservedAmounts,
  type Amounts,
  type Task,
} from '@bulrushbridge/scheduler'

/**
 * State of a run on a runner. `recorded`: stored or being stored, no start order sent in this term.
 * `ordered`: start order sent, not answered. `present`: started, by the answer to the order or by
 * the runner's list of runs. `stopping`: a stop order has been or is being sent.
 */
export type AllocationState = 'recorded' | 'ordered' | 'present' | 'stopping'

/** The resources that a run takes, or may take, on a runner, and what is known of the run there. */
export interface Allocation {
  /** Name of the task. */
  readonly taskName: string
  /** Number of the run; counts the runs of the task from 1. */
  readonly runNumber: number
  /** Undefined for a run of a job that is no longer known. */
  readonly task: Task | undefined
  readonly amounts: Amounts
  /**
   * Start time of the runner's incarnation for which the run was recorded, or that last listed it; 0
   * if not known.
   */
  runnerStartedAt: number
  /** Checkpoint from which the run resumes; empty if there is none. All members of a gang have the same. */
  readonly checkpoint: string
  /** Crashes of runners under the task when the run was recorded. */
  readonly crashes: number
  /** The run must be alone on its runner. */
  readonly isAlone: boolean
  /** The run was ordered, in this term or in an earlier one, so the runner may have started it. */
  mayHaveStarted: boolean
  /** The end of the runner's incarnation has been reported for the run. */
  isLossReported: boolean
  state: AllocationState
  /** When the runner confirmed the start or first listed the run. */
  confirmedAt: number | undefined
  /** When the order to start was first sent. */
  orderedAt: number | undefined
  /** Progress that the runner last reported, in percent. */
  percent: number
  /** When `percent` last changed. */
  percentAt: number
  /**
   * Value that the runner last reported: for a serving task (its step has `targetMs`) the tail
   * latency in ms, for any other task the thousandths of a core in use.
   */
  usage: number | undefined
  /** Share of its time (duty cycle) for which the run was last ordered to work, in percent. */
  pacePercent: number
}

/** Key of a run among the allocations of its runner. */
export function allocationKey(name: string, run: number): string {
  return `${name}#${run}`
}

/**
 * Creates the allocation of a task's current run, or with `id` of a run that a runner reports and
 * that was not expected there.
 */
export function createAllocation(
  task: Task | undefined,
  runnerStartedAt: number,
  id?: { name: string; run: number },
): Allocation {
  return {
    taskName: id?.name ?? task?.name ?? '',
    runNumber: id?.run ?? task?.run?.number ?? 0,
    task,
    amounts: task === undefined ? noAmounts : reservedAmounts(task.step),
    runnerStartedAt,
    checkpoint: checkpointOf(task),
    crashes: task?.crashes ?? 0,
    isAlone: task !== undefined && mustRunAlone(task),
    mayHaveStarted: id !== undefined,
    isLossReported: false,
    state: id === undefined ? 'recorded' : 'present',
    confirmedAt: undefined,
    orderedAt: undefined,
    percent: 0,
    percentAt: performance.now(),
    usage: undefined,
    pacePercent: 100,
  }
}

/** Members of a gang list checkpoints at different times; that of any member is valid for all. */
function checkpointOf(task: Task | undefined): string {
  if (task?.step.definition.isGang !== true) return task?.checkpoint ?? ''
  return task.step.tasks.lastCheckpoint
}
