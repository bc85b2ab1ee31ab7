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
import type { MachineOrderRecord } from './machine-order-record.js'
import { sendMachineOrder } from './send-machine-order.js'
import type { WaveOrders } from './wave-orders.js'

/**
 * Time after which an accepted move counts as failed if its machine is down or up in another pool, in
 * milliseconds beyond the duration of a move; the machine crashed meanwhile.
 */
const failedMoveSlackMs = 3_000

/** Growth of the work that waits for a pool from which its machines are planned again at once. */
const growthFactor = 1.2

/** Table and key of the row with the machines that are lent, see `PoolMoves`. */
const lentTable = 'machines'
const lentKey = 'lent'

const lentSchema = z.array(z.string())

interface OrderedMove {
  to: string
  /** Runner on the machine when the order was first sent. */
  runnerId: string | undefined
  /** When the order was accepted; undefined while this is not known. */
  acceptedAt: number | undefined
}

/**
 * Moves machines between pools as the pools' demand changes. From the time at which its move to a
 * working pool (any pool but a spare one) is planned, a machine counts as lent until a move has
 * brought it back into a spare pool. It may come from a spare pool or from another working pool.
 */
export class PoolMoves {
  readonly #opts: MachineContext
  readonly #orderRecord: MachineOrderRecord
  /** Machines that were ordered into another pool and are not listed as up there yet. */
  readonly #moving = new Map<string, OrderedMove>()
  /** Machines for which a move to a working pool was planned and that have not returned since. */
  readonly #lent = new Set<string>()
  #isLentRead = false
  /** Processor time that waited for machines of each pool in the last round, in thousandths of a core. */
  readonly #waitingBefore = new Map<string, number>()
  /** For each idle machine, the time since which nothing runs on it. */
  readonly #idleSince = new Map<string, number>()

  constructor(opts: MachineContext, record: MachineOrderRecord) {
    this.#opts = opts
    this.#orderRecord = record
  }

  /** Whether a machine was ordered into another pool and is not listed as up there yet. */
  isMoving(machine: string): boolean {
    return this.#moving.has(machine)
  }

