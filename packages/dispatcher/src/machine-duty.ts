import {
  noAmounts,
  planPoolMoves,
  planWave,
  type Amounts,
  type KnownWave,
  type Machine,
  type MachineApi,
  type MovableMachine,
  type OperatorView,
  type PoolLoad,
  type PoolMove,
  type StepState,
  type WaveMachine,
} from '@bulrushbridge/scheduler'
import { wait, type Check, type FollowedTableService, type Write } from '@bulrushbridge/store'
import { normalizeError } from '@bulrushbridge/errors'
import type { Logger, Metrics } from '@bulrushbridge/telemetry'
import { z } from 'zod'
import { countAway } from './away.js'
import type { DispatcherTiming } from './dispatcher.js'
import type { RunnerSession } from './runner-session.js'

/** Table with the machines of each wave that have had their upkeep. */
const wavesTable = 'waves'

/** Pause between two rounds while there is work for the duty, in milliseconds. */
const roundPauseMs = 250

/** Pause between two rounds while there is none, in milliseconds. */
const idlePauseMs = 1_000

/** Most machines that are ordered into other pools in one round. */
const movesPerRound = 16

/** Time beyond an upkeep for the new runner to register, in milliseconds. */
const returnSlackMs = 600

/** Table and key of the list of machines that have come out of the spare pool. */
const lentTable = 'machines'
const lentKey = 'lent'

const lentSchema = z.array(z.string())

const waveRowSchema = z.object({ done: z.array(z.string()), isComplete: z.boolean() })

/** Options of {@link createMachineDuty}. */
export interface MachineDutyOptions {
  machines: MachineApi<Machine>
  store: FollowedTableService
  holder: string
  fence: number
  /** The check of the dispatcher's lease, for writes of this duty. */
  check: Check
  timing: DispatcherTiming
  view: OperatorView
  sessions: ReadonlyMap<string, RunnerSession>
  waveStatusRow: (wave: number, state: 'running' | 'completed') => Write
  /** What startable tasks of a pool take that find no room. */
  waitingIn: (pool: string) => Amounts
  /** The dispatcher may not decide now. */
  isSuspended: () => boolean
  onFenced: () => void
  log: Logger
  metrics: Metrics
}

/** Sees to the machines: their upkeep in waves. */
export interface MachineDuty {
  close(): Promise<void>
}

/**
 * Starts the duty for the machines.
 *
 * @example
 * const duty = createMachineDuty({ machines, store, holder, fence, check, ...rest })
 */
export function createMachineDuty(opts: MachineDutyOptions): MachineDuty {
  return new Duty(opts)
}

interface WaveProgress {
  version: number
  done: Set<string>
  isComplete: boolean
}

interface OrderedUpkeep {
  waveId: number
  orderedAt: number
  /** Runner on the machine when the order was first sent. */
  runnerId: string | undefined
  /** The order is known to have been carried out, now or before. */
  isAccepted: boolean
}

interface OrderedMove {
  to: string
  /** Runner on the machine when the order was first sent. */
  runnerId: string | undefined
  isAccepted: boolean
}

class Duty implements MachineDuty {
  readonly #opts: MachineDutyOptions
  readonly #closing = new AbortController()
  readonly #running: Promise<void>
  readonly #startedAt = performance.now()
  readonly #progress = new Map<number, WaveProgress>()
  /** Machines ordered into upkeep, until they are back. */
  readonly #ordered = new Map<string, OrderedUpkeep>()
  /** Machines ordered into another pool, until they are listed as up there. */
  readonly #moving = new Map<string, OrderedMove>()
  /** Machines that have been taken out of the spare pool. */
  readonly #lent = new Set<string>()
  #isLentLoaded = false
  /** Since when nothing runs on each machine. */
  readonly #idleSince = new Map<string, number>()

  constructor(opts: MachineDutyOptions) {
    this.#opts = opts
    this.#running = this.#run()
  }

  async close(): Promise<void> {
    this.#closing.abort()
    await this.#running
  }

