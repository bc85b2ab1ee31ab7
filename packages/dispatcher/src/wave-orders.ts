import {
  planWave,
  type KnownWave,
  type Machine,
  type StepState,
  type WaveMachine,
} from '@bulrushbridge/scheduler'
import { z } from 'zod'
import { countAway } from './away.js'
import { isSparePool, sessionOf, type MachineContext } from './machine-context.js'
import type { Occupant } from './occupant.js'
import type { OrderRecord } from './order-record.js'
import type { RunnerSession } from './runner-session.js'
import { sendOrder } from './send-order.js'

/** Table with the machines of each wave whose upkeep has begun. */
const wavesTable = 'waves'

/** Time beyond an upkeep for the new runner to register, in milliseconds. */
const returnSlackMs = 600

const waveRowSchema = z.object({ begun: z.array(z.string()), isComplete: z.boolean() })

interface WaveProgress {
  /** Machines whose upkeep has begun; each machine has it once. */
  begun: Set<string>
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
/** Brings the machines of operators' waves through their upkeep. */
export class WaveOrders {
  readonly #opts: MachineContext
  readonly #record: OrderRecord
  readonly #progress = new Map<number, WaveProgress>()
  /** Machines ordered into upkeep, until they are back. */
  readonly #ordered = new Map<string, OrderedUpkeep>()
  /** Runners whose machines an earlier holder may just have ordered into upkeep. */
  readonly #contested = new Set<RunnerSession>()

  constructor(opts: MachineContext, record: OrderRecord) {
    this.#opts = opts
    this.#record = record
  }

