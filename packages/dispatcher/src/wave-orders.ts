import {
  planUpkeepWave,
  type KnownWave,
  type Machine,
  type StepExecution,
  type WaveMachine,
} from '@bulrushbridge/scheduler'
import { z } from 'zod'
import { countUnavailableTasks } from './unavailable-tasks.js'
import { isSparePool, sessionOf, type MachineContext } from './machine-context.js'
import type { Allocation } from './allocation.js'
import type { MachineOrder, MachineOrderRecord } from './machine-order-record.js'
import type { RunnerSession } from './runner-session.js'
import { sendMachineOrder } from './send-machine-order.js'

/** Table that lists, for each wave, the machines whose upkeep has begun. */
const wavesTable = 'waves'

/** Time after an upkeep for the new runner to register, in milliseconds. */
const registrationSlackMs = 600

/**
 * Time that a wave must have to spare for a due machine to move first, in milliseconds: 2 s for the move,
 * and 6 s until the work that begins on it has ended.
 */
const minSpareTimeToMoveMs = 8_000

const waveRowSchema = z.object({ begun: z.array(z.string()), isComplete: z.boolean() })

interface WaveProgress {
  /** Machines whose upkeep has begun; each machine has one upkeep in a wave. */
  begun: Set<string>
  isComplete: boolean
}

interface OrderedUpkeep {
  waveId: number
  orderedAt: number
  /** Runner on the machine when the order was first sent. */
  runnerId: string | undefined
  /** Whether the order is known to have been accepted. */
  isAccepted: boolean
}

/** Orders the upkeeps of maintenance waves, in which operators list machines. */
export class WaveOrders {
  readonly #opts: MachineContext
  readonly #orderRecord: MachineOrderRecord
  readonly #progress = new Map<number, WaveProgress>()
  /** Machines that were ordered into upkeep and have not returned. */
  readonly #ordered = new Map<string, OrderedUpkeep>()
  /** Runners whose machines an earlier dispatcher may have ordered into upkeep. */
  readonly #possiblyInUpkeep = new Set<RunnerSession>()

  constructor(opts: MachineContext, record: MachineOrderRecord) {
    this.#opts = opts
    this.#orderRecord = record
  }

