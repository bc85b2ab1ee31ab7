import { randomUUID } from 'node:crypto'
import type { WorkerFaults } from './worker.js'

/** Number of ended tasks that are kept; the oldest are dropped first. */
const maxEndedTasks = 1_000

/** Amounts of a worker's resources; memory in MiB. */
export interface WorkerResources {
  cpus: number
  memoryMb: number
  accelerators: number
}

/** Body of `POST /tasks`. */
export interface TaskRequest extends WorkerResources {
  taskId: string
  jobId: string
  team: string
  fencingToken: number
  boot: string
  /** Time on the worker's clock after which the start is refused and the task id fenced. */
  startBefore: number
  /** Duration of the lease from the arrival of the request, in milliseconds. */
  leaseDeadlineMs: number
  payload: unknown
  checkpoint?: unknown
}

/** Called at each start of a task; the function that it returns is called when the task ends. */
export type OnTaskStart = (task: TaskRequest) => () => void

/** Body of `PUT /leases`. */
export interface LeaseRequest {
  taskIds: string[]
  /** End of the leases on the worker's clock, which `GET /tasks` reports. */
  until: number
  fencingToken: number
}

/**
 * State of a task on a worker. A `lapsed` task ended because its lease expired; the id of a `fenced`
 * task was blocked before the task ever started.
 */
export type WorkerTaskState = 'running' | 'finished' | 'failed' | 'stopped' | 'lapsed' | 'fenced'

/** A task as `GET /tasks` lists it. */
export interface WorkerTask {
  taskId: string
  jobId: string
  team: string
  state: WorkerTaskState
  /** False if the worker has never started the task. */
  started: boolean
  throttled: boolean
  runMs: number
  usage: WorkerResources
  checkpoint?: unknown
}

interface TaskEntry extends WorkerTask {
  startedAt: number
  leaseExpiresAt: number
  resources: WorkerResources
  canSaveCheckpoint: boolean
  timers: NodeJS.Timeout[]
  onEnd: (() => void) | undefined
}

const noResources: WorkerResources = { cpus: 0, memoryMb: 0, accelerators: 0 }

/**
 * Returns the usage that a task reports, which is less than its reservation. Otherwise task sizes that
 * are learned from usage plus a margin would grow without bound.
 */
function reportedUsage({ cpus, memoryMb, accelerators }: WorkerResources): WorkerResources {
  return { cpus: cpus * 0.9, memoryMb: memoryMb * 0.9, accelerators }
}

/** Simulates the tasks of a worker and their leases. */
export class WorkerTasks {
  readonly #capacity: WorkerResources
  readonly #faults: WorkerFaults
  readonly #onStart: OnTaskStart | undefined
  readonly #entries = new Map<string, TaskEntry>()
  readonly #startsByJob: Record<string, number> = {}
  readonly #runningByTeam: Record<string, number> = {}
  readonly #maxRunningByTeam: Record<string, number> = {}
  readonly #boot = randomUUID()
  #highestFencingToken = 0
  #renewalCalls = 0

  constructor(capacity: WorkerResources, faults: WorkerFaults, onStart?: OnTaskStart) {
    this.#capacity = capacity
    this.#faults = faults
    this.#onStart = onStart
  }

