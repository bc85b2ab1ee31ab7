import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { normalizeError, systemClock } from '@bulrushbridge/errors'
import {
  createRunnerHealth,
  createRunTimes,
  jobsTable,
  partOf,
  parts,
  progressSchema,
  progressTable,
  type JobState,
} from '@bulrushbridge/scheduler'
import {
  followTable,
  wait,
  type HeldDuty,
  type TableFollower,
  type TableFollowerOptions,
} from '@bulrushbridge/store'
import { createAdviceBook, type AdviceBook } from './advice-book.js'
import type { DispatcherOptions } from './dispatcher.js'
import { JobRuns } from './job-runs.js'
import { createMachineDuty, type MachineDuty } from './machine-duty.js'
import { createOrganisationUsage } from './organisation-usage.js'
import { createPartWriter, DeposedError, type PartWriter } from './part-writer.js'
import { PlacementPass } from './placement-pass.js'
import { createRetention, type Retention } from './retention.js'
import { createRunWatch, type RunWatch } from './run-watch.js'
import { RunnerRegistry } from './runner-registry.js'
import type { TermContext } from './term-context.js'

/** Pause between a change and the pass that places work, so that changes share a pass; in ms. */
const passDelayMs = 8

/** Longest time between two passes, for occurrences that fall due; in milliseconds. */
const maxPassPauseMs = 200

/** While a change has waited this long to be stored, nothing new is decided; a slow store takes 400 ms. */
const maxStoreLagMs = 2_000

/** Pause between two calls for changes of the jobs, so that several come in one; in milliseconds. */
const jobsPauseMs = 15

/** Pause between two calls for changes of the registry, which heartbeats change all the time. */
const registryPauseMs = 150

/** Pause before a failed takeover is tried again, in milliseconds. */
const takeoverRetryMs = 100

/** One term of a dispatcher: from its takeover until it loses or gives back the lease. */
export class Term {
  readonly #ctx: TermContext
  readonly #held: HeldDuty
  readonly #closing = new AbortController()
  readonly #writers = new Map<string, PartWriter>()
  readonly #runs: JobRuns
  readonly #registry: RunnerRegistry
  readonly #placement: PlacementPass
  readonly #watch: RunWatch
  readonly #advice: AdviceBook | undefined
  #followers: TableFollower[] = []
  #machineDuty: MachineDuty | undefined
  #retention: Retention | undefined
  #isSuspended = false
  /** The takeover is complete. */
  #isOpen = false
  #isPassDue = false
  #passTimer: NodeJS.Timeout | undefined
  #stopWatchingView: (() => void) | undefined