  /** Loads the progress of new waves, and returns the waves that are not complete. */
  async incompleteWaves(): Promise<KnownWave[]> {
    const waves = this.#opts.view.waves()
    for (const wave of waves) if (!this.#progress.has(wave.id)) await this.#loadProgress(wave)
    return waves.filter(({ id }) => this.#progress.get(id)?.isComplete === false)
  }

  /** Whether an upkeep of a machine is still to begin in a wave, or is ordered and not ended. */
  isUpkeepDueOrOrdered(machine: string): boolean {
    if (this.#ordered.has(machine)) return true
    return this.#opts.view
      .waves()
      .some(
        ({ id, machines }) =>
          machines.includes(machine) && this.#progress.get(id)?.begun.has(machine) === false,
      )
  }

  /**
   * Whether a machine may move to another pool. One that is due for upkeep may as long as its wave has
   * time to spare; otherwise up to half of the machines could not follow the demand while a wave lasts.
   */
  mayMove(machine: string): boolean {
    if (this.#ordered.has(machine)) return false
    return this.#opts.view.waves().every(wave => {
      if (!wave.machines.includes(machine)) return true
      const begun = this.#progress.get(wave.id)?.begun
      if (begun === undefined) return false
      if (begun.has(machine)) return true
      return this.#spareTimeMs(wave, begun.size) >= minSpareTimeToMoveMs
    })
  }

  /** Time that a wave has left beyond what its remaining upkeeps take, in milliseconds. */
  #spareTimeMs(wave: KnownWave, begunCount: number): number {
    const remainingCount = wave.machines.length - begunCount
    const rounds = Math.ceil(remainingCount / Math.max(1, wave.maxUnavailable))
    const upkeepMs = this.#opts.timing.upkeepMs + registrationSlackMs
    return wave.firstSeenAt + wave.timeMs - performance.now() - rounds * upkeepMs
  }

  /** Loads the progress of a wave; a row that cannot be decoded counts as no progress. */
  async #loadProgress(wave: KnownWave): Promise<void> {
    const key = String(wave.id)
    const row = await this.#opts.store.read(wavesTable, key)
    const parsed = waveRowSchema.safeParse(row?.value)
    this.#progress.set(wave.id, {
      begun: new Set(parsed.success ? parsed.data.begun : []),
      isComplete: parsed.success && parsed.data.isComplete,
    })
    if (row === undefined) await this.#storeProgress(wave, 'running')
  }

  /**
   * Advances one wave: cordons runners and sends upkeep orders as its plan requires. `machines` is
   * the platform's list, requested at local time `listRequestedAt`. Machines for which `isMoving` is true
   * get no upkeep now.
   */
  async advance(
    wave: KnownWave,
    machines: readonly Machine[],
    listRequestedAt: number,
    isMoving: (machine: string) => boolean,
  ): Promise<void> {
    const progress = this.#progress.get(wave.id)
    if (progress === undefined) return
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    this.#endUpkeeps(wave, byId, listRequestedAt)
    const notBegun = wave.machines.filter(id => !progress.begun.has(id) && byId.has(id))
    const ordered = [...this.#ordered].filter(([, { waveId }]) => waveId === wave.id)
    // Includes machines that an earlier dispatcher ordered into upkeep.
    const inUpkeep = machines.filter(
      ({ id, state }) => state === 'upkeep' && wave.machines.includes(id),
    )
    // A machine that is down refuses a late order, and would otherwise hold up the wave.
    const possiblyInUpkeep = this.#machinesPossiblyInUpkeep(byId).filter(
      id => notBegun.includes(id) && byId.get(id)?.state !== 'down',
    )
    // How many machines of the wave are in upkeep or may be, because an order has been sent.
    const unavailableCount = new Set([
      ...ordered.map(([id]) => id),
      ...inUpkeep.map(({ id }) => id),
      ...possiblyInUpkeep,
    ]).size
    const isOver = notBegun.length === 0 && unavailableCount === 0
    if (isOver) {
      if (!(await this.#storeProgress(wave, 'completed'))) return
      progress.isComplete = true
      this.#opts.log.info('wave completed', { wave: wave.id, machines: wave.machines.length })
      return
    }
    const sendable = notBegun.filter(
      id =>
        !this.#ordered.has(id) &&
        !isMoving(id) &&
        !this.#orderRecord.isRecentlyOrderedElsewhere(id),
    )
    const orderable = sendable.filter(id => !possiblyInUpkeep.includes(id))
    const plan = planUpkeepWave({
      wave,
      unavailableCount,
      machines: orderable.flatMap(id => {
        const machine = byId.get(id)
        return machine === undefined ? [] : [this.#toWaveMachine(machine)]
      }),
      poolSizes: countMachinesByPool(machines),
      remainingMs: wave.firstSeenAt + wave.timeMs - performance.now(),
      upkeepMs: this.#opts.timing.upkeepMs + registrationSlackMs,
    })
    for (const id of plan.cordon) this.#cordon(byId.get(id), wave)
    for (const id of orderable) this.#stopExcessTask(byId.get(id))
    const unaccepted = ordered.flatMap(([id, { isAccepted }]) => (isAccepted ? [] : [id]))
    // These are ordered again, as only an order with the token of this term ends the earlier ones.
    const earlier = sendable.filter(
      id => possiblyInUpkeep.includes(id) && this.#canRepeatUpkeep(byId.get(id)),
    )
    const maxNew = this.#opts.orderRate.available(performance.now())
    const upkeeps = plan.upkeep.slice(0, maxNew)
    const ids = [...unaccepted, ...earlier, ...upkeeps]
    const recorded = ids.map(id => toUpkeepOrder(id, byId.get(id)))
    if (ids.length === 0 || !(await this.#orderRecord.storeOrders(recorded))) return
    const orders = [...unaccepted, ...earlier].map(id => this.#orderUpkeep(id, byId.get(id), wave))
    for (const id of upkeeps) {
      const session = sessionOf(this.#opts, byId.get(id))
      // Checked again for each machine, because an order makes its machine's tasks unavailable.
      if (session !== undefined && !this.#canBeginUpkeep(session)) continue
      if (session !== undefined) session.isUpkeepExpected = true
      orders.push(this.#orderUpkeep(id, byId.get(id), wave))
    }
    await Promise.all(orders)
    await this.#storeBegun(wave, progress)
  }

  /** Stores begun upkeeps at once, so that the next dispatcher does not order them again. */
  async #storeBegun(wave: KnownWave, progress: WaveProgress): Promise<void> {
    const before = progress.begun.size
    for (const [id, { waveId, isAccepted }] of this.#ordered) {
      if (waveId !== wave.id || !isAccepted) continue
      progress.begun.add(id)
      this.#orderRecord.settle(id)
    }
    if (progress.begun.size > before) await this.#storeProgress(wave, 'running')
  }

  /**
   * Machines whose upkeep an earlier dispatcher may have ordered. Lasting tasks on them count as
   * unavailable, because that order may still take effect.
   */
  #machinesPossiblyInUpkeep(byId: ReadonlyMap<string, Machine>): string[] {
    const ordered = new Set([...this.#ordered.values()].map(({ runnerId }) => runnerId))
    for (const session of this.#possiblyInUpkeep) session.isUpkeepExpected = ordered.has(session.id)
    this.#possiblyInUpkeep.clear()
    for (const id of this.#orderRecord.openEarlierUpkeeps())
      if (!this.isUpkeepDueOrOrdered(id)) this.#orderRecord.settle(id)
    const ids = this.#orderRecord.openEarlierUpkeeps()
    for (const id of ids) {
      const session = sessionOf(this.#opts, byId.get(id))
      if (session === undefined) continue
      session.isUpkeepExpected = true
      this.#possiblyInUpkeep.add(session)
    }
    return ids
  }

  /** Finishes the upkeeps of machines that are back, and gives up the runs of replaced runners. */
  #endUpkeeps(wave: KnownWave, byId: ReadonlyMap<string, Machine>, listRequestedAt: number): void {
    const { sessions, timing, log } = this.#opts
    for (const [id, order] of [...this.#ordered]) {
      if (order.waveId !== wave.id || listRequestedAt < order.orderedAt) continue
      const machine = byId.get(id)
      const session = order.runnerId === undefined ? undefined : sessions.get(order.runnerId)
      const isReplaced = machine?.state !== 'up' || machine.runnerId !== order.runnerId
      if (isReplaced) session?.markMachineUnavailable(listRequestedAt)
      const hasUpkeepTimePassed = listRequestedAt - order.orderedAt > timing.upkeepMs
      if (!order.isAccepted || machine?.state === 'upkeep' || !hasUpkeepTimePassed) continue
      if (session !== undefined) {
        session.isCordoned = false
        session.isUpkeepExpected = false
      }
      this.#ordered.delete(id)
      log.info('machine upkeep ended', {
        wave: wave.id,
        machine: id,
        state: machine?.state,
        isReplaced,
      })
    }
  }

  #canRepeatUpkeep(machine: Machine | undefined): boolean {
    if (machine?.state !== 'up') return false
    const session = sessionOf(this.#opts, machine)
    return session === undefined || this.#canBeginUpkeep(session)
  }

  #toWaveMachine(machine: Machine): WaveMachine {
    const session = sessionOf(this.#opts, machine)
    const allocations = [...(session?.allocations.values() ?? [])]
    const lasting = allocations.filter(({ task }) => task?.step.definition.isLasting === true)
    return {
      id: machine.id,
      pool: machine.pool,
      isSpare: isSparePool(this.#opts, machine.pool),
      isPoolShort: this.#opts.waitingAmounts(machine.pool).cpuMillis > 0,
      isUp: machine.state === 'up',
      isCordoned: session?.isCordoned === true,
      finiteTasks: allocations.length - lasting.length,
      lastingTasks: lasting.length,
      canLoseLastingTasks: session === undefined || this.#canBeginUpkeep(session),
    }
  }

  /**
   * Whether upkeep may begin on a runner's machine: no lasting step would have more unavailable
   * tasks than it allows.
   */
  #canBeginUpkeep(session: RunnerSession): boolean {
    return [...limitedAllocationsByStep(session)].every(([step, allocations]) => {
      const allowed = step.definition.mayMiss ?? Number.POSITIVE_INFINITY
      return (
        countUnavailableTasks(step, this.#opts.sessions, session.id) + allocations.length <= allowed
      )
    })
  }

  /**
   * Stops one run of a step that has more tasks on a cordoned runner than may be unavailable at
   * once; a later placement pass starts its task elsewhere. Otherwise the machine's upkeep could
   * never begin.
   */
  #stopExcessTask(machine: Machine | undefined): void {
    const session = sessionOf(this.#opts, machine)
    if (session?.isCordoned !== true) return
    for (const [step, allocations] of limitedAllocationsByStep(session)) {
      const allowed = step.definition.mayMiss ?? Number.POSITIVE_INFINITY
      const [first] = allocations
      if (first === undefined || allocations.length <= allowed || first.state !== 'present')
        continue
      if (countUnavailableTasks(step, this.#opts.sessions) >= allowed) continue
      const { taskName, runNumber } = first
      this.#opts.log.info('run stopped to move it before an upkeep', {
        task: taskName,
        run: runNumber,
        runner: session.id,
      })
      void session.stop(first)
    }
  }

  #cordon(machine: Machine | undefined, wave: KnownWave): void {
    const session = sessionOf(this.#opts, machine)
    if (session === undefined) return
    session.isCordoned = true
    const { id, allocations } = session
    this.#opts.log.info('runner cordoned for upkeep', {
      runner: id,
      wave: wave.id,
      runs: allocations.size,
    })
  }

  async #orderUpkeep(id: string, machine: Machine | undefined, wave: KnownWave): Promise<void> {
    const { machines, holder, fence } = this.#opts
    const session = sessionOf(this.#opts, machine)
    const existing = this.#ordered.get(id)
    if (existing === undefined && session !== undefined) {
      session.isCordoned = true
      session.hasOpenMachineOrder = true
    }
    const order = existing ?? {
      waveId: wave.id,
      orderedAt: performance.now(),
      runnerId: machine?.runnerId,
      isAccepted: false,
    }
    this.#ordered.set(id, order)
    const result = await sendMachineOrder(this.#opts, 'upkeep', {
      fields: { wave: wave.id, machine: id },
      call: () => machines.upkeep({ machine: id, wave: wave.id, holder, fence }),
    })
    // Runs on the machine count as running until the machine list no longer shows their runner on
    // it: the order may be carried out later, and an upkeep that is already over ends no runs.
    if (result === 'accepted') {
      order.isAccepted = true
      order.orderedAt = performance.now()
      const ordered = this.#opts.sessions.get(order.runnerId ?? '')
      if (ordered !== undefined) ordered.hasOpenMachineOrder = false
    }
    if (result !== 'refused' || existing !== undefined) return
    this.#ordered.delete(id)
    if (session === undefined) return
    session.isCordoned = false
    session.hasOpenMachineOrder = false
    session.isUpkeepExpected = false
  }

  /** Stores the progress of a wave; returns whether it is stored. */
  async #storeProgress(wave: KnownWave, state: 'running' | 'completed'): Promise<boolean> {
    const progress = this.#progress.get(wave.id)
    if (progress === undefined) return false
    const key = String(wave.id)
    const value = { begun: [...progress.begun], isComplete: state === 'completed' }
    const result = await this.#opts.store.commit({
      checks: [this.#opts.leaseCheck],
      writes: [{ table: wavesTable, key, value }, this.#opts.waveStatusRow(wave.id, state)],
    })
    if (!result.committed)
      this.#opts.log.warn('wave progress not stored, the lease check failed', {
        wave: wave.id,
        state,
      })
    return result.committed
  }
}

/** A runner's allocations by step, of lasting steps that limit unavailable tasks (`mayMiss`). */
function limitedAllocationsByStep({
  allocations,
}: RunnerSession): Map<StepExecution, Allocation[]> {
  const steps = new Map<StepExecution, Allocation[]>()
  for (const allocation of allocations.values()) {
    const step = allocation.task?.step
    if (step?.definition.isLasting !== true || step.definition.mayMiss === undefined) continue
    steps.set(step, [...(steps.get(step) ?? []), allocation])
  }
  return steps
}

function toUpkeepOrder(machine: string, listed: Machine | undefined): MachineOrder {
  const runnerId = listed?.runnerId
  return { machine, kind: 'upkeep', ...(runnerId === undefined ? {} : { runnerId }) }
}

function countMachinesByPool(machines: readonly Machine[]): Map<string, number> {
  const sizes = new Map<string, number>()
  for (const { pool } of machines) sizes.set(pool, (sizes.get(pool) ?? 0) + 1)
  return sizes
}