  /** Whether more work waits for machines of a pool than in the last round. */
  hasShortageGrown(): boolean {
    return this.#poolNames().some(pool => {
      const before = this.#waitingBefore.get(pool) ?? 0
      return this.#opts.waitingAmounts(pool).cpuMillis > growthFactor * before
    })
  }

  /** Whether machines are moving or tasks of a pool find no runner with enough free resources. */
  get isBusy(): boolean {
    if (this.#moving.size > 0) return true
    return this.#poolNames().some(pool => this.#opts.waitingAmounts(pool).cpuMillis > 0)
  }

  /**
   * Sends the move orders that the current demand of the pools requires. `machines` is the platform's
   * list, requested at local time `listRequestedAt`.
   */
  async advance(
    machines: readonly Machine[],
    listRequestedAt: number,
    waves: WaveOrders,
  ): Promise<void> {
    const now = performance.now()
    for (const pool of this.#poolNames())
      this.#waitingBefore.set(pool, this.#opts.waitingAmounts(pool).cpuMillis)
    if (!this.#isLentRead) await this.#readLent()
    this.#finishMoves(machines, listRequestedAt)
    this.#settleEarlierMoves(machines)
    this.#updateIdleTimes(machines, now)
    const movable = machines.filter(
      ({ id, state }) =>
        state === 'up' &&
        !this.#moving.has(id) &&
        waves.mayMove(id) &&
        !this.#orderRecord.isRecentlyOrderedElsewhere(id),
    )
    const maxMoves = this.#opts.orderRate.available(now)
    const moves = planPoolMoves({
      machines: movable.map(machine => this.#toMovable(machine, waves)),
      pools: this.#poolNames().map(name => this.#poolLoad(name, machines)),
      now,
      maxMoves,
    })
    if (moves.length > 0 && moves.length >= maxMoves)
      this.#opts.metrics.count('bulrush_machine_orders_delayed_total', { kind: 'move' })
    // Stored before orders are sent, so that the next dispatcher knows which machines are lent.
    const toWorkingPools = moves.filter(({ to }) => !isSparePool(this.#opts, to))
    for (const { machine } of toWorkingPools) this.#lent.add(machine)
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    const unaccepted = [...this.#moving].flatMap(([machine, { to, acceptedAt }]) =>
      acceptedAt === undefined ? [{ machine, to }] : [],
    )
    const planned = new Set(moves.map(({ machine }) => machine))
    const earlier = this.#repeatableMoves(movable).filter(({ machine }) => !planned.has(machine))
    const orders = [...unaccepted, ...earlier, ...moves]
    if (orders.length === 0) return
    const lent = { table: lentTable, key: lentKey, value: [...this.#lent] }
    const recorded = orders.map(({ machine, to }) => {
      const runnerId = this.#moving.get(machine)?.runnerId ?? byId.get(machine)?.runnerId
      const runner = runnerId === undefined ? {} : { runnerId }
      return { machine, kind: 'move' as const, pool: to, ...runner }
    })
    if (!(await this.#orderRecord.storeOrders(recorded, toWorkingPools.length > 0 ? [lent] : [])))
      return
    await Promise.all(orders.map(move => this.#orderMove(move, byId.get(move.machine))))
  }

  /** Forgets the open moves of earlier dispatchers that can have no effect on their machine any more. */
  #settleEarlierMoves(machines: readonly Machine[]): void {
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    for (const { machine, to, runnerId } of this.#orderRecord.openEarlierMoves()) {
      const listed = byId.get(machine)
      const isOver = listed === undefined || (listed.state === 'up' && listed.pool === to)
      const isOtherRunner = listed?.state === 'up' && listed.runnerId !== runnerId
      if (isOver || isOtherRunner) this.#orderRecord.settle(machine)
    }
  }

  /**
   * Open moves of earlier dispatchers for machines on which nothing runs. They are sent again, as only an
   * order with the token of this term ends the earlier ones.
   */
  #repeatableMoves(movable: readonly Machine[]): PoolMove[] {
    const byId = new Map(movable.map(machine => [machine.id, machine]))
    return this.#orderRecord.openEarlierMoves().flatMap(({ machine, to }) => {
      const listed = byId.get(machine)
      if (listed === undefined) return []
      return (sessionOf(this.#opts, listed)?.allocations.size ?? 0) > 0 ? [] : [{ machine, to }]
    })
  }

  #finishMoves(machines: readonly Machine[], listRequestedAt: number): void {
    const byId = new Map(machines.map(machine => [machine.id, machine]))
    for (const [id, move] of [...this.#moving]) {
      const machine = byId.get(id)
      const isReplaced = machine?.state !== 'up' || machine.runnerId !== move.runnerId
      if (isReplaced && move.runnerId !== undefined) {
        this.#opts.sessions.get(move.runnerId)?.markMachineUnavailable(listRequestedAt)
      }
      const hasArrived =
        machine === undefined || (machine.state === 'up' && machine.pool === move.to)
      if (move.acceptedAt === undefined) continue
      const overAt = move.acceptedAt + this.#opts.timing.moveMs + failedMoveSlackMs
      const hasFailed = machine?.state !== 'moving' && listRequestedAt > overAt
      if (!hasArrived && !hasFailed) continue
      this.#moving.delete(id)
      this.#idleSince.delete(id)
      if (hasArrived && isSparePool(this.#opts, move.to)) this.#lent.delete(id)
      const outcome = hasArrived ? 'machine moved' : 'machine move failed'
      this.#opts.log.info(outcome, { machine: id, pool: move.to })
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

  #toMovable(listed: Machine, waves: WaveOrders): MovableMachine {
    const { id, pool, capacity, zone } = listed
    return {
      id,
      pool,
      capacity,
      isLent: this.#lent.has(id),
      isZoneWithdrawn: this.#opts.view.withdrawnZones().has(zone),
      isLost: sessionOf(this.#opts, listed)?.unreachableSince !== undefined,
      isUpkeepDue: waves.isUpkeepDueOrOrdered(id),
      idleSince: this.#idleSince.get(id),
    }
  }

  /** Reads which machines earlier dispatchers lent; an undecodable row counts as empty. */
  async #readLent(): Promise<void> {
    const row = await this.#opts.store.read(lentTable, lentKey)
    const parsed = lentSchema.safeParse(row?.value)
    for (const id of parsed.success ? parsed.data : []) this.#lent.add(id)
    this.#isLentRead = true
  }

  #poolLoad(name: string, machines: readonly Machine[]): PoolLoad {
    const up = machines.filter(({ pool, state }) => pool === name && state === 'up')
    const usableCount = up.filter(machine => this.#isUsable(machine)).length
    const arrivingCount = machines.filter(machine => this.#isArriving(machine, name)).length
    const isSpare = isSparePool(this.#opts, name)
    const waiting = isSpare ? noAmounts : this.#opts.waitingAmounts(name)
    const load = { name, isSpare, waiting, arrivingCount, upCount: up.length, usableCount }
    return isSpare ? load : { ...load, ...this.#opts.demand.loadOf(name) }
  }

  /** Whether a machine is on its way into a pool, by an order of this dispatcher or an earlier one. */
  #isArriving({ id, state, pool }: Machine, to: string): boolean {
    const move = this.#moving.get(id)
    if (move === undefined) return state === 'moving' && pool === to
    return move.to === to && state !== 'down'
  }

  /** Whether runs can start on a machine that is up; its runner may not have registered yet. */
  #isUsable(machine: Machine): boolean {
    const session = sessionOf(this.#opts, machine)
    return session === undefined || this.#opts.canStartOn(session)
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
    if (session !== undefined) {
      session.isCordoned = true
      session.hasOpenMachineOrder = true
    }
    const move = existing ?? { to, runnerId: listed?.runnerId, acceptedAt: undefined }
    this.#moving.set(machine, move)
    const result = await sendMachineOrder(this.#opts, 'move', {
      fields: { machine, pool: to },
      call: () => machines.move({ machine, pool: to, holder, fence }),
    })
    if (result === 'accepted') {
      move.acceptedAt = performance.now()
      this.#orderRecord.settle(machine)
      const ordered = this.#opts.sessions.get(move.runnerId ?? '')
      if (ordered !== undefined) ordered.hasOpenMachineOrder = false
    }
    if (result !== 'refused' || existing !== undefined) return
    this.#moving.delete(machine)
    if (session === undefined) return
    session.isCordoned = false
    session.hasOpenMachineOrder = false
  }
}
