import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { normalizeError } from '@bulrushbridge/errors'
import {
  cancelSuffix,
  chooseStarts,
  createRunnerHealth,
  createRunTimes,
  jobSchema,
  jobsTable,
  JobState,
  noAmounts,
  partOf,
  parts,
  progressSchema,
  progressTable,
  type Amounts,
  type ListedEnd,
  type OpenRunner,
  type Progress,
  type Queue,
  type RunnerEntry,
  type StepState,
  type Task,
} from '@bulrushbridge/scheduler'
import {
  followTable,
  wait,
  type ChangedRow,
  type HeldDuty,
  type TableFollower,
} from '@bulrushbridge/store'
import type { DispatcherOptions } from './dispatcher.js'
import { createOccupant, type Occupant } from './occupant.js'
import { asOpenRunner } from './open-runner.js'
import { createOrganisationUsage } from './organisation-usage.js'
import { createAdviceBook, type AdviceBook } from './advice-book.js'
import { createMachineDuty, type MachineDuty } from './machine-duty.js'
import { createPartWriter, type PartWriter } from './part-writer.js'
import { createRetention, type Retention } from './retention.js'
import { createRunWatch, type RunWatch } from './run-watch.js'
import { applyEnd, findTask, type EndContext } from './run-ends.js'
import { sumWaitingWork } from './waiting-work.js'
import {
  createRunnerSession,
  type DeathCause,
  type RunnerSession,
  type SessionEvents,
} from './runner-session.js'

/** Pause between a change and the pass that places work, so that changes share a pass; in ms. */
const passDelayMs = 8

/** Longest time between two passes, for occurrences that fall due; in milliseconds. */
const maxPassPauseMs = 200

/** Starts in one pass; more follow in the next, after others had their turn. */
const startsPerPass = 200

/** While a change has waited longer than this to be stored, nothing new is decided; a slow store takes 0.4 s. */
const maxStoreLagMs = 2_000

/** Pause between two calls for changes of the jobs, so that several come in one; in milliseconds. */
const jobsPauseMs = 15

/** Pause between two calls for changes of the registry, which heartbeats change all the time. */
const registryPauseMs = 150

/** Time for which ended jobs are remembered, longer than any answer of the store takes; in ms. */
const endedKeptMs = 30_000

/** Pause before a failed takeover is tried again, in milliseconds. */
const takeoverRetryMs = 100

/** Margin on the lease time after which a runner that cannot be reached runs nothing. */
const assumedLeaseMargin = 1.05

/** One term of a dispatcher: from its takeover until it loses or gives back the lease. */
export class Term {
  readonly fence: number
  readonly jobs = new Map<string, JobState>()
  readonly sessions = new Map<string, RunnerSession>()
  readonly #opts: DispatcherOptions
  readonly #held: HeldDuty
  readonly #onDeposed: () => void
  readonly #closing = new AbortController()
  readonly #writers = new Map<string, PartWriter>()
  readonly #usage = createOrganisationUsage()
  /** What the startable tasks of each pool take that found no room in the last pass. */
  #waiting = new Map<string, Amounts>()
  readonly #health = createRunnerHealth()
  readonly #times = createRunTimes()
  readonly #events: SessionEvents
  readonly #endContext: EndContext
  readonly #startedAt = performance.now()
  #followers: TableFollower[] = []
  #machineDuty: MachineDuty | undefined
  #retention: Retention | undefined
  readonly #watch: RunWatch
  readonly #advice: AdviceBook | undefined
  #progress = new Map<string, Progress>()
  /** Jobs that ended a moment ago, with the time at which they were forgotten. */
  readonly #ended = new Map<string, number>()
  #isSuspended = false
  /** The takeover is complete. */
  #isOpen = false
  #isPassDue = false
  #passTimer: NodeJS.Timeout | undefined
  #stopWatchingView: (() => void) | undefined

  constructor(opts: DispatcherOptions, held: HeldDuty, onDeposed: () => void) {
    this.#opts = opts
    this.#held = held
    this.fence = held.token
    // Every call that is under way and every pause listens.
    setMaxListeners(0, this.#closing.signal)
    this.#onDeposed = onDeposed
    const { log, advice } = opts
    const { sessions } = this
    this.#watch = createRunWatch({ sessions, times: this.#times, health: this.#health, log })
    const onChange = () => {
      this.requestPass()
    }
    this.#advice = advice === undefined ? undefined : createAdviceBook({ advice, log, onChange })
    this.#events = this.#createEvents()
    this.#endContext = {
      jobs: this.jobs,
      queueOf: job => this.#queues().get(job.job.queue),
      health: this.#health,
      times: this.#times,
      wallNow: Date.now,
    }
  }