  constructor(opts: DispatcherOptions, held: HeldDuty, onDeposed: () => void) {
    this.#held = held
    // Every call that is under way and every pause listens.
    setMaxListeners(0, this.#closing.signal)
    const ctx = this.#createContext(opts, onDeposed)
    this.#ctx = ctx
    const { log, advice } = opts
    const onChange = () => {
      ctx.requestPass()
    }
    this.#advice = advice === undefined ? undefined : createAdviceBook({ advice, log, onChange })
    this.#runs = new JobRuns({
      ctx,
      openSession: id => this.#registry.open(id, undefined),
      onForgotten: id => this.#advice?.forget(id),
    })
    this.#registry = new RunnerRegistry(ctx, this.#runs.events())
    this.#placement = new PlacementPass(ctx, this.#runs, this.#advice)
    this.#watch = createRunWatch({ ...ctx, log })
  }

  get fence(): number {
    return this.#ctx.fence
  }

  get isSuspended(): boolean {
    return this.#isSuspended
  }

  /** Takes over from earlier terms and begins to place work; retries until it is closed. */
  async open(): Promise<void> {
    const { opts, jobs, sessions, startedAt } = this.#ctx
    this.#createWriters()
    await this.#retry('claim', () => Promise.all([...this.#writers.values()].map(w => w.claim())))
    await this.#retry('read progress', () => this.#readProgress())
    if (this.#isClosed()) return
    // Jobs come first: an end that a runner lists for an unknown job would be acknowledged and lost.
    await this.#followJobs().ready
    this.#runs.progress.clear()
    await this.#followRunners().ready
    if (this.#isClosed()) return
    this.#stopWatchingView = opts.view.onChange(() => {
      this.#requestPass()
    })
    this.#isOpen = true
    this.#machineDuty = this.#startMachineDuty()
    this.#retention = createRetention({ ...opts, statusKeptMs: opts.timing.statusKeptMs })
    opts.log.info('takeover complete', {
      fence: this.fence,
      jobs: jobs.size,
      runners: sessions.size,
      tookMs: Math.round(performance.now() - startedAt),
    })
    this.#passLoop()
  }

  /** Stops deciding, while runners keep their leases; used while the own lease is in doubt. */
  suspend(): void {
    this.#isSuspended = true
  }

  async close(): Promise<void> {
    this.#closing.abort()
    this.#stopWatchingView?.()
    clearTimeout(this.#passTimer)
    await Promise.all([
      this.#machineDuty?.close(),
      this.#retention?.close(),
      ...this.#followers.map(follower => follower.close()),
      ...[...this.#ctx.sessions.values()].map(session => session.close()),
      ...[...this.#writers.values()].map(writer => writer.close()),
    ])
  }

  #createContext(opts: DispatcherOptions, onFenced: () => void): TermContext {
    return {
      opts,
      fence: this.#held.token,
      startedAt: performance.now(),
      jobs: new Map(),
      sessions: new Map(),
      usage: createOrganisationUsage(),
      health: createRunnerHealth(),
      times: createRunTimes(),
      store: job => this.#store(job),
      requestPass: () => {
        this.#requestPass()
      },
      mayDecide: () => !this.#isSuspended && this.#isOpen && !this.#isClosed(),
      onFenced,
    }
  }

  #createWriters(): void {
    const { opts, fence, onFenced } = this.#ctx
    const term = randomUUID()
    for (const part of parts) {
      const { store, log } = opts
      const writer = createPartWriter({ store, part, fence, term, log, onDeposed: onFenced })
      this.#writers.set(part, writer)
    }
  }

  #store(job: JobState): Promise<void> {
    const writer = this.#writers.get(partOf(job.job.id))
    return writer === undefined ? Promise.resolve() : writer.write(job)
  }

  #startMachineDuty(): MachineDuty | undefined {
    const { opts, fence, sessions, onFenced, mayDecide } = this.#ctx
    const { machines } = opts
    if (machines === undefined) return undefined
    return createMachineDuty({
      ...opts,
      machines,
      fence,
      check: this.#held.check,
      sessions,
      waitingIn: pool => this.#placement.waitingIn(pool),
      isSuspended: () => !mayDecide(),
      onFenced,
    })
  }

  async #retry(what: string, attempt: () => Promise<unknown>): Promise<void> {
    const { opts, onFenced } = this.#ctx
    while (!this.#isClosed()) {
      try {
        await attempt()
        return
      } catch (err) {
        opts.log.warn('takeover delayed', { step: what, reason: normalizeError(err).message })
        if (err instanceof DeposedError) {
          onFenced()
          return
        }
        await wait(systemClock, takeoverRetryMs, this.#closing.signal)
      }
    }
  }

  async #readProgress(): Promise<void> {
    const { store, log } = this.#ctx.opts
    const { rows } = await store.snapshot(progressTable, parts)
    for (const { key, value } of rows) {
      const parsed = progressSchema.safeParse(value)
      if (parsed.success) this.#runs.progress.set(key, parsed.data)
      else log.error('progress unreadable', { job: key })
    }
  }

  #followJobs(): TableFollower {
    const takeRows: TableFollowerOptions['onChanges'] = rows => {
      for (const row of rows) this.#runs.takeRow(row)
      this.#requestPass()
    }
    const follow = { table: jobsTable, parts, pauseMs: jobsPauseMs }
    return this.#follow({ ...follow, onSnapshot: takeRows, onChanges: takeRows })
  }

  #followRunners(): TableFollower {
    return this.#follow({
      table: this.#ctx.opts.runners.table,
      parts: [''],
      pauseMs: registryPauseMs,
      onSnapshot: rows => {
        this.#registry.takeSnapshot(rows)
      },
      onChanges: rows => {
        for (const row of rows) this.#registry.takeRow(row)
      },
    })
  }

  #follow(opts: Omit<TableFollowerOptions, 'store' | 'onState'>): TableFollower {
    const { store, log } = this.#ctx.opts
    const onState: TableFollowerOptions['onState'] = (state, detail) => {
      log.warn(`feed ${state}`, { table: opts.table, detail })
    }
    const follower = followTable({ ...opts, store, onState })
    this.#followers.push(follower)
    return follower
  }

  #requestPass(): void {
    if (this.#isPassDue) return
    this.#isPassDue = true
    setTimeout(() => {
      this.#isPassDue = false
      this.#pass()
    }, passDelayMs)
  }

  #passLoop(): void {
    if (this.#isClosed()) return
    if (this.#ctx.mayDecide()) this.#watch.check()
    this.#runs.prune()
    this.#pass()
    this.#passTimer = setTimeout(() => {
      this.#passLoop()
    }, maxPassPauseMs)
  }

  #pass(): void {
    const lagMs = Math.max(...[...this.#writers.values()].map(writer => writer.lagMs()))
    if (!this.#ctx.mayDecide() || lagMs > maxStoreLagMs) return
    this.#placement.run()
    if (this.#placement.isRoomShort) this.#machineDuty?.wake()
  }

  /** A method, because the signal is aborted during awaits. */
  #isClosed(): boolean {
    return this.#closing.signal.aborted
  }
}