  /** Waves that are not complete. */
  async open(): Promise<KnownWave[]> {
    const waves = this.#opts.view.waves()
    for (const wave of waves) if (!this.#progress.has(wave.id)) await this.#load(wave)
    return waves.filter(({ id }) => this.#progress.get(id)?.isComplete === false)
  }

  /** Whether a machine is due for its upkeep, or in it. */
  concerns(machine: string): boolean {
    if (this.#ordered.has(machine)) return true
    return this.#opts.view
      .waves()
      .some(
        ({ id, machines }) =>
          machines.includes(machine) && this.#progress.get(id)?.begun.has(machine) === false,
      )
  }

  async #load(wave: KnownWave): Promise<void> {
    const key = String(wave.id)
    const row = await this.#opts.store.read(wavesTable, key)
    const parsed = waveRowSchema.safeParse(row?.value)
    this.#progress.set(wave.id, {
      begun: new Set(parsed.success ? parsed.data.begun : []),
      isComplete: parsed.success && parsed.data.isComplete,
    })
    if (row === undefined) await this.#store(wave, 'running')
  }
  /** Orders what the plan of the wave asks for now. */
  async advance(wave: KnownWave, machines: readonly Machine[], sentAt: number): Promise<void> {
    const progress = this.#progress.get(wave.id)
    if (progress === undefined) return
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    this.#noteReturned(wave, byId, sentAt)
    const left = wave.machines.filter(id => !progress.begun.has(id) && byId.has(id))
    const ordered = [...this.#ordered].filter(([, { waveId }]) => waveId === wave.id)
    // An earlier holder may have ordered upkeeps that are under way.
    const down = machines.filter(
      ({ id, state }) => state === 'upkeep' && wave.machines.includes(id),
    )
    const contested = this.#contestedMachines(byId).filter(
      id => wave.machines.includes(id) && !progress.begun.has(id),
    )
    const away = new Set([...ordered.map(([id]) => id), ...down.map(({ id }) => id), ...contested])
      .size
    const isOver = left.length === 0 && away === 0
    if (isOver) {
      progress.isComplete = true
      await this.#store(wave, 'completed')
      this.#opts.log.info('wave completed', { wave: wave.id, machines: wave.machines.length })
      return
    }
    const waiting = left.filter(id => !this.#ordered.has(id) && !this.#record.isContested(id))
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
    for (const id of waiting) this.#spread(byId.get(id))
    const unsettled = ordered.flatMap(([id, { isAccepted }]) => (isAccepted ? [] : [id]))
    const ids = [...unsettled, ...plan.upkeep]
    if (ids.length === 0 || !(await this.#record.record('upkeep', ids))) return
    const orders = unsettled.map(id => this.#orderUpkeep(id, byId.get(id), wave))
    for (const id of plan.upkeep) {
      const session = sessionOf(this.#opts, byId.get(id))
      // Looked at again for each machine, because the last order makes its tasks count as away.
      if (session !== undefined && !this.#mayLose(session)) continue
      if (session !== undefined) session.isLeaving = true
      orders.push(this.#orderUpkeep(id, byId.get(id), wave))
    }
    await Promise.all(orders)
    await this.#storeBegun(wave, progress)
  }

  /** Stored at once: the next holder would order the same machines once more, before the others. */
  async #storeBegun(wave: KnownWave, progress: WaveProgress): Promise<void> {
    const before = progress.begun.size
    for (const [id, { waveId, isAccepted }] of this.#ordered) {
      if (waveId === wave.id && isAccepted) progress.begun.add(id)
    }
    if (progress.begun.size > before) await this.#store(wave, 'running')
  }

  /** Their lasting tasks count as away, because an order of the earlier holder may still take effect. */
  #contestedMachines(byId: ReadonlyMap<string, Machine>): string[] {
    const ordered = new Set([...this.#ordered.values()].map(({ runnerId }) => runnerId))
    for (const session of this.#contested) session.isLeaving = ordered.has(session.id)
    this.#contested.clear()
    const ids = this.#record.contestedUpkeeps()
    for (const id of ids) {
      const session = sessionOf(this.#opts, byId.get(id))
      if (session === undefined) continue
      session.isLeaving = true
      this.#contested.add(session)
    }
    return ids
  }

  /** Notes machines whose upkeep is over. */
  #noteReturned(wave: KnownWave, byId: ReadonlyMap<string, Machine>, sentAt: number): void {
    const { sessions, timing, log } = this.#opts
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
      log.info('upkeep over', { wave: wave.id, machine: id, state: machine?.state, isReplaced })
    }
  }

  #asWaveMachine(machine: Machine): WaveMachine {
    const session = sessionOf(this.#opts, machine)
    const occupants = [...(session?.occupants.values() ?? [])]
    const lasting = occupants.filter(({ task }) => task?.step.step.isLasting === true)
    return {
      id: machine.id,
      pool: machine.pool,
      isSpare: isSparePool(this.#opts, machine.pool),
      isUp: machine.state === 'up',
      isClosing: session?.isClosing === true,
      finite: occupants.length - lasting.length,
      lasting: lasting.length,
      mayLose: session === undefined || this.#mayLose(session),
    }
  }

  /** Whether all lasting tasks of a runner may be away at once, beside those that are already. */
  #mayLose(session: RunnerSession): boolean {
    return [...lastingSteps(session)].every(([step, here]) => {
      const allowed = step.step.mayMiss ?? Number.POSITIVE_INFINITY
      return countAway(step, this.#opts.sessions, session.id) + here.length <= allowed
    })
  }

  /**
   * A closed machine with more tasks of a step than may be away at once could never have its upkeep,
   * so one of them moves at a time.
   */
  #spread(machine: Machine | undefined): void {
    const session = sessionOf(this.#opts, machine)
    if (session?.isClosing !== true) return
    for (const [step, here] of lastingSteps(session)) {
      const allowed = step.step.mayMiss ?? Number.POSITIVE_INFINITY
      const [first] = here
      if (first === undefined || here.length <= allowed || first.state !== 'present') continue
      if (countAway(step, this.#opts.sessions) >= allowed) continue
      const { name, run } = first
      this.#opts.log.info('run moved before an upkeep', { task: name, run, runner: session.id })
      void session.stop(first)
    }
  }

  #close(machine: Machine | undefined, wave: KnownWave): void {
    const session = sessionOf(this.#opts, machine)
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
    const { machines, holder, fence } = this.#opts
    const session = sessionOf(this.#opts, machine)
    const known = this.#ordered.get(id)
    if (known === undefined && session !== undefined) session.isClosing = true
    const order = known ?? {
      waveId: wave.id,
      orderedAt: performance.now(),
      runnerId: machine?.runnerId,
      isAccepted: false,
    }
    this.#ordered.set(id, order)
    const result = await sendOrder(this.#opts, 'upkeep', {
      fields: { wave: wave.id, machine: id },
      call: () => machines.upkeep({ machine: id, wave: wave.id, holder, fence }),
    })
    // What ran there counts as running until the list shows that its runner is gone: the order may
    // be carried out later, and an upkeep that is over already ends nothing.
    if (result === 'accepted') {
      order.isAccepted = true
      order.orderedAt = performance.now()
    }
    if (result !== 'refused' || known !== undefined) return
    this.#ordered.delete(id)
    if (session === undefined) return
    session.isClosing = false
    session.isLeaving = false
  }
  async #store(wave: KnownWave, state: 'running' | 'completed'): Promise<void> {
    const progress = this.#progress.get(wave.id)
    if (progress === undefined) return
    const key = String(wave.id)
    const value = { begun: [...progress.begun], isComplete: progress.isComplete }
    const result = await this.#opts.store.commit({
      checks: [this.#opts.check],
      writes: [{ table: wavesTable, key, value }, this.#opts.waveStatusRow(wave.id, state)],
    })
    if (!result.committed) this.#opts.log.warn('wave not stored', { wave: wave.id, state })
  }
}

/** The lasting tasks of a runner whose absence is limited, by step. */
function lastingSteps({ occupants }: RunnerSession): Map<StepState, Occupant[]> {
  const steps = new Map<StepState, Occupant[]>()
  for (const occupant of occupants.values()) {
    const step = occupant.task?.step
    if (step?.step.isLasting !== true || step.step.mayMiss === undefined) continue
    steps.set(step, [...(steps.get(step) ?? []), occupant])
  }
  return steps
}

function countPools(machines: readonly Machine[]): Map<string, number> {
  const sizes = new Map<string, number>()
  for (const { pool } of machines) sizes.set(pool, (sizes.get(pool) ?? 0) + 1)
  return sizes
}