  async #run(): Promise<void> {
    while (!this.#isClosed()) {
      let isBusy = false
      try {
        if (!this.#opts.isSuspended()) isBusy = await this.#round()
      } catch (err) {
        this.#opts.log.warn('round of the machines failed', { reason: normalizeError(err).message })
      }
      const pauseMs = isBusy ? roundPauseMs : idlePauseMs
      await wait({ now: () => performance.now() }, pauseMs, this.#closing.signal)
    }
  }

  #isClosed(): boolean {
    return this.#closing.signal.aborted
  }

  /** One round; returns whether there is a wave under way. */
  async #round(): Promise<boolean> {
    const waves = this.#opts.view.waves()
    for (const wave of waves) if (!this.#progress.has(wave.id)) await this.#load(wave)
    const open = waves.filter(({ id }) => this.#progress.get(id)?.isComplete === false)
    const suspects = [...this.#opts.sessions.values()].filter(
      ({ suspectSince, isRegistered, occupants }) =>
        occupants.size > 0 && (suspectSince !== undefined || !isRegistered),
    )
    const sentAt = performance.now()
    const result = await this.#opts.machines.list()
    if (result.outcome !== 'done') {
      this.#opts.log.warn('machines not listed', { reason: result.reason })
      return true
    }
    this.#settleSuspects(suspects, result.value, sentAt)
    // Two holders that are both in touch must not order one machine within this time.
    const mayOrder = performance.now() - this.#startedAt > this.#opts.timing.machineLeaseMs
    if (mayOrder) {
      for (const wave of open) await this.#advance(wave, result.value, sentAt)
      await this.#moveBetweenPools(result.value, open)
    }
    const isWaiting = this.#poolNames().some(pool => this.#opts.waitingIn(pool).cpuMillis > 0)
    return open.length + suspects.length + this.#moving.size > 0 || isWaiting
  }

  async #load(wave: KnownWave): Promise<void> {
    const key = String(wave.id)
    const row = await this.#opts.store.read(wavesTable, key)
    const parsed = waveRowSchema.safeParse(row?.value)
    this.#progress.set(wave.id, {
      version: row?.version ?? 0,
      done: new Set(parsed.success ? parsed.data.done : []),
      isComplete: parsed.success && parsed.data.isComplete,
    })
    if (row === undefined) await this.#store(wave, 'running')
  }

  /** The list shows that the machine of a lost runner is down or runs another runner. */
  #settleSuspects(
    suspects: readonly RunnerSession[],
    machines: readonly Machine[],
    sentAt: number,
  ): void {
    const present = new Set(
      machines.flatMap(({ state, runnerId }) =>
        state === 'up' && runnerId !== undefined ? [runnerId] : [],
      ),
    )
    for (const session of suspects) {
      const since = session.suspectSince
      if ((since !== undefined && since > sentAt) || present.has(session.id)) continue
      this.#opts.log.info('machine of a lost runner is gone', { runner: session.id })
      session.declareGone()
    }
  }

  async #advance(wave: KnownWave, machines: readonly Machine[], sentAt: number): Promise<void> {
    const progress = this.#progress.get(wave.id)
    if (progress === undefined) return
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    const isChanged = this.#noteReturned(wave, progress, byId, sentAt)
    const left = wave.machines.filter(id => !progress.done.has(id) && byId.has(id))
    const ordered = [...this.#ordered].filter(([, { waveId }]) => waveId === wave.id)
    const away = ordered.length
    const isOver = left.length === 0 && away === 0
    if (isOver) progress.isComplete = true
    if (isChanged || isOver) await this.#store(wave, isOver ? 'completed' : 'running')
    if (isOver) {
      this.#opts.log.info('wave completed', { wave: wave.id, machines: wave.machines.length })
      return
    }
    const waiting = left.filter(id => !this.#ordered.has(id))
    const plan = planWave({
      wave,
      away,
      machines: waiting.flatMap(id => {
        const machine = byId.get(id)
        return machine === undefined ? [] : [this.#asWaveMachine(machine)]
      }),
      poolSizes: countPools(machines),
      leftMs: wave.seenAt + wave.timeMs - performance.now(),
      upkeepMs: this.#opts.timing.upkeepMs + returnSlackMs,
    })
    for (const id of plan.close) this.#close(byId.get(id), wave)
    const unsettled = ordered.flatMap(([id, { isAccepted }]) => (isAccepted ? [] : [id]))
    const orders = unsettled.map(id => this.#orderUpkeep(id, byId.get(id), wave))
    for (const id of plan.upkeep) {
      const session = this.#sessionOf(byId.get(id))
      // Looked at again for each machine, because the last order makes its tasks count as away.
      if (session !== undefined && !this.#mayLose(session)) continue
      if (session !== undefined) session.isLeaving = true
      orders.push(this.#orderUpkeep(id, byId.get(id), wave))
    }
    await Promise.all(orders)
  }

  /** Machines whose upkeep is over; returns whether there are new ones. */
  #noteReturned(
    wave: KnownWave,
    progress: WaveProgress,
    byId: ReadonlyMap<string, Machine>,
    sentAt: number,
  ): boolean {
    const { sessions, timing, log } = this.#opts
    let isChanged = false
    for (const [id, order] of [...this.#ordered]) {
      if (order.waveId !== wave.id || sentAt < order.orderedAt) continue
      const machine = byId.get(id)
      const session = order.runnerId === undefined ? undefined : sessions.get(order.runnerId)
      const isReplaced = machine?.state !== 'up' || machine.runnerId !== order.runnerId
      if (isReplaced) session?.declareGone()
      const isTimeOver = sentAt - order.orderedAt > timing.upkeepMs
      if (!order.isAccepted || machine?.state === 'upkeep' || !isTimeOver) continue
      if (session !== undefined) {
        session.isClosing = false
        session.isLeaving = false
      }
      this.#ordered.delete(id)
      progress.done.add(id)
      isChanged = true
      log.info('upkeep over', { wave: wave.id, machine: id, state: machine?.state, isReplaced })
    }
    return isChanged
  }

  #asWaveMachine(machine: Machine): WaveMachine {
    const session = this.#sessionOf(machine)
    const occupants = [...(session?.occupants.values() ?? [])]
    const lasting = occupants.filter(({ task }) => task?.step.step.isLasting === true)
    return {
      id: machine.id,
      pool: machine.pool,
      isSpare: this.#isSparePool(machine.pool),
      isUp: machine.state === 'up',
      isClosing: session?.isClosing === true,
      finite: occupants.length - lasting.length,
      lasting: lasting.length,
      mayLose: session === undefined || this.#mayLose(session),
    }
  }

  /** Whether all lasting tasks of a runner may be away at once, beside those that are already. */
  #mayLose(session: RunnerSession): boolean {
    const steps = new Map<StepState, number>()
    for (const { task } of session.occupants.values()) {
      if (task?.step.step.isLasting !== true || task.step.step.mayMiss === undefined) continue
      steps.set(task.step, (steps.get(task.step) ?? 0) + 1)
    }
    return [...steps].every(([step, here]) => {
      const allowed = step.step.mayMiss ?? Number.POSITIVE_INFINITY
      return countAway(step, this.#opts.sessions, session.id) + here <= allowed
    })
  }

  #close(machine: Machine | undefined, wave: KnownWave): void {
    const session = this.#sessionOf(machine)
    if (session === undefined) return
    session.isClosing = true
    const { id, occupants } = session
    this.#opts.log.info('runner closed for upkeep', {
      runner: id,
      wave: wave.id,
      runs: occupants.size,
    })
  }

  async #orderUpkeep(id: string, machine: Machine | undefined, wave: KnownWave): Promise<void> {
    const { machines, holder, fence, log, metrics } = this.#opts
    const session = this.#sessionOf(machine)
    const known = this.#ordered.get(id)
    if (known === undefined && session !== undefined) session.isClosing = true
    const order = known ?? {
      waveId: wave.id,
      orderedAt: performance.now(),
      runnerId: machine?.runnerId,
      isAccepted: false,
    }
    this.#ordered.set(id, order)
    const result = await machines.upkeep({ machine: id, wave: wave.id, holder, fence })
    const refusal = result.outcome === 'done' ? result.value.refusal : undefined
    const reason = result.outcome === 'done' ? (refusal ?? 'accepted') : result.reason
    log.info('upkeep ordered', {
      wave: wave.id,
      machine: id,
      fence,
      outcome: result.outcome,
      reason,
    })
    metrics.count('bulrush_upkeeps_total', { outcome: reason })
    if (refusal === 'fence') this.#opts.onFenced()
    // What ran there counts as running until the list shows that its runner is gone: the order may
    // be carried out later, and an upkeep that is over already ends nothing.
    if (result.outcome === 'done' && refusal === undefined) {
      order.isAccepted = true
      order.orderedAt = performance.now()
    }
    const isRefused = result.outcome === 'not-done' || refusal !== undefined
    if (!isRefused || known !== undefined) return
    this.#ordered.delete(id)
    if (session === undefined) return
    session.isClosing = false
    session.isLeaving = false
  }

  async #moveBetweenPools(
    machines: readonly Machine[],
    waves: readonly KnownWave[],
  ): Promise<void> {
    const now = performance.now()
    if (!this.#isLentLoaded) await this.#loadLent()
    this.#noteMoved(machines)
    this.#noteIdle(machines, now)
    const due = new Set(
      waves.flatMap(({ id, machines: ids }) =>
        ids.filter(machine => this.#progress.get(id)?.done.has(machine) === false),
      ),
    )
    const movable = machines.filter(
      ({ id, state }) => state === 'up' && !this.#moving.has(id) && !this.#ordered.has(id),
    )
    const moves = planPoolMoves({
      // A machine that is due for its upkeep has it first, or the wave would wait for the machine.
      machines: movable.filter(({ id }) => !due.has(id)).map(machine => this.#asMovable(machine)),
      pools: this.#poolNames().map(name => this.#loadOf(name, machines)),
      now,
      limit: movesPerRound,
    })
    // Stored before the orders, so that no machine stays lent for good after a change of the holder.
    const leaving = moves.filter(({ to }) => !this.#isSparePool(to))
    for (const { machine } of leaving) this.#lent.add(machine)
    if (leaving.length > 0) await this.#storeLent()
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    const unsettled = [...this.#moving].filter(([, { isAccepted }]) => !isAccepted)
    await Promise.all([
      ...unsettled.map(([machine, { to }]) => this.#orderMove({ machine, to }, byId.get(machine))),
      ...moves.map(move => this.#orderMove(move, byId.get(move.machine))),
    ])
  }

  #noteMoved(machines: readonly Machine[]): void {
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    for (const [id, move] of [...this.#moving]) {
      const machine = byId.get(id)
      const isReplaced = machine?.state !== 'up' || machine.runnerId !== move.runnerId
      if (isReplaced && move.runnerId !== undefined) {
        this.#opts.sessions.get(move.runnerId)?.declareGone()
      }
      const hasArrived =
        machine === undefined || (machine.state === 'up' && machine.pool === move.to)
      if (!hasArrived || !move.isAccepted) continue
      this.#moving.delete(id)
      this.#idleSince.delete(id)
      if (this.#isSparePool(move.to)) this.#lent.delete(id)
      this.#opts.log.info('machine moved', { machine: id, pool: move.to })
    }
  }

  #noteIdle(machines: readonly Machine[], now: number): void {
    for (const machine of machines) {
      const session = this.#sessionOf(machine)
      if (session !== undefined) session.isLent = this.#lent.has(machine.id)
      const isIdle = machine.state === 'up' && session?.occupants.size === 0
      if (!isIdle) this.#idleSince.delete(machine.id)
      else if (!this.#idleSince.has(machine.id)) this.#idleSince.set(machine.id, now)
    }
  }

  #asMovable({ id, pool, capacity, zone }: Machine): MovableMachine {
    const isZoneOut = this.#opts.view.zonesOut().has(zone)
    const idleSince = this.#idleSince.get(id)
    return { id, pool, capacity, isLent: this.#lent.has(id), isZoneOut, idleSince }
  }

  /** Lent machines are stored, so that the next holder knows which ones are to go back. */
  async #loadLent(): Promise<void> {
    const row = await this.#opts.store.read(lentTable, lentKey)
    const parsed = lentSchema.safeParse(row?.value)
    for (const id of parsed.success ? parsed.data : []) this.#lent.add(id)
    this.#isLentLoaded = true
  }

  async #storeLent(): Promise<void> {
    const write = { table: lentTable, key: lentKey, value: [...this.#lent] }
    const result = await this.#opts.store.commit({ checks: [this.#opts.check], writes: [write] })
    if (!result.committed)
      this.#opts.log.warn('lent machines not stored', { count: this.#lent.size })
  }

  #loadOf(name: string, machines: readonly Machine[]): PoolLoad {
    const arriving = [...this.#moving.values()].filter(({ to }) => to === name).length
    const up = machines.filter(({ pool, state }) => pool === name && state === 'up').length
    const isSpare = this.#isSparePool(name)
    const waiting = isSpare ? noAmounts : this.#opts.waitingIn(name)
    return { name, isSpare, waiting, arriving, up }
  }

  #poolNames(): string[] {
    return (this.#opts.view.configuration()?.pools ?? []).map(({ name }) => name)
  }

  async #orderMove({ machine, to }: PoolMove, listed: Machine | undefined): Promise<void> {
    const { machines, holder, fence, log, metrics } = this.#opts
    const known = this.#moving.get(machine)
    const session = known === undefined ? this.#sessionOf(listed) : undefined
    // Looked at again: a task may have started since the list was asked for.
    if (session !== undefined && session.occupants.size > 0) return
    if (session !== undefined) session.isClosing = true
    const move = known ?? { to, runnerId: listed?.runnerId, isAccepted: false }
    this.#moving.set(machine, move)
    const result = await machines.move({ machine, pool: to, holder, fence })
    const refusal = result.outcome === 'done' ? result.value.refusal : undefined
    const reason = result.outcome === 'done' ? (refusal ?? 'accepted') : result.reason
    log.info('move ordered', { machine, pool: to, fence, outcome: result.outcome, reason })
    metrics.count('bulrush_moves_total', { outcome: reason })
    if (refusal === 'fence') this.#opts.onFenced()
    if (result.outcome === 'done' && refusal === undefined) move.isAccepted = true
    const isRefused = result.outcome === 'not-done' || refusal !== undefined
    if (!isRefused || known !== undefined) return
    this.#moving.delete(machine)
    if (session !== undefined) session.isClosing = false
  }

  async #store(wave: KnownWave, state: 'running' | 'completed'): Promise<void> {
    const progress = this.#progress.get(wave.id)
    if (progress === undefined) return
    const key = String(wave.id)
    const value = { done: [...progress.done], isComplete: progress.isComplete }
    const result = await this.#opts.store.commit({
      checks: [this.#opts.check],
      writes: [{ table: wavesTable, key, value }, this.#opts.waveStatusRow(wave.id, state)],
    })
    if (!result.committed) this.#opts.log.warn('wave not stored', { wave: wave.id, state })
  }

  #sessionOf(machine: Machine | undefined): RunnerSession | undefined {
    const id = machine?.runnerId
    return id === undefined ? undefined : this.#opts.sessions.get(id)
  }

  #isSparePool(name: string): boolean {
    const pools = this.#opts.view.configuration()?.pools ?? []
    return pools.some(pool => pool.name === name && pool.isSpare)
  }
}

function countPools(machines: readonly Machine[]): Map<string, number> {
  const sizes = new Map<string, number>()
  for (const { pool } of machines) sizes.set(pool, (sizes.get(pool) ?? 0) + 1)
  return sizes
}
