import type { Clock } from '@bulrushbridge/errors'
import type { WorkerRow, ResourceAmounts } from '@bulrushbridge/host'
import { WorkerError } from '@bulrushbridge/host'
import type { QueuedJob } from '@bulrushbridge/jobs'
import type { TaskPermits } from '@bulrushbridge/team-limit'
import {
  fits,
  freeResourcesByWorker,
  addResources,
  sumResources,
  subtractResources,
} from './work-resources.js'
import { chooseReclaim, type ReclaimableTask } from './choose-reclaim.js'
import type { LearnedSizes } from './learned-sizes.js'
import { TeamShareLevels } from './team-share-levels.js'
import type { TrackedTask } from './tracked-task.js'
import type { PlacementDecision, WorkerReconciler } from './worker-reconciler.js'

/** How long a job that is not urgent waits before capacity is reclaimed for it, in milliseconds. */
const reclaimDelayMs = 2_000

/** How long tasks are throttled before they stop for a job that is not urgent, in milliseconds. */
const throttleBeforeStopMs = 1_000

/**
 * How long capacity is reserved for a job, in milliseconds. The reservation ends because the start
 * of the job may fail for other reasons.
 */
const reservationMs = 5_000

/** A task that is expected to end within this time is not stopped, in milliseconds. */
const imminentEndMs = 2_000

/** Maximum number of ongoing reclaims, which bounds the calls to workers in one round. */
const maxOngoingReclaims = 20

/** Options of {@link Reclaimer}. */
export interface ReclaimerOptions {
  clock: Clock
  reconciler: WorkerReconciler
  permits: TaskPermits
  tasks: ReadonlyMap<string, TrackedTask>
  sizes: LearnedSizes
  /** Called when the limit of a team admits no further task. */
  onTeamAtLimit(team: string): void
  onDecision?(decision: PlacementDecision): void
  onError?(err: unknown): void
}

/** Input of one round of reclaims. */
export interface ReclaimRoundInput {
  /** Unplaced jobs of teams that are below their limits, urgent ones first, then older ones. */
  jobs: readonly QueuedJob[]
  /** Workers that may take jobs. */
  workers: readonly WorkerRow[]
  shares: ReadonlyMap<string, number>
  sizeOf(job: QueuedJob): ResourceAmounts
}

/** A reclaim of capacity for one job. */
interface OngoingReclaim {
  job: QueuedJob
  worker: string
  size: ResourceAmounts
  /** Tasks that are throttled and then stopped, newest first. */
  tasks: TrackedTask[]
  stopAt: number
  reservedUntil: number
}

/**
 * Reclaims capacity for jobs of teams below their share. Tasks of teams above their share are
 * throttled, then checkpointed, stopped and requeued. The capacity is reserved for the job, so that
 * a requeued task cannot take it. Reclaims are not stored: a new holder of the duty waits and
 * chooses again.
 */
export class Reclaimer {
  readonly #opts: ReclaimerOptions
  readonly #ongoing = new Map<string, OngoingReclaim>()
  #waitingSince = new Map<string, number>()

  constructor(opts: ReclaimerOptions) {
    this.#opts = opts
  }

