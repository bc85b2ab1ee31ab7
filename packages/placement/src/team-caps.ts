import type { Clock } from '@bulrushbridge/errors'
import type { KnownTask } from './known-task.js'

/** How long a team counts as being at its limit, in milliseconds; entry hosts may return permits. */
const capMs = 1_000

/**
 * Teams whose upper limit admitted no further task a moment ago. Their jobs are left out of the
 * choice, because the room chosen for them would stay empty.
 */
export class TeamCaps {
  readonly #clock: Clock
  readonly #tasks: ReadonlyMap<string, KnownTask>
  readonly #caps = new Map<string, { until: number; running: number }>()

  constructor(clock: Clock, tasks: ReadonlyMap<string, KnownTask>) {
    this.#clock = clock
    this.#tasks = tasks
  }

  mark(team: string): void {
    this.#caps.set(team, { until: this.#clock.now() + capMs, running: this.#running(team) })
  }

  /** The end of one of its tasks admits another, so a team with fewer tasks is not capped. */
  capped(): Set<string> {
    const now = this.#clock.now()
    for (const [team, { until, running }] of this.#caps) {
      if (now >= until || this.#running(team) < running) this.#caps.delete(team)
    }
    return new Set(this.#caps.keys())
  }

  #running(team: string): number {
    return [...this.#tasks.values()].filter(({ row }) => row.team === team).length
  }
}
