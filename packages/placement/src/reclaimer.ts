import type { Clock } from '@bulrushbridge/errors'
import type { WorkerRow, WorkResources } from '@bulrushbridge/host'
import { WorkerError } from '@bulrushbridge/host'
import type { QueuedJob } from '@bulrushbridge/jobs'
import type { TaskPermits } from '@bulrushbridge/team-limit'
import { fits, freeByWorker, giveBack, sumOf, take } from './amounts.js'
import { chooseReclaim, type ReclaimableTask } from './choose-reclaim.js'
import type { LearnedSizes } from './learned-sizes.js'
import { TeamLevels } from './team-levels.js'
import type { KnownTask } from './known-task.js'
import type { PlacementDecision, WorkerVisits } from './worker-visits.js'

/** How long a job that is not urgent waits before it may reclaim, in milliseconds. */
const patienceMs = 2_000

/** How long a task is throttled before it is stopped for a job that is not urgent. */
const throttleMs = 1_000

/** How long room is kept for a job, in milliseconds; its start may fail for other reasons. */
const reservationMs = 5_000

/** A task that is expected to end within this time is left to end, in milliseconds. */
const endsSoonMs = 2_000

/** Reclaims under way at once, which bounds the calls of one round. */
const maxOngoing = 20

/** Options of {@link Reclaimer}. */
export interface ReclaimerOptions {
  clock: Clock
  visits: WorkerVisits
  permits: TaskPermits
  tasks: ReadonlyMap<string, KnownTask>
  sizes: LearnedSizes
  /** The team's limit admits no further task. */
  onCapped(team: string): void
  onDecision?(decision: PlacementDecision): void
  onError?(err: unknown): void
}

/** What one round of reclaims works on. */
export interface ReclaimRound {
  /** Jobs that found no room, of teams whose limit admits more; urgent ones and older ones first. */
  jobs: readonly QueuedJob[]
  /** Workers that may take jobs. */
  workers: readonly WorkerRow[]
  shares: ReadonlyMap<string, number>
  sizeOf(job: QueuedJob): WorkResources
}

/** Room that is being made for one job. */
interface Ongoing {
  job: QueuedJob
  worker: string
  size: WorkResources
  /** Tasks that are throttled and will be stopped, newest first. */
  tasks: KnownTask[]
  stopAt: number
  until: number
}

/**
 * Makes room for jobs of teams below their share: tasks of teams above theirs are throttled, then
 * checkpointed, stopped and requeued. The room is reserved for the job, so that a requeued task
 * does not take it back. Nothing of this is stored: a new holder waits and chooses again.
 */
export class Reclaimer {
  readonly #opts: ReclaimerOptions
  readonly #ongoing = new Map<string, Ongoing>()
  #waitingSince = new Map<string, number>()

  constructor(opts: ReclaimerOptions) {
    this.#opts = opts
  }

