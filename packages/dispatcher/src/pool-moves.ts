import {
  noAmounts,
  planPoolMoves,
  type Machine,
  type MovableMachine,
  type PoolLoad,
  type PoolMove,
} from '@bulrushbridge/scheduler'
import { z } from 'zod'
import { isSparePool, sessionOf, type MachineContext } from './machine-context.js'
import type { OrderRecord } from './order-record.js'
import { sendOrder } from './send-order.js'
import type { WaveOrders } from './wave-orders.js'

/** Most machines that are ordered into other pools in one round. */
const movesPerRound = 16

/** Table and key of the list of machines that have come out of the spare pool. */
const lentTable = 'machines'
const lentKey = 'lent'

const lentSchema = z.array(z.string())

interface OrderedMove {
  to: string
  /** Runner on the machine when the order was first sent. */
  runnerId: string | undefined
  isAccepted: boolean
}
/** Moves machines between pools with their demand. */
export class PoolMoves {
  readonly #opts: MachineContext
  readonly #record: OrderRecord
  /** Machines ordered into another pool, until they are listed as up there. */
  readonly #moving = new Map<string, OrderedMove>()
  /** Machines that have been taken out of the spare pool. */
  readonly #lent = new Set<string>()
  #isLentLoaded = false
  /** Since when nothing runs on each machine. */
  readonly #idleSince = new Map<string, number>()

  constructor(opts: MachineContext, record: OrderRecord) {
    this.#opts = opts
    this.#record = record
  }

  /** Whether machines are on their way or work waits for machines. */
  get isBusy(): boolean {
    if (this.#moving.size > 0) return true
    return this.#poolNames().some(pool => this.#opts.waitingIn(pool).cpuMillis > 0)
  }

  /** Orders the moves that the demand of the pools asks for now. */
  async advance(machines: readonly Machine[], waves: WaveOrders): Promise<void> {
    const now = performance.now()
    if (!this.#isLentLoaded) await this.#loadLent()
    this.#noteMoved(machines)
    this.#noteIdle(machines, now)
    // A machine that is due for its upkeep has it first, or the wave would wait for the machine.
    const movable = machines.filter(
      ({ id, state }) =>
        state === 'up' &&
        !this.#moving.has(id) &&
        !waves.concerns(id) &&
        !this.#record.isContested(id),
    )
    const moves = planPoolMoves({
      machines: movable.map(machine => this.#asMovable(machine)),
      pools: this.#poolNames().map(name => this.#loadOf(name, machines)),
      now,
      limit: movesPerRound,
    })
    // Stored before the orders, so that no machine stays lent for good after a change of the holder.
    const leaving = moves.filter(({ to }) => !isSparePool(this.#opts, to))
    for (const { machine } of leaving) this.#lent.add(machine)
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    const unsettled = [...this.#moving].filter(([, { isAccepted }]) => !isAccepted)
    const ids = [...unsettled.map(([machine]) => machine), ...moves.map(({ machine }) => machine)]
    if (ids.length === 0) return
    const lent = { table: lentTable, key: lentKey, value: [...this.#lent] }
    if (!(await this.#record.record('move', ids, leaving.length > 0 ? [lent] : []))) return
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
      if (isSparePool(this.#opts, move.to)) this.#lent.delete(id)
      this.#opts.log.info('machine moved', { machine: id, pool: move.to })
    }
  }

  #noteIdle(machines: readonly Machine[], now: number): void {
    for (const machine of machines) {
      const session = sessionOf(this.#opts, machine)
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

  #loadOf(name: string, machines: readonly Machine[]): PoolLoad {
    const arriving = [...this.#moving.values()].filter(({ to }) => to === name).length
    const up = machines.filter(({ pool, state }) => pool === name && state === 'up').length
    const isSpare = isSparePool(this.#opts, name)
    const waiting = isSpare ? noAmounts : this.#opts.waitingIn(name)
    return { name, isSpare, waiting, arriving, up }
  }

  #poolNames(): string[] {
    return (this.#opts.view.configuration()?.pools ?? []).map(({ name }) => name)
  }

  async #orderMove({ machine, to }: PoolMove, listed: Machine | undefined): Promise<void> {
    const { machines, holder, fence } = this.#opts
    const known = this.#moving.get(machine)
    const session = known === undefined ? sessionOf(this.#opts, listed) : undefined
    // Looked at again: a task may have started since the list was asked for.
    if (session !== undefined && session.occupants.size > 0) return
    if (session !== undefined) session.isClosing = true
    const move = known ?? { to, runnerId: listed?.runnerId, isAccepted: false }
    this.#moving.set(machine, move)
    const result = await sendOrder(this.#opts, 'move', {
      fields: { machine, pool: to },
      call: () => machines.move({ machine, pool: to, holder, fence }),
    })
    if (result === 'accepted') move.isAccepted = true
    if (result !== 'refused' || known !== undefined) return
    this.#moving.delete(machine)
    if (session !== undefined) session.isClosing = false
  }
}
