import { z } from 'zod'
import type { Write } from '@bulrushbridge/store'
import type { MachineContext } from './machine-context.js'

/** Table and key of the row with the machines that recently got an order. */
const recordTable = 'machines'
const recordKey = 'ordered'

/**
 * How many times `machineOrderGapMs` an open move of an earlier dispatcher is left to itself. One that is
 * carried out late shows in the list by then, and needs no second order.
 */
const openMoveGaps = 2

const orderSchema = z.object({
  kind: z.enum(['move', 'upkeep']),
  holder: z.string(),
  /** Pool to which the machine moves. */
  pool: z.string().optional(),
  /** Runner that the order ends. */
  runnerId: z.string().optional(),
})
const recordSchema = z.record(z.string(), orderSchema)

type RecordedOrder = z.infer<typeof orderSchema>

/** What a machine is ordered to do: move to another pool, or begin its upkeep. */
export type MachineOrderKind = RecordedOrder['kind']

/** An order that is to be recorded before it is sent. */
export type MachineOrder = Omit<RecordedOrder, 'holder'> & { machine: string }

/**
 * The machines that recently got an order from this dispatcher or an earlier one; stored before
 * each order is sent. Two dispatchers must not send orders for the same machine within
 * `machineOrderGapMs`. With the record a new dispatcher waits for these machines only, and orders
 * all others at once.
 */
export class MachineOrderRecord {
  readonly #opts: MachineContext
  readonly #startedAt = performance.now()
  /** What the earlier dispatcher had stored when this one took over. */
  #earlierOrders: Record<string, RecordedOrder> = {}
  /** What the row holds now. */
  #storedOrders: Record<string, RecordedOrder> = {}
  /** Orders of earlier dispatchers that may still be sent or carried out, by machine. */
  readonly #openOrders = new Map<string, RecordedOrder>()
  readonly #ownOrders = new Map<string, RecordedOrder & { orderedAt: number }>()
  #isLoaded = false

  constructor(opts: MachineContext) {
    this.#opts = opts
  }

  /** Reads what the earlier dispatcher stored; its later writes fail, as they check its lease. */
  async load(): Promise<void> {
    if (this.#isLoaded) return
    const row = await this.#opts.store.read(recordTable, recordKey)
    const parsed = recordSchema.safeParse(row?.value)
    if (row !== undefined && !parsed.success) {
      this.#opts.log.warn('stored machine orders have an invalid format', { key: recordKey })
    }
    this.#earlierOrders = parsed.success ? parsed.data : {}
    this.#storedOrders = this.#earlierOrders
    for (const [id, order] of Object.entries(this.#earlierOrders)) this.#openOrders.set(id, order)
    this.#isLoaded = true
  }

  /**
   * Whether another host may have sent the machine an order less than `machineOrderGapMs` ago, or an open
   * move of an earlier dispatcher may still show its effect in the list.
   */
  isRecentlyOrderedElsewhere(machine: string): boolean {
    if (this.#openOrders.get(machine)?.kind === 'move') {
      const gapMs = openMoveGaps * this.#opts.timing.machineOrderGapMs
      return performance.now() - this.#startedAt <= gapMs
    }
    const order = this.#earlierOrders[machine]
    return this.#isEarlierRecordRecent && order !== undefined && order.holder !== this.#opts.holder
  }

  /**
   * Machines whose upkeep an earlier dispatcher ordered and may begin at any time. They stay so until
   * they are settled: an order without an answer can be carried out long after it was sent.
   */
  openEarlierUpkeeps(): string[] {
    return [...this.#openOrders].flatMap(([id, { kind }]) => (kind === 'upkeep' ? [id] : []))
  }

  /** Moves that an earlier dispatcher recorded and may still send, or that may be carried out late. */
  openEarlierMoves(): { machine: string; to: string; runnerId: string | undefined }[] {
    return [...this.#openOrders].flatMap(([machine, { kind, pool, runnerId }]) =>
      kind === 'move' && pool !== undefined ? [{ machine, to: pool, runnerId }] : [],
    )
  }

  /** Runners that an order of an earlier dispatcher may end at any time. */
  threatenedRunners(): Set<string> {
    const ids = new Set<string>()
    for (const { runnerId } of this.#openOrders.values())
      if (runnerId !== undefined) ids.add(runnerId)
    return ids
  }

  /**
   * Notes that an earlier order for a machine can have no effect any more: it has been carried out, or the
   * machine has accepted an order with the fencing token of this dispatcher.
   */
  settle(machine: string): void {
    this.#openOrders.delete(machine)
  }

  /**
   * Stores orders that are to be sent, together with `writes`; returns false if they must not be sent,
   * because this dispatcher's lease is in doubt or its check failed.
   */
  async storeOrders(
    orders: readonly MachineOrder[],
    writes: readonly Write[] = [],
  ): Promise<boolean> {
    const orderedAt = performance.now()
    const { holder } = this.#opts
    for (const { machine, ...order } of orders)
      this.#ownOrders.set(machine, { ...order, holder, orderedAt })
    const isStored = orders.every(order => this.#isStored(order))
    if (isStored && writes.length === 0) return !this.#opts.isInactive()
    return this.#commit(writes)
  }

  #isStored({ machine, kind, pool, runnerId }: MachineOrder): boolean {
    const stored = this.#storedOrders[machine]
    return (
      stored?.holder === this.#opts.holder &&
      stored.kind === kind &&
      stored.pool === pool &&
      stored.runnerId === runnerId
    )
  }

  /** Removes outdated orders, for which the next dispatcher would wait without need. */
  async removeOutdated(): Promise<void> {
    if (isEmpty(this.#storedOrders) || !isEmpty(this.#recentOrders())) return
    await this.#commit([])
  }

  async #commit(writes: readonly Write[]): Promise<boolean> {
    const value = this.#recentOrders()
    const result = await this.#opts.store.commit({
      checks: [this.#opts.leaseCheck],
      writes: [...writes, { table: recordTable, key: recordKey, value }],
    })
    if (!result.committed) {
      this.#opts.log.warn('machine orders not stored, the lease check failed', {
        machines: Object.keys(value).length,
      })
      return false
    }
    this.#storedOrders = value
    return true
  }

  get #isEarlierRecordRecent(): boolean {
    return performance.now() - this.#startedAt <= this.#opts.timing.machineOrderGapMs
  }

  /** What the next dispatcher must know; includes orders of earlier ones while they are recent. */
  #recentOrders(): Record<string, RecordedOrder> {
    const { timing } = this.#opts
    const now = performance.now()
    const current = this.#isEarlierRecordRecent
      ? { ...this.#earlierOrders }
      : Object.fromEntries(this.#openOrders)
    for (const [id, { orderedAt, ...order }] of this.#ownOrders) {
      if (now - orderedAt <= timing.machineOrderGapMs) current[id] = order
      else this.#ownOrders.delete(id)
    }
    return current
  }
}

function isEmpty(record: Record<string, RecordedOrder>): boolean {
  return Object.keys(record).length === 0
}
