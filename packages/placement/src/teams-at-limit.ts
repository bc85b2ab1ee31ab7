import type { Clock } from '@bulrushbridge/errors'
import type { TrackedTask } from './tracked-task.js'

/**
 * How long a team counts as being at its limit, in milliseconds. The time is short, because entry
 * hosts may return permits.
 */
const atLimitMs = 1_000

/**
 * Teams whose upper limit recently admitted no further task. Their jobs are left out of the choice
 * of placements, because the capacity chosen for them would stay unused.
 */
export class TeamsAtLimit {
  readonly #clock: Clock
  readonly #tasks: ReadonlyMap<string, TrackedTask>
  readonly #entries = new Map<string, { endsAt: number; taskCount: number }>()

  constructor(clock: Clock, tasks: ReadonlyMap<string, TrackedTask>) {
    this.#clock = clock
    this.#tasks = tasks
  }

  add(team: string): void {
    this.#entries.set(team, {
      endsAt: this.#clock.now() + atLimitMs,
      taskCount: this.#countTasks(team),
    })
  }

  /** Teams still at their limit; a team that has fewer tasks than when it was added is removed. */
  teams(): Set<string> {
    const now = this.#clock.now()
    for (const [team, { endsAt, taskCount }] of this.#entries) {
      if (now >= endsAt || this.#countTasks(team) < taskCount) this.#entries.delete(team)
    }
    return new Set(this.#entries.keys())
  }

  #countTasks(team: string): number {
    return [...this.#tasks.values()].filter(({ row }) => row.team === team).length
  }
}
