import type { Amounts } from './amounts.js'

/** A runner's own entry in the registry. */
export interface RunnerEntry {
  id: string
  pool: string
  /** `ip:port` of the runner. */
  address: string
  zone: string
  /** It is about to end: it gets no new tasks, and its lasting tasks move to other runners. */
  isDraining: boolean
  capacity: Amounts
  /** The kind of the runner, followed by its rack. */
  labels: string[]
  /**
   * When the runner started, in Unix milliseconds. After a restart it does not know earlier runs.
   */
  startedAt: number
}

/** A machine of the fleet. It has one runner at a time, and a new one after it has restarted. */
export interface Machine {
  id: string
  pool: string
  state: 'up' | 'moving' | 'upkeep' | 'down'
  zone: string
  labels: string[]
  capacity: Amounts
  /** Runner on the machine; undefined if there is none. */
  runnerId: string | undefined
}

/** An operator's request to give upkeep to a set of machines within a time. */
export interface UpkeepWave {
  id: number
  machines: string[]
  /** Time for the whole wave, in milliseconds. */
  timeMs: number
  /** Most machines of the wave that may be in upkeep, or possibly in upkeep, at once. */
  maxUnavailable: number
}

/** A run that a runner reports as present. */
export interface ReportedRun {
  task: string
  run: number
  checkpoint: string
  /** Progress of the task, in percent; for a lasting task, 100 means that it is working. */
  percent: number
  /** For a serving task its tail latency in milliseconds, else the thousandths of a core in use. */
  usage: number | undefined
}

/**
 * Ways in which a run can end, as runners report them. A run that ends as `done` has finished its
 * task, and one that ends as `failed` uses one attempt of it. A run is `stopped` by an order. After
 * any other end than `done` and `failed`, the task may run again without the loss of an attempt.
 */
export const runEnds = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const

/** One of {@link runEnds}. */
export type RunEnd = (typeof runEnds)[number]

/** The end of a run, which the runner reports again until it is acknowledged. */
export interface ReportedEnd {
  /** Counts the ends of a runner from 1; starts again when the runner restarts. */
  number: number
  task: string
  run: number
  /** How the run ended. */
  how: RunEnd
  checkpoint: string
}

/** A runner's answer to a poll: the runs that are present and those that have ended. */
export interface RunnerReport {
  /** Reading of the runner's clock. */
  clockMs: number
  /** When the runner started, in Unix milliseconds. */
  startedAt: number | undefined
  running: ReportedRun[]
  ended: ReportedEnd[]
  /** The runner has ended more runs than it lists, until these are acknowledged. */
  hasMoreEnds: boolean
}