  /** Ids of the workers on which capacity is reserved, by job id. */
  reservedWorkers(): Map<string, string> {
    return new Map([...this.#ongoing.values()].map(({ job, worker }) => [job.id, worker]))
  }

  /** Continues the ongoing reclaims and begins those that are due. */
  async run(round: ReclaimRoundInput): Promise<void> {
    const now = this.#opts.clock.now()
    const previousWaitingSince = this.#waitingSince
    this.#waitingSince = new Map(
      round.jobs.map(({ id }) => [id, previousWaitingSince.get(id) ?? now]),
    )
    for (const each of [...this.#ongoing.values()]) await this.#continue(each, round)
    // One job per team and round, so that the next choice includes the effects of this one.
    const triedTeams = new Set<string>()
    for (const job of round.jobs) {
      if (this.#ongoing.size >= maxOngoingReclaims) return
      const since = this.#waitingSince.get(job.id) ?? now
      const isDue = job.urgent || now - since >= reclaimDelayMs
      if (!isDue || triedTeams.has(job.team) || this.#ongoing.has(job.id)) continue
      triedTeams.add(job.team)
      await this.#begin(job, round)
    }
  }

  async #begin(job: QueuedJob, round: ReclaimRoundInput): Promise<void> {
    const { clock, permits } = this.#opts
    const size = round.sizeOf(job)
    const { levels, free } = this.#projectUsage(round)
    const hasRoom = round.workers.some(({ id }) => fits(free.get(id) ?? sumResources([]), size))
    // The job does not wait for capacity, or starts in the next round.
    if (hasRoom || levels.levelOf(job.team) >= 1) return
    const { team } = job
    const tasks = this.#reclaimableTasks()
    const reclaim = chooseReclaim({ team, size, workers: round.workers, free, tasks, levels })
    if (reclaim === undefined) return
    // A team at its limit could not use the capacity.
    if ((await permits.reserveForTask(team, 1)) === undefined) {
      this.#opts.onTeamAtLimit(team)
      return
    }
    const now = clock.now()
    const ongoing: OngoingReclaim = {
      job,
      worker: reclaim.worker.id,
      size,
      tasks: reclaim.tasks.flatMap(({ row }) => this.#opts.tasks.get(row.taskId) ?? []),
      stopAt: job.urgent ? now : now + throttleBeforeStopMs,
      reservedUntil: now + reservationMs + (job.urgent ? 0 : throttleBeforeStopMs),
    }
    this.#ongoing.set(job.id, ongoing)
    for (const task of ongoing.tasks) {
      this.#recordDecision('throttle', task, job, levels.levelOf(task.row.team))
    }
    await this.#setThrottled(ongoing, true)
    if (job.urgent) await this.#continue(ongoing, round)
  }

  async #continue(ongoing: OngoingReclaim, round: ReclaimRoundInput): Promise<void> {
    const { job, worker, size } = ongoing
    const now = this.#opts.clock.now()
    const isWaiting = round.jobs.some(({ id }) => id === job.id)
    const isWorkerAvailable = round.workers.some(({ id }) => id === worker)
    const { levels, free } = this.#projectUsage(round, ongoing)
    const hasRoom = ({ id }: WorkerRow) => fits(free.get(id) ?? sumResources([]), size)
    const hasOwnRoom = round.workers.some(each => each.id === worker && hasRoom(each))
    const hasRoomElsewhere = !hasOwnRoom && round.workers.some(hasRoom)
    if (!isWaiting || !isWorkerAvailable || hasRoomElsewhere || now >= ongoing.reservedUntil) {
      this.#ongoing.delete(job.id)
      await this.#setThrottled(ongoing, false)
      return
    }
    const available = free.get(worker)
    if (now >= ongoing.stopAt && available !== undefined)
      await this.#stopTasks(ongoing, levels, available)
  }

  /** Stops the newest tasks first, until enough capacity is free for the job. */
  async #stopTasks(
    ongoing: OngoingReclaim,
    levels: TeamShareLevels,
    available: ResourceAmounts,
  ): Promise<void> {
    const { job, size } = ongoing
    const levelWithJob = levels.levelOf(job.team, [size])
    for (const task of ongoing.tasks) {
      if (fits(available, size)) return
      const { row } = task
      const level = levels.levelOf(row.team)
      if (!this.#opts.tasks.has(row.taskId) || level <= 1 || level <= levelWithJob) continue
      try {
        if (!(await this.#opts.reconciler.checkpointAndStop(task))) continue
      } catch (err) {
        if (!(err instanceof WorkerError)) throw err
        this.#opts.onError?.(err)
        continue
      }
      this.#recordDecision('checkpoint-and-stop', task, job, level)
      addResources(available, row)
      levels.remove(row.team, row)
    }
    // If too few tasks stopped, the reclaim ends and a later round chooses among the other tasks.
    if (!fits(available, size)) ongoing.reservedUntil = -Infinity
  }

  /** Share levels and free resources as they will be after all ongoing reclaims except one. */
  #projectUsage({ jobs, workers, shares }: ReclaimRoundInput, except?: OngoingReclaim) {
    const others = [...this.#ongoing.values()].filter(each => each !== except)
    const tasksToStop = new Set(others.flatMap(({ tasks }) => tasks))
    const remainingTasks = [...this.#opts.tasks.values()].filter(task => !tasksToStop.has(task))
    const usage = remainingTasks.map(({ row }) => row)
    const waitingTeams = jobs.map(({ team }) => team)
    const levels = new TeamShareLevels({
      capacity: sumResources(workers),
      shares,
      usage,
      waitingTeams,
    })
    const free = freeResourcesByWorker(workers, usage)
    for (const { job, worker, size } of others) {
      levels.add(job.team, size)
      const workerFree = free.get(worker)
      if (workerFree !== undefined) subtractResources(workerFree, size)
    }
    return { levels, free }
  }

  /** Running tasks that may be stopped and that no ongoing reclaim stops already. */
  #reclaimableTasks(): ReclaimableTask[] {
    const { sizes } = this.#opts
    const tasksToStop = new Set([...this.#ongoing.values()].flatMap(({ tasks }) => tasks))
    return [...this.#opts.tasks.values()].flatMap(task => {
      const { row, reportedRunMs = 0, isNotCheckpointable = false } = task
      const remainingMs = (sizes.meanRunMs(row.kind) ?? Infinity) - reportedRunMs
      const endsSoon = remainingMs > 0 && remainingMs <= imminentEndMs
      const isReclaimable =
        row.state === 'running' && row.idempotent && !isNotCheckpointable && !endsSoon
      return isReclaimable && !tasksToStop.has(task) ? [{ row, ageMs: reportedRunMs }] : []
    })
  }

  /** Throttles tasks or ends it. Throttling is optional, so failed calls are only reported. */
  async #setThrottled({ tasks }: OngoingReclaim, isThrottled: boolean): Promise<void> {
    const running = tasks.filter(({ row }) => this.#opts.tasks.has(row.taskId))
    const calls = running.map(async task => {
      await this.#opts.reconciler.setThrottled(task, isThrottled).catch((err: unknown) => {
        if (!(err instanceof WorkerError)) throw err
        this.#opts.onError?.(err)
      })
    })
    await Promise.all(calls)
  }

  #recordDecision(action: string, { row }: TrackedTask, job: QueuedJob, level: number): void {
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
