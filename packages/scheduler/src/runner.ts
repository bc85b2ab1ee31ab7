import type { Amounts } from './amounts.js'

/** What a runner says of itself in the registry. */
export interface RunnerEntry {
  id: string
  pool: string
  /** `ip:port` of the runner. */
  address: string
  zone: string
  isDraining: boolean
  capacity: Amounts
  /** The runner's kind and its rack. */
  labels: string[]
  /** Start of this life of the runner, wall-clock milliseconds; a later life knows nothing of it. */
  bornAt: number
}

/** A machine of the fleet; a runner is one life of a machine. */
export interface Machine {
  id: string
  pool: string
  state: 'up' | 'moving' | 'upkeep' | 'down'
  zone: string
  labels: string[]
  capacity: Amounts
  /** Runner on the machine, when there is one. */
  runnerId: string | undefined
}

/** An operator's request that machines have their upkeep in time. */
export interface Wave {
  id: number
  machines: string[]
  /** Time for the whole wave, in milliseconds. */
  timeMs: number
  /** Most machines of the wave that may be down for upkeep at once. */
  maxAway: number
}

/** A run that a runner lists as present. */
export interface ListedRun {
  task: string
  run: number
  checkpoint: string
  /** Progress of a task that ends; for a lasting task 100 means that it is at work. */
  percent: number
  /** Tail latency in ms of a serving task, thousandths of a core in use of any other. */
  usage: number | undefined
}

/** How a run ended. */
export const runEnds = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const

/** One of {@link runEnds}. */
export type RunEnd = (typeof runEnds)[number]

/** An end that a runner repeats until it is acknowledged. */
export interface ListedEnd {
  /** Rises from 1 in each life of the runner. */
  number: number
  task: string
  run: number
  how: RunEnd
  checkpoint: string
}

/** What a runner lists. */
export interface RunnerReport {
  clockMs: number
  bornAt: number | undefined
  running: ListedRun[]
  ended: ListedEnd[]
}