  /** The worker on which room is kept, by job id. */
  reserved(): Map<string, string> {
    return new Map([...this.#ongoing.values()].map(({ job, worker }) => [job.id, worker]))
  }

  /** Goes on with the reclaims under way and begins those that are due. */
  async run(round: ReclaimRound): Promise<void> {
    const now = this.#opts.clock.now()
    const before = this.#waitingSince
    this.#waitingSince = new Map(round.jobs.map(({ id }) => [id, before.get(id) ?? now]))
    for (const each of [...this.#ongoing.values()]) await this.#continue(each, round)
    // One job per team and round: the next one is chosen with what this one has changed.
    const tried = new Set<string>()
    for (const job of round.jobs) {
      if (this.#ongoing.size >= maxOngoing) return
      const since = this.#waitingSince.get(job.id) ?? now
      const isDue = job.urgent || now - since >= patienceMs
      if (!isDue || tried.has(job.team) || this.#ongoing.has(job.id)) continue
      tried.add(job.team)
      await this.#begin(job, round)
    }
  }

  async #begin(job: QueuedJob, round: ReclaimRound): Promise<void> {
    const { clock, permits } = this.#opts
    const size = round.sizeOf(job)
    const { levels, free } = this.#room(round)
    const open = round.workers.some(({ id }) => fits(free.get(id) ?? sumOf([]), size))
    // The job waits for something other than room, or its start comes in the next round.
    if (open || levels.of(job.team) >= 1) return
    const { team } = job
    const tasks = this.#reclaimable()
    const chosen = chooseReclaim({ team, size, workers: round.workers, free, tasks, levels })
    if (chosen === undefined) return
    // Room is of no use to a team whose limit admits no further task.
    if ((await permits.reserveForTask(team, 1)) === undefined) {
      this.#opts.onCapped(team)
      return
    }
    const now = clock.now()
    const ongoing: Ongoing = {
      job,
      worker: chosen.worker.id,
      size,
      tasks: chosen.tasks.flatMap(({ row }) => this.#opts.tasks.get(row.taskId) ?? []),
      stopAt: job.urgent ? now : now + throttleMs,
      until: now + reservationMs + (job.urgent ? 0 : throttleMs),
    }
    this.#ongoing.set(job.id, ongoing)
    for (const task of ongoing.tasks) {
      this.#record('throttle', task, job, levels.of(task.row.team))
    }
    await this.#throttle(ongoing, true)
    if (job.urgent) await this.#continue(ongoing, round)
  }

  async #continue(ongoing: Ongoing, round: ReclaimRound): Promise<void> {
    const { job, worker, size } = ongoing
    const now = this.#opts.clock.now()
    const isWaiting = round.jobs.some(({ id }) => id === job.id)
    const isOpen = round.workers.some(({ id }) => id === worker)
    const { levels, free } = this.#room(round, ongoing)
    const hasRoom = ({ id }: WorkerRow) => fits(free.get(id) ?? sumOf([]), size)
    const hasOwnRoom = round.workers.some(each => each.id === worker && hasRoom(each))
    const isServed = !hasOwnRoom && round.workers.some(hasRoom)
    if (!isWaiting || !isOpen || isServed || now >= ongoing.until) {
      this.#ongoing.delete(job.id)
      await this.#throttle(ongoing, false)
      return
    }
    const room = free.get(worker)
    if (now >= ongoing.stopAt && room !== undefined) await this.#stopTasks(ongoing, levels, room)
  }

  /** Stops the newest first, and none when enough has ended meanwhile. */
  async #stopTasks(ongoing: Ongoing, levels: TeamLevels, room: WorkResources): Promise<void> {
    const { job, size } = ongoing
    const reached = levels.of(job.team, [size])
    for (const task of ongoing.tasks) {
      if (fits(room, size)) return
      const { row } = task
      const level = levels.of(row.team)
      if (!this.#opts.tasks.has(row.taskId) || level <= 1 || level <= reached) continue
      try {
        if (!(await this.#opts.visits.takeOff(task))) continue
      } catch (err) {
        if (!(err instanceof WorkerError)) throw err
        this.#opts.onError?.(err)
        continue
      }
      this.#record('checkpoint-and-stop', task, job, level)
      giveBack(room, row)
      levels.remove(row.team, row)
    }
    // The choice is repeated without the tasks that could not be stopped.
    if (!fits(room, size)) ongoing.until = -Infinity
  }

  /** Levels and free amounts as they will be after the reclaims under way but one. */
  #room({ jobs, workers, shares }: ReclaimRound, except?: Ongoing) {
    const others = [...this.#ongoing.values()].filter(each => each !== except)
    const ending = new Set(others.flatMap(({ tasks }) => tasks))
    const staying = [...this.#opts.tasks.values()].filter(task => !ending.has(task))
    const usage = staying.map(({ row }) => row)
    const waiting = jobs.map(({ team }) => team)
    const levels = new TeamLevels({ capacity: sumOf(workers), shares, usage, waiting })
    const free = freeByWorker(workers, usage)
    for (const { job, worker, size } of others) {
      levels.add(job.team, size)
      const left = free.get(worker)
      if (left !== undefined) take(left, size)
    }
    return { levels, free }
  }

  #reclaimable(): ReclaimableTask[] {
    const { sizes } = this.#opts
    const ending = new Set([...this.#ongoing.values()].flatMap(({ tasks }) => tasks))
    return [...this.#opts.tasks.values()].flatMap(task => {
      const { row, ranMs = 0, hasNoCheckpoint = false } = task
      const leftMs = (sizes.runMs(row.kind) ?? Infinity) - ranMs
      const endsSoon = leftMs > 0 && leftMs <= endsSoonMs
      const isOpen = row.state === 'running' && row.idempotent && !hasNoCheckpoint && !endsSoon
      return isOpen && !ending.has(task) ? [{ row, ageMs: ranMs }] : []
    })
  }

  /** Throttling is a help only, so an unanswered call changes nothing. */
  async #throttle({ tasks }: Ongoing, on: boolean): Promise<void> {
    const running = tasks.filter(({ row }) => this.#opts.tasks.has(row.taskId))
    const calls = running.map(async task => {
      await this.#opts.visits.throttle(task, on).catch((err: unknown) => {
        if (!(err instanceof WorkerError)) throw err
        this.#opts.onError?.(err)
      })
    })
    await Promise.all(calls)
  }

  #record(action: string, { row }: KnownTask, job: QueuedJob, level: number): void {
    const observed = {
      team: row.team,
      level,
      worker: row.worker,
      waitingTeam: job.team,
      waitingJob: job.id,
      urgent: job.urgent,
    }
    const subject = { kind: 'job', id: row.jobId }
    this.#opts.onDecision?.({ subject, rule: 'share-reclaim', observed, action })
  }
}
