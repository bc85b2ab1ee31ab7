import type { RunnerStart } from '@bulrushbridge/standins'

/** A request whose work a runner has started. */
export interface RecordedStart extends RunnerStart {
  /** Time of the start, on the clock of `performance.now()`. */
  startedAt: number
  /** Requests of the team that ran at that time on all runners, including this one. */
  runningOfTeam: number
}

/** Records the starts at all runners of a system and counts the running requests. */
export interface RunRecorder {
  readonly starts: RecordedStart[]
  /** Returns the number of requests that run now on all runners. */
  countRunning(): number
  /** Records a start; the function that it returns records the end of that work. */
  onStart: (start: RunnerStart) => () => void
  /** Removes the recorded starts; requests that still run stay counted. */
  clear(): void
}

/**
 * Creates a recorder whose `onStart` is passed to the runner stand-ins of this process.
 *
 * @example
 * const recorder = createRunRecorder()
 * const testbed = await createTestbed({ onStart: recorder.onStart })
 */
export function createRunRecorder(): RunRecorder {
  const starts: RecordedStart[] = []
  const runningByTeam = new Map<string, number>()
  const changeRunning = (team: string, delta: number): number => {
    const running = (runningByTeam.get(team) ?? 0) + delta
    runningByTeam.set(team, running)
    return running
  }
  return {
    starts,
    countRunning: () => [...runningByTeam.values()].reduce((sum, running) => sum + running, 0),
    onStart: start => {
      starts.push({
        ...start,
        startedAt: performance.now(),
        runningOfTeam: changeRunning(start.team, 1),
      })
      return () => {
        changeRunning(start.team, -1)
      }
    },
    clear: () => {
      starts.length = 0
    },
  }
}