  start(req: TaskRequest) {
    if (!this.#acceptToken(req.fencingToken)) return this.#staleTokenResponse()
    const existing = this.#entries.get(req.taskId)
    if (existing?.state === 'running') return { status: 200, body: this.#toWorkerTask(existing) }
    // A task that has ended, or that was fenced before its start arrived, never starts.
    if (existing !== undefined) return { status: 409, body: this.#toWorkerTask(existing) }
    if (req.boot !== this.#boot || performance.now() > req.startBefore) {
      return { status: 409, body: this.#toWorkerTask(this.#addFencedEntry(req.taskId)) }
    }
    if (this.#faults.reject || !this.#hasCapacityFor(req)) {
      return { status: 507, body: { error: 'resources are lacking' } }
    }
    const { cpus, memoryMb, accelerators } = req
    const entry = this.#createEntry(req.taskId, req.jobId, req.team, {
      cpus,
      memoryMb,
      accelerators,
    })
    this.#entries.set(req.taskId, entry)
    this.#startsByJob[req.jobId] = (this.#startsByJob[req.jobId] ?? 0) + 1
    const running = (this.#runningByTeam[req.team] = (this.#runningByTeam[req.team] ?? 0) + 1)
    this.#maxRunningByTeam[req.team] = Math.max(this.#maxRunningByTeam[req.team] ?? 0, running)
    const payload = (req.payload ?? {}) as { runMs?: number; fail?: boolean; saves?: boolean }
    const { runMs = 50, fail = false, saves = true } = payload
    entry.canSaveCheckpoint = saves
    entry.leaseExpiresAt = performance.now() + req.leaseDeadlineMs
    entry.onEnd = this.#onStart?.(req)
    if (this.#faults.failAll) this.#end(entry, 'failed')
    else {
      const end = () => {
        this.#end(entry, fail ? 'failed' : 'finished')
      }
      entry.timers.push(setTimeout(end, runMs))
      this.#scheduleLeaseCheck(entry)
    }
    return { status: 201, body: this.#toWorkerTask(entry) }
  }

  /** Extends leases up to a time on this worker's clock; it never shortens them. */
  renew({ taskIds, until, fencingToken }: LeaseRequest) {
    this.#renewalCalls += 1
    if (!this.#acceptToken(fencingToken)) return this.#staleTokenResponse()
    const renewed = taskIds.filter(id => {
      const entry = this.#runningEntry(id)
      if (entry !== undefined) entry.leaseExpiresAt = Math.max(entry.leaseExpiresAt, until)
      return entry !== undefined
    })
    return { status: 200, body: { renewed } }
  }

  throttle(id: string, { fencingToken, on }: { fencingToken: number; on: boolean }) {
    return this.#updateRunning(id, fencingToken, entry => {
      entry.throttled = on
    })
  }

  checkpoint(id: string, fencingToken: number) {
    return this.#updateRunning(id, fencingToken, entry => {
      if (entry.canSaveCheckpoint) entry.checkpoint = { ranMs: performance.now() - entry.startedAt }
    })
  }

  /** Stops a task. An id that never started is fenced: a start that arrives later is refused. */
  stop(id: string, fencingToken: number) {
    if (!this.#acceptToken(fencingToken)) return this.#staleTokenResponse()
    const entry = this.#entries.get(id)
    if (entry !== undefined) this.#end(entry, 'stopped')
    return { status: 200, body: this.#toWorkerTask(entry ?? this.#addFencedEntry(id)) }
  }

  clock() {
    return { now: performance.now(), boot: this.#boot }
  }

  get(id: string) {
    const entry = this.#entries.get(id)
    if (entry === undefined) return { status: 404, body: { error: 'no such task' } }
    return { status: 200, body: this.#toWorkerTask(entry) }
  }

  list(): WorkerTask[] {
    return [...this.#entries.values()].map(entry => this.#toWorkerTask(entry))
  }

  counters() {
    return {
      startsByJob: this.#startsByJob,
      runningByTeam: this.#runningByTeam,
      maxRunningByTeam: this.#maxRunningByTeam,
      renewalCalls: this.#renewalCalls,
    }
  }

  close(): void {
    for (const entry of this.#entries.values()) this.#end(entry, 'stopped')
  }

  #createEntry(taskId: string, jobId: string, team: string, resources: WorkerResources): TaskEntry {
    return {
      taskId,
      jobId,
      team,
      state: 'running',
      started: true,
      throttled: false,
      runMs: 0,
      usage: noResources,
      startedAt: performance.now(),
      leaseExpiresAt: Infinity,
      resources,
      canSaveCheckpoint: true,
      timers: [],
      onEnd: undefined,
    }
  }

  #addFencedEntry(id: string): TaskEntry {
    const fenced = { state: 'fenced', started: false } as const
    const entry = { ...this.#createEntry(id, '', '', noResources), ...fenced }
    this.#entries.set(id, entry)
    return entry
  }

  /** Whether no higher fencing token was seen; records the token as the highest if so. */
  #acceptToken(token: number): boolean {
    if (token < this.#highestFencingToken) return false
    this.#highestFencingToken = token
    return true
  }

  #staleTokenResponse() {
    return { status: 409, body: { error: 'stale fencing token', seen: this.#highestFencingToken } }
  }

  /** Applies an update to a task if it runs, and responds with the task. */
  #updateRunning(id: string, token: number, update: (entry: TaskEntry) => void) {
    if (!this.#acceptToken(token)) return this.#staleTokenResponse()
    const entry = this.#entries.get(id)
    if (entry === undefined) return { status: 404, body: { error: 'no such task' } }
    if (this.#runningEntry(id) !== undefined) update(entry)
    return { status: 200, body: this.#toWorkerTask(entry) }
  }

  /**
   * Returns the task if it runs. Checks the lease, since after a pause of the process a call may be
   * handled before the timer of the lease.
   */
  #runningEntry(id: string): TaskEntry | undefined {
    const entry = this.#entries.get(id)
    if (entry !== undefined && performance.now() >= entry.leaseExpiresAt) this.#end(entry, 'lapsed')
    return entry?.state === 'running' ? entry : undefined
  }

  #hasCapacityFor(req: WorkerResources): boolean {
    const running = [...this.#entries.values()].filter(({ state }) => state === 'running')
    return (['cpus', 'memoryMb', 'accelerators'] as const).every(name => {
      const used = running.reduce((sum, { resources }) => sum + resources[name], 0)
      return used + req[name] <= this.#capacity[name]
    })
  }

  #scheduleLeaseCheck(entry: TaskEntry): void {
    const remainingMs = entry.leaseExpiresAt - performance.now()
    const check = () => {
      if (performance.now() >= entry.leaseExpiresAt) this.#end(entry, 'lapsed')
      else this.#scheduleLeaseCheck(entry)
    }
    entry.timers[1] = setTimeout(check, Math.max(1, remainingMs))
  }

  #end(entry: TaskEntry, state: WorkerTaskState): void {
    if (entry.state !== 'running') return
    entry.timers.forEach(clearTimeout)
    entry.onEnd?.()
    entry.state = state
    entry.runMs = performance.now() - entry.startedAt
    this.#runningByTeam[entry.team] = (this.#runningByTeam[entry.team] ?? 1) - 1
    const ended = [...this.#entries].filter(([, { state: entryState }]) => entryState !== 'running')
    for (const [id] of ended.slice(0, -maxEndedTasks)) this.#entries.delete(id)
  }

  #toWorkerTask(entry: TaskEntry): WorkerTask {
    const { taskId, jobId, team, state, started, throttled, checkpoint } = entry
    const { startedAt, resources } = entry
    const runMs = entry.state === 'running' ? performance.now() - startedAt : entry.runMs
    const isReported = runMs >= this.#faults.usageLagMs
    return {
      taskId,
      jobId,
      team,
      state,
      started,
      throttled,
      runMs,
      usage: isReported ? reportedUsage(resources) : noResources,
      ...(checkpoint === undefined ? {} : { checkpoint }),
    }
  }
}
