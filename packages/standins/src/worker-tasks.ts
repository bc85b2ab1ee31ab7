import { randomUUID } from 'node:crypto'
import type { WorkerFaults } from './worker.js'

/** Ended tasks that are still listed; an older one is forgotten. */
const maxEnded = 1_000

/** Amounts of a worker's resources. */
export interface WorkerResources {
  cpus: number
  memoryMb: number
  accelerators: number
}

/** Body of `POST /tasks`; `leaseDeadlineMs` counts from the arrival. */
export interface TaskRequest extends WorkerResources {
  taskId: string
  jobId: string
  team: string
  fencingToken: number
  boot: string
  /** On the worker's clock; a later start is refused and its id fenced. */
  startBefore: number
  leaseDeadlineMs: number
  payload: unknown
  checkpoint?: unknown
}

/** Told of each start of a task; what it returns is called at the end of the task. */
export type OnTaskStart = (task: TaskRequest) => () => void

/** Body of `PUT /leases`; `until` is on the worker's clock, as `GET /tasks` reports it. */
export interface LeaseRequest {
  taskIds: string[]
  until: number
  fencingToken: number
}

/** State of a task; `fenced` was stopped before it ever started. */
export type TaskState = 'running' | 'finished' | 'failed' | 'stopped' | 'lapsed' | 'fenced'

/** A task as `GET /tasks` lists it. */
export interface WorkerTask {
  taskId: string
  jobId: string
  team: string
  state: TaskState
  /** False when the worker has never started the task. */
  started: boolean
  throttled: boolean
  runMs: number
  usage: WorkerResources
  checkpoint?: unknown
}

interface Entry extends WorkerTask {
  startedAt: number
  leaseUntil: number
  resources: WorkerResources
  /** Whether the task can save a checkpoint. */
  saves: boolean
  timers: NodeJS.Timeout[]
  onEnd: (() => void) | undefined
}

const noResources: WorkerResources = { cpus: 0, memoryMb: 0, accelerators: 0 }

/** Tasks use less than is reserved; otherwise sizes learned with a margin would grow without end. */
function usageOf({ cpus, memoryMb, accelerators }: WorkerResources): WorkerResources {
  return { cpus: cpus * 0.9, memoryMb: memoryMb * 0.9, accelerators }
}

/** The tasks of a worker's stand-in. */
export class WorkerTasks {
  readonly #capacity: WorkerResources
  readonly #faults: WorkerFaults
  readonly #onStart: OnTaskStart | undefined
  readonly #entries = new Map<string, Entry>()
  readonly #startsByJob: Record<string, number> = {}
  readonly #runningByTeam: Record<string, number> = {}
  readonly #maxRunningByTeam: Record<string, number> = {}
  readonly #boot = randomUUID()
  #token = 0
  #renewalCalls = 0

  constructor(capacity: WorkerResources, faults: WorkerFaults, onStart?: OnTaskStart) {
    this.#capacity = capacity
    this.#faults = faults
    this.#onStart = onStart
  }

