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

/** Most machines that are moved to other pools in one round. */
const maxMovesPerRound = 16

/** Table and key of the row with the machines that came out of the spare pool. */
const lentTable = 'machines'
const lentKey = 'lent'

const lentSchema = z.array(z.string())

interface OrderedMove {
  to: string
  /** Runner on the machine when the order was first sent. */
  runnerId: string | undefined
  /** Whether the order is known to have been accepted. */
  isAccepted: boolean
}

/** Moves machines between pools as the pools' demand changes. */
export class PoolMoves {
  readonly #opts: MachineContext
  readonly #orderRecord: OrderRecord
  /** Machines that were ordered into another pool and are not listed as up there yet. */
  readonly #moving = new Map<string, OrderedMove>()
  /** Machines that came out of the spare pool and are to return to it. */
  readonly #lent = new Set<string>()
  #isLentRead = false
  /** For each idle machine, the time since which nothing runs on it. */
  readonly #idleSince = new Map<string, number>()

  constructor(opts: MachineContext, record: OrderRecord) {
    this.#opts = opts
    this.#orderRecord = record
  }

  /** Whether machines are moving or tasks wait for room. */
  get isBusy(): boolean {
    if (this.#moving.size > 0) return true
    return this.#poolNames().some(pool => this.#opts.waitingAmounts(pool).cpuMillis > 0)
  }

  /** Sends the move orders that the current demand of the pools requires. */
  async advance(machines: readonly Machine[], waves: WaveOrders): Promise<void> {
    const now = performance.now()
    if (!this.#isLentRead) await this.#readLent()
    this.#finishMoves(machines)
    this.#updateIdleTimes(machines, now)
    // A machine that is due for upkeep does not move before it, as its wave would have to wait.
    const movable = machines.filter(
      ({ id, state }) =>
        state === 'up' &&
        !this.#moving.has(id) &&
        !waves.isDueOrInUpkeep(id) &&
        !this.#orderRecord.isRecentlyOrderedElsewhere(id),
    )
    const moves = planPoolMoves({
      machines: movable.map(machine => this.#toMovable(machine)),
      pools: this.#poolNames().map(name => this.#poolLoad(name, machines)),
      now,
      limit: maxMovesPerRound,
    })
    // Stored before orders are sent, so that the next dispatcher knows which machines to return.
    const fromSpare = moves.filter(({ to }) => !isSparePool(this.#opts, to))
    for (const { machine } of fromSpare) this.#lent.add(machine)
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    const unaccepted = [...this.#moving].filter(([, { isAccepted }]) => !isAccepted)
    const ids = [...unaccepted.map(([machine]) => machine), ...moves.map(({ machine }) => machine)]
    if (ids.length === 0) return
    const lent = { table: lentTable, key: lentKey, value: [...this.#lent] }
    if (!(await this.#orderRecord.record('move', ids, fromSpare.length > 0 ? [lent] : []))) return
    await Promise.all([
      ...unaccepted.map(([machine, { to }]) => this.#orderMove({ machine, to }, byId.get(machine))),
      ...moves.map(move => this.#orderMove(move, byId.get(move.machine))),
    ])
  }

  #finishMoves(machines: readonly Machine[]): void {
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    for (const [id, move] of [...this.#moving]) {
      const machine = byId.get(id)
      const isReplaced = machine?.state !== 'up' || machine.runnerId !== move.runnerId
      if (isReplaced && move.runnerId !== undefined) {
        this.#opts.sessions.get(move.runnerId)?.markMachineGone()
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

  #updateIdleTimes(machines: readonly Machine[], now: number): void {
    for (const machine of machines) {
      const session = sessionOf(this.#opts, machine)
      if (session !== undefined) session.isLent = this.#lent.has(machine.id)
      const isIdle = machine.state === 'up' && session?.allocations.size === 0
      if (!isIdle) this.#idleSince.delete(machine.id)
      else if (!this.#idleSince.has(machine.id)) this.#idleSince.set(machine.id, now)
    }
  }

  #toMovable({ id, pool, capacity, zone }: Machine): MovableMachine {
    const isZoneOut = this.#opts.view.zonesOut().has(zone)
    const idleSince = this.#idleSince.get(id)
    return { id, pool, capacity, isLent: this.#lent.has(id), isZoneOut, idleSince }
  }

  /** Reads which machines earlier dispatchers took out of the spare pool. */
  async #readLent(): Promise<void> {
    const row = await this.#opts.store.read(lentTable, lentKey)
    const parsed = lentSchema.safeParse(row?.value)
    for (const id of parsed.success ? parsed.data : []) this.#lent.add(id)
    this.#isLentRead = true
  }

  #poolLoad(name: string, machines: readonly Machine[]): PoolLoad {
    const arriving = [...this.#moving.values()].filter(({ to }) => to === name).length
    const up = machines.filter(({ pool, state }) => pool === name && state === 'up').length
    const isSpare = isSparePool(this.#opts, name)
    const waiting = isSpare ? noAmounts : this.#opts.waitingAmounts(name)
    return { name, isSpare, waiting, arriving, up }
  }

  #poolNames(): string[] {
    return (this.#opts.view.configuration()?.pools ?? []).map(({ name }) => name)
  }

  async #orderMove({ machine, to }: PoolMove, listed: Machine | undefined): Promise<void> {
    const { machines, holder, fence } = this.#opts
    const existing = this.#moving.get(machine)
    const session = existing === undefined ? sessionOf(this.#opts, listed) : undefined
    // Checked again, because a run may have started since the machines were listed.
    if (session !== undefined && session.allocations.size > 0) return
    if (session !== undefined) session.isCordoned = true
    const move = existing ?? { to, runnerId: listed?.runnerId, isAccepted: false }
    this.#moving.set(machine, move)
    const result = await sendOrder(this.#opts, 'move', {
      fields: { machine, pool: to },
      call: () => machines.move({ machine, pool: to, holder, fence }),
    })
    if (result === 'accepted') move.isAccepted = true
    if (result !== 'refused' || existing !== undefined) return
    this.#moving.delete(machine)
    if (session !== undefined) session.isCordoned = false
  }
}
