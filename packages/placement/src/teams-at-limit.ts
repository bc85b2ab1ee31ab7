import type { Clock } from '@bulrushbridge/errors'
import type { TrackedTask } from './tracked-task.js'

/** How long a team counts as being at its limit, in milliseconds; entry hosts may return permits. */
const atLimitMs = 1_000

/**
 * Teams whose upper limit admitted no further task a moment ago. Their jobs are left out of the
 * choice, because the room chosen for them would stay empty.
 */
export class TeamsAtLimit {
  readonly #clock: Clock
  readonly #tasks: ReadonlyMap<string, TrackedTask>
  readonly #entries = new Map<string, { until: number; running: number }>()

  constructor(clock: Clock, tasks: ReadonlyMap<string, TrackedTask>) {
    this.#clock = clock
    this.#tasks = tasks
  }

  add(team: string): void {
    this.#entries.set(team, {
      until: this.#clock.now() + atLimitMs,
      running: this.#countTasks(team),
    })
  }

  /** The end of one of its tasks admits another, so a team with fewer tasks is not capped. */
  teams(): Set<string> {
    const now = this.#clock.now()
    for (const [team, { until, running }] of this.#entries) {
      if (now >= until || this.#countTasks(team) < running) this.#entries.delete(team)
    }
    return new Set(this.#entries.keys())
  }

  #countTasks(team: string): number {
    return [...this.#tasks.values()].filter(({ row }) => row.team === team).length
  }
}