  start(req: TaskRequest) {
    if (!this.#admits(req.fencingToken)) return this.#stale()
    const known = this.#entries.get(req.taskId)
    if (known?.state === 'running') return { status: 200, body: this.#listed(known) }
    // An id that has ended, or that was fenced before its start arrived, never starts again.
    if (known !== undefined) return { status: 409, body: this.#listed(known) }
    if (req.boot !== this.#boot || performance.now() > req.startBefore) {
      return { status: 409, body: this.#listed(this.#fence(req.taskId)) }
    }
    if (this.#faults.reject || !this.#fits(req)) {
      return { status: 507, body: { error: 'resources are lacking' } }
    }
    const { cpus, memoryMb, accelerators } = req
    const entry = this.#newEntry(req.taskId, req.jobId, req.team, { cpus, memoryMb, accelerators })
    this.#entries.set(req.taskId, entry)
    this.#startsByJob[req.jobId] = (this.#startsByJob[req.jobId] ?? 0) + 1
    const running = (this.#runningByTeam[req.team] = (this.#runningByTeam[req.team] ?? 0) + 1)
    this.#maxRunningByTeam[req.team] = Math.max(this.#maxRunningByTeam[req.team] ?? 0, running)
    const payload = (req.payload ?? {}) as { runMs?: number; fail?: boolean; saves?: boolean }
    const { runMs = 50, fail = false, saves = true } = payload
    entry.saves = saves
    entry.leaseUntil = performance.now() + req.leaseDeadlineMs
    entry.onEnd = this.#onStart?.(req)
    if (this.#faults.failAll) this.#end(entry, 'failed')
    else {
      const end = () => {
        this.#end(entry, fail ? 'failed' : 'finished')
      }
      entry.timers.push(setTimeout(end, runMs))
      this.#watchLease(entry)
    }
    return { status: 201, body: this.#listed(entry) }
  }

  /** Renews leases up to a time on this worker's clock; a time in the past ends the tasks. */
  renew({ taskIds, until, fencingToken }: LeaseRequest) {
    this.#renewalCalls += 1
    if (!this.#admits(fencingToken)) return this.#stale()
    const renewed = taskIds.filter(id => {
      const entry = this.#running(id)
      if (entry !== undefined) entry.leaseUntil = Math.max(entry.leaseUntil, until)
      return entry !== undefined
    })
    return { status: 200, body: { renewed } }
  }

  throttle(id: string, { fencingToken, on }: { fencingToken: number; on: boolean }) {
    return this.#onRunning(id, fencingToken, entry => {
      entry.throttled = on
    })
  }

  checkpoint(id: string, fencingToken: number) {
    return this.#onRunning(id, fencingToken, entry => {
      if (entry.saves) entry.checkpoint = { ranMs: performance.now() - entry.startedAt }
    })
  }

  /** Ends a task. An id that never started is fenced: a start that arrives later is refused. */
  stop(id: string, fencingToken: number) {
    if (!this.#admits(fencingToken)) return this.#stale()
    const entry = this.#entries.get(id)
    if (entry !== undefined) this.#end(entry, 'stopped')
    return { status: 200, body: this.#listed(entry ?? this.#fence(id)) }
  }

  clock() {
    return { now: performance.now(), boot: this.#boot }
  }

  get(id: string) {
    const entry = this.#entries.get(id)
    if (entry === undefined) return { status: 404, body: { error: 'no such task' } }
    return { status: 200, body: this.#listed(entry) }
  }

  list(): WorkerTask[] {
    return [...this.#entries.values()].map(entry => this.#listed(entry))
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

  #newEntry(taskId: string, jobId: string, team: string, resources: WorkerResources): Entry {
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
      leaseUntil: Infinity,
      resources,
      saves: true,
      timers: [],
      onEnd: undefined,
    }
  }

  #fence(id: string): Entry {
    const fenced = { state: 'fenced', started: false } as const
    const entry = { ...this.#newEntry(id, '', '', noResources), ...fenced }
    this.#entries.set(id, entry)
    return entry
  }

  #admits(token: number): boolean {
    if (token < this.#token) return false
    this.#token = token
    return true
  }

  #stale() {
    return { status: 409, body: { error: 'stale fencing token', seen: this.#token } }
  }

  #onRunning(id: string, token: number, act: (entry: Entry) => void) {
    if (!this.#admits(token)) return this.#stale()
    const entry = this.#entries.get(id)
    if (entry === undefined) return { status: 404, body: { error: 'no such task' } }
    if (this.#running(id) !== undefined) act(entry)
    return { status: 200, body: this.#listed(entry) }
  }

  /** After a pause of the process a call may be handled before the timer of the lease. */
  #running(id: string): Entry | undefined {
    const entry = this.#entries.get(id)
    if (entry !== undefined && performance.now() >= entry.leaseUntil) this.#end(entry, 'lapsed')
    return entry?.state === 'running' ? entry : undefined
  }

  #fits(req: WorkerResources): boolean {
    const running = [...this.#entries.values()].filter(({ state }) => state === 'running')
    return (['cpus', 'memoryMb', 'accelerators'] as const).every(name => {
      const used = running.reduce((sum, { resources }) => sum + resources[name], 0)
      return used + req[name] <= this.#capacity[name]
    })
  }

  #watchLease(entry: Entry): void {
    const left = entry.leaseUntil - performance.now()
    const check = () => {
      if (performance.now() >= entry.leaseUntil) this.#end(entry, 'lapsed')
      else this.#watchLease(entry)
    }
    entry.timers[1] = setTimeout(check, Math.max(1, left))
  }

  #end(entry: Entry, state: TaskState): void {
    if (entry.state !== 'running') return
    entry.timers.forEach(clearTimeout)
    entry.onEnd?.()
    entry.state = state
    entry.runMs = performance.now() - entry.startedAt
    this.#runningByTeam[entry.team] = (this.#runningByTeam[entry.team] ?? 1) - 1
    const ended = [...this.#entries].filter(([, { state: each }]) => each !== 'running')
    for (const [id] of ended.slice(0, -maxEnded)) this.#entries.delete(id)
  }

  #listed(entry: Entry): WorkerTask {
    const { taskId, jobId, team, state, started, throttled, checkpoint } = entry
    const { startedAt, resources } = entry
    const ranMs = entry.state === 'running' ? performance.now() - startedAt : entry.runMs
    const isReported = ranMs >= this.#faults.usageLagMs
    return {
      taskId,
      jobId,
      team,
      state,
      started,
      throttled,
      runMs: ranMs,
      usage: isReported ? usageOf(resources) : noResources,
      ...(checkpoint === undefined ? {} : { checkpoint }),
    }
  }
}