  /** Takes over from earlier terms and begins to place work; retries until it is closed. */
  async open(): Promise<void> {
    const { log } = this.#opts
    const term = randomUUID()
    for (const part of parts) {
      const { store } = this.#opts
      const onDeposed = this.#onDeposed
      this.#writers.set(
        part,
        createPartWriter({ store, part, fence: this.fence, term, log, onDeposed }),
      )
    }
    await this.#retry('claim', () => Promise.all([...this.#writers.values()].map(w => w.claim())))
    await this.#retry('read progress', () => this.#readProgress())
    if (this.#isClosed()) return
    // Jobs come first: an end that a runner lists for an unknown job would be acknowledged and lost.
    await this.#followJobs().ready
    this.#progress.clear()
    await this.#followRunners().ready
    if (this.#isClosed()) return
    this.#stopWatchingView = this.#opts.view.onChange(() => {
      this.requestPass()
    })
    log.info('takeover complete', {
      fence: this.fence,
      jobs: this.jobs.size,
      runners: this.sessions.size,
      tookMs: Math.round(performance.now() - this.#startedAt),
    })
    this.#isOpen = true
    this.#machineDuty = this.#startMachineDuty()
    const { store, timing } = this.#opts
    this.#retention = createRetention({ store, statusKeptMs: timing.statusKeptMs, log })
    this.#passLoop()
  }

  /** Stops deciding, while runners keep their leases; used while the own lease is in doubt. */
  suspend(): void {
    this.#isSuspended = true
  }

  get isSuspended(): boolean {
    return this.#isSuspended
  }

  /** Milliseconds since the term began. */
  get ageMs(): number {
    return performance.now() - this.#startedAt
  }

