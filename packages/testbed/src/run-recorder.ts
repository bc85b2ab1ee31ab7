import type { RunnerStart } from '@bulrushbridge/standins'

/** A start of work at some runner; times on `performance.now()`. */
export interface RecordedStart extends RunnerStart {
  at: number
  /** Requests of the team that ran at that moment, this one included, over all runners. */
  running: number
}

/** Counts over all runners of a system what started and what runs. */
export interface RunRecorder {
  readonly starts: RecordedStart[]
  /** Requests that run now at any runner. */
  running(): number
  onStart: (start: RunnerStart) => () => void
  /** Forgets earlier starts; requests that still run stay counted. */
  clear(): void
}

/**
 * Creates a recorder to pass to the runner stand-ins of this process.
 *
 * @example
 * const recorder = createRunRecorder()
 * const bed = await createTestbed({ onStart: recorder.onStart })
 */
export function createRunRecorder(): RunRecorder {
  const starts: RecordedStart[] = []
  const byTeam = new Map<string, number>()
  const add = (team: string, by: number): number => {
    const running = (byTeam.get(team) ?? 0) + by
    byTeam.set(team, running)
    return running
  }
  return {
    starts,
    running: () => [...byTeam.values()].reduce((sum, running) => sum + running, 0),
    onStart: start => {
      starts.push({ ...start, at: performance.now(), running: add(start.team, 1) })
      return () => {
        add(start.team, -1)
      }
    },
    clear: () => {
      starts.length = 0
    },
  }
}