  async close(): Promise<void> {
    this.#closing.abort()
    this.#stopWatchingView?.()
    clearTimeout(this.#passTimer)
    await Promise.all([
      this.#machineDuty?.close(),
      this.#retention?.close(),
      ...this.#followers.map(follower => follower.close()),
      ...[...this.sessions.values()].map(session => session.close()),
      ...[...this.#writers.values()].map(writer => writer.close()),
    ])
  }

  /** Stores a job's state. */
  store(job: JobState): Promise<void> {
    const writer = this.#writers.get(partOf(job.job.id))
    return writer === undefined ? Promise.resolve() : writer.write(job)
  }

  /** Asks for a pass that places work. */
  requestPass(): void {
    if (this.#isPassDue) return
    this.#isPassDue = true
    setTimeout(() => {
      this.#isPassDue = false
      this.#pass()
    }, passDelayMs)
  }

  /** A method, because the signal is aborted during awaits. */
  #isClosed(): boolean {
    return this.#closing.signal.aborted
  }

  #startMachineDuty(): MachineDuty | undefined {
    const { machines, store, holder, timing, view, waveStatusRow, log, metrics } = this.#opts
    if (machines === undefined) return undefined
    return createMachineDuty({
      machines,
      store,
      holder,
      fence: this.fence,
      check: this.#held.check,
      timing,
      view,
      sessions: this.sessions,
      waveStatusRow,
      waitingIn: pool => this.#waiting.get(pool) ?? noAmounts,
      isSuspended: () => this.#isSuspended,
      onFenced: () => {
        this.#onDeposed()
      },
      log,
      metrics,
    })
  }

  async #retry(what: string, attempt: () => Promise<unknown>): Promise<void> {
    const { log } = this.#opts
    while (!this.#closing.signal.aborted) {
      try {
        await attempt()
        return
      } catch (err) {
        const error = normalizeError(err)
        log.warn('takeover delayed', { step: what, reason: error.message })
        if (error.name === 'DeposedError') {
          this.#onDeposed()
          return
        }
        await wait({ now: () => performance.now() }, takeoverRetryMs, this.#closing.signal)
      }
    }
  }

  async #readProgress(): Promise<void> {
    const { rows } = await this.#opts.store.snapshot(progressTable, parts)
    this.#progress = new Map(
      rows.flatMap(row => {
        const parsed = progressSchema.safeParse(row.value)
        if (!parsed.success) this.#opts.log.error('progress unreadable', { job: row.key })
        return parsed.success ? [[row.key, parsed.data] as const] : []
      }),
    )
  }

  #followJobs(): TableFollower {
    return this.#follow(jobsTable, parts, jobsPauseMs, rows => {
      for (const row of rows) this.#takeJobRow(row)
      this.requestPass()
    })
  }

  #followRunners(): TableFollower {
    const { runners } = this.#opts
    return this.#follow(
      runners.table,
      [''],
      registryPauseMs,
      rows => {
        for (const row of rows) this.#takeRunnerRow(row)
      },
      rows => {
        const present = new Set(rows.map(({ key }) => key))
        for (const [id, session] of this.sessions) if (!present.has(id)) session.unregister()
      },
    )
  }

  #follow(
    table: string,
    tableParts: readonly string[],
    pauseMs: number,
    onRows: (rows: ChangedRow[]) => void,
    onSnapshot?: (rows: ChangedRow[]) => void,
  ): TableFollower {
    const { store, log } = this.#opts
    const follower = followTable({
      store,
      table,
      parts: tableParts,
      pauseMs,
      onChanges: onRows,
      onSnapshot: rows => {
        onSnapshot?.(rows)
        onRows(rows)
      },
      onState: (state, detail) => {
        log.warn(`feed ${state}`, { table, detail })
      },
    })
    this.#followers.push(follower)
    return follower
  }

  #takeJobRow({ key, value, isDeleted }: ChangedRow): void {
    if (isDeleted) return
    if (key.endsWith(cancelSuffix)) {
      this.#cancel(key.slice(0, -cancelSuffix.length))
      return
    }
    // A change that was told before the row went must not bring an ended job back.
    if (this.jobs.has(key) || this.#ended.has(key)) return
    const parsed = jobSchema.safeParse(value)
    if (!parsed.success) {
      this.#opts.log.error('job unreadable', { job: key })
      return
    }
    const job = new JobState(parsed.data, this.#progress.get(key))
    this.jobs.set(key, job)
    for (const task of job.runningTasks()) this.#restoreRun(task)
    const { queue, organisation, acceptedAt } = parsed.data
    const ageMs = Date.now() - acceptedAt
    this.#opts.log.info('job taken', { job: key, queue, organisation, status: job.status, ageMs })
  }

  /** A run that an earlier term recorded: it may be under way until its runner says otherwise. */
  #restoreRun(task: Task): void {
    const { run } = task
    if (run === undefined) return
    const session = this.sessions.get(run.runnerId) ?? this.#openSession(run.runnerId, undefined)
    session.add(createOccupant(task, run.runnerBornAt))
  }

  #takeRunnerRow({ key, value, isDeleted }: ChangedRow): void {
    const session = this.sessions.get(key)
    const entry = isDeleted ? undefined : this.#opts.runners.decode(key, value)
    if (entry === undefined) {
      if (session?.isRegistered === true) {
        this.#opts.log.info('runner unregistered', { runner: key, isDeleted })
        session.unregister()
      }
      return
    }
    if (session !== undefined) {
      session.update(entry)
      return
    }
    this.#openSession(key, entry)
    const { pool, zone, isDraining } = entry
    this.#opts.log.info('runner registered', { runner: key, pool, zone, isDraining })
  }

  #openSession(id: string, entry: RunnerEntry | undefined): RunnerSession {
    const { timing, createRunner, log } = this.#opts
    // Earlier dispatchers go on renewing leases for a while after they have lost their own.
    const assumedMs = (timing.leaseMs + timing.suspendedMs) * assumedLeaseMargin
    const session = createRunnerSession({
      id,
      entry,
      fence: this.fence,
      leaseMs: timing.leaseMs,
      lookWaitMs: timing.lookWaitMs,
      assumedLeaseEnd: this.#startedAt + assumedMs,
      createRunner,
      events: this.#events,
      log,
    })
    this.sessions.set(id, session)
    return session
  }

  #createEvents(): SessionEvents {
    return {
      onEnd: (session, end, occupant) => this.#onEnd(session, end, occupant),
      onDeath: (session, occupant, cause) => {
        this.#onDeath(session, occupant, cause)
      },
      onStranger: (session, name, run) => {
        const task = findTask(this.jobs, name)
        this.#opts.log.warn('unexpected run stopped', { runner: session.id, task: name, run })
        return createOccupant(task, session.bornAt, { name, run })
      },
      onChange: () => {
        this.requestPass()
      },
      onFenced: () => {
        this.#onDeposed()
      },
      onConfirmed: (session, occupant) => {
        const { log, metrics } = this.#opts
        const { name, run, task, orderedAt } = occupant
        if (task?.step.job.isFinal === true) void session.stop(occupant)
        if (orderedAt === undefined) return
        metrics.observe('bulrush_start_ms', {}, performance.now() - orderedAt)
        log.info('run started', { task: name, run, runner: session.id })
      },
      onOccupancy: (occupant, times) => {
        this.#usage.change(occupant, times)
      },
    }
  }

  async #onEnd(
    session: RunnerSession,
    end: ListedEnd,
    occupant: Occupant | undefined,
  ): Promise<void> {
    const { log, metrics } = this.#opts
    const applied = applyEnd(this.#endContext, session.id, end, occupant)
    const { task, run, how } = end
    const jobStatus = applied.job?.status
    const ranMs = sinceMs(occupant?.confirmedAt)
    log.info('run ended', { task, run, runner: session.id, how, jobStatus, ranMs })
    metrics.count('bulrush_runs_ended_total', { how })
    if (applied.isRunnerClosed) log.warn('runner closed after failures', { runner: session.id })
    const { job } = applied
    if (job === undefined) return
    if (applied.stopJob || job.isFinal) this.#stopRuns(job)
    if (applied.stopTask !== undefined) this.#stopOtherRuns(applied.stopTask)
    if (job.isFinal) this.#logOutcome(job)
    this.requestPass()
    await this.store(job)
    this.#forgetEnded(job)
  }

  #onDeath(session: RunnerSession, occupant: Occupant, cause: DeathCause): void {
    const { name, run, task } = occupant
    this.#opts.log.info('run over', { task: name, run, runner: session.id, cause })
    this.#opts.metrics.count('bulrush_runs_ended_total', { how: cause })
    if (task?.run?.number !== run || task.run.runnerId !== session.id) return
    task.step.job.giveUpRun(task)
    void this.store(task.step.job)
    this.requestPass()
  }

  #cancel(id: string): void {
    const job = this.jobs.get(id)
    if (job === undefined) {
      void this.#dropCancellation(id)
      return
    }
    if (job.isCancelled) return
    job.isCancelled = true
    if (!job.isFinal) {
      job.end('cancelled', Date.now())
      this.#logOutcome(job)
      this.#stopRuns(job)
    }
    void this.store(job).then(() => {
      this.#forgetEnded(job)
    })
  }

  /** The job ended before its cancellation was read. */
  async #dropCancellation(id: string): Promise<void> {
    const part = partOf(id)
    const write = { table: jobsTable, part, key: `${id}${cancelSuffix}`, value: null }
    try {
      await this.#opts.store.commit({ checks: [], writes: [write] }, { part })
    } catch (err) {
      // The next dispatcher reads the row again and drops it then.
      this.#opts.log.warn('cancellation not dropped', {
        job: id,
        reason: normalizeError(err).message,
      })
    }
  }

  #stopRuns(job: JobState): void {
    for (const task of job.runningTasks()) this.#stopOtherRuns(task)
  }

  #stopOtherRuns(task: Task): void {
    for (const session of this.sessions.values()) {
      for (const occupant of session.occupants.values()) {
        if (occupant.task === task && occupant.state !== 'recorded') void session.stop(occupant)
      }
    }
  }

  /** A job at its end without runs needs no memory: what runners list of it later needs no storing. */
  #forgetEnded(job: JobState): void {
    if (!job.isFinal || job.runningTasks().next().done !== true) return
    this.jobs.delete(job.job.id)
    this.#ended.set(job.job.id, performance.now())
    this.#advice?.forget(job.job.id)
  }

  #logOutcome(job: JobState): void {
    const { id, queue, acceptedAt } = job.job
    const tookMs = Date.now() - acceptedAt
    this.#opts.log.info('job over', { job: id, queue, status: job.status, tookMs })
    this.#opts.metrics.count('bulrush_jobs_ended_total', { queue, status: job.status })
    this.#opts.metrics.observe('bulrush_job_ms', { queue }, tookMs)
  }

  #queues(): ReadonlyMap<string, Queue> {
    return new Map(this.#opts.view.configuration()?.queues.map(queue => [queue.name, queue]))
  }

  #passLoop(): void {
    if (this.#closing.signal.aborted) return
    if (!this.#isSuspended) this.#watch.check()
    const now = performance.now()
    for (const [id, at] of this.#ended) if (now - at > endedKeptMs) this.#ended.delete(id)
    this.#pass()
    this.#passTimer = setTimeout(() => {
      this.#passLoop()
    }, maxPassPauseMs)
  }

  /** Chooses starts and records them; each is ordered once it is stored. */
  #pass(): void {
    if (this.#closing.signal.aborted || this.#isSuspended || !this.#isOpen) return
    const lagMs = Math.max(...[...this.#writers.values()].map(writer => writer.lagMs()))
    if (lagMs > maxStoreLagMs) return
    const steps = this.#startableSteps()
    this.#waiting = new Map()
    if (steps.length === 0) return
    const allowance = this.#usage.allowance(this.#opts.view.configuration()?.organisations ?? [])
    const runners = this.#openRunners()
    const queues = this.#queues()
    const starts = chooseStarts({
      steps,
      queues,
      runners,
      times: this.#times,
      allowance,
      advised: step => this.#advisedRunners(step, queues, runners),
      wallNow: Date.now(),
      limit: startsPerPass,
    })
    for (const { task, runnerId } of starts) this.#record(task, runnerId)
    this.#waiting = sumWaitingWork({ steps, queues, runners, allowance })
  }

  #advisedRunners(
    step: StepState,
    queues: ReadonlyMap<string, Queue>,
    runners: readonly OpenRunner[],
  ): ReadonlySet<string> | undefined {
    const queue = queues.get(step.job.job.queue)
    if (queue?.advice === undefined) return undefined
    const ids = runners.filter(({ pool }) => pool === queue.pool).map(({ id }) => id)
    return this.#advice?.runnersFor(step, queue.advice, ids)
  }

  #startableSteps(): StepState[] {
    const wallNow = Date.now()
    const steps: StepState[] = []
    for (const job of this.jobs.values()) {
      if (job.isFinal) continue
      job.openDue(wallNow)
      steps.push(...job.startable())
    }
    return steps
  }

  #record(task: Task, runnerId: string): void {
    const session = this.sessions.get(runnerId)
    if (session === undefined) return
    const { job } = task.step
    job.beginRun(task, runnerId, session.bornAt)
    const occupant = createOccupant(task, session.bornAt)
    session.add(occupant)
    void this.store(job).then(() => {
      this.#order(session, occupant, job)
    })
  }

  /** Orders a stored run, unless something has changed since it was chosen. */
  #order(session: RunnerSession, occupant: Occupant, job: JobState): void {
    const isCurrent = occupant.task?.run?.number === occupant.run && occupant.state === 'recorded'
    if (!isCurrent || this.#closing.signal.aborted) return
    if (job.isFinal || this.#isSuspended || !this.#mayStart(session)) {
      session.remove(occupant)
      this.#onDeath(session, occupant, 'not-started')
      return
    }
    const ticket = this.#advice?.ticketFor(occupant.task.step, session.id)
    void session.start(occupant, job.job.payload, ticket)
  }

  #mayStart(session: RunnerSession): boolean {
    const zone = session.entry?.zone
    return session.isOpen && zone !== undefined && !this.#opts.view.zonesOut().has(zone)
  }

  #openRunners(): OpenRunner[] {
    const now = performance.now()
    const found: OpenRunner[] = []
    for (const session of this.sessions.values()) {
      const { entry } = session
      if (entry === undefined || !this.#mayStart(session)) continue
      if (this.#health.isClosed(session.id, now)) continue
      found.push(asOpenRunner(session, entry))
    }
    return found
  }
}

function sinceMs(at: number | undefined): number | undefined {
  return at === undefined ? undefined : Math.round(performance.now() - at)
}
