import { z } from 'zod'
import type { Write } from '@bulrushbridge/store'
import type { MachineContext } from './machine-context.js'

/** Table and key of the row with the machines that recently got an order. */
const recordTable = 'machines'
const recordKey = 'ordered'

const orderSchema = z.object({ kind: z.enum(['move', 'upkeep']), holder: z.string() })
const recordSchema = z.record(z.string(), orderSchema)

type RecordedOrder = z.infer<typeof orderSchema>

/** What a machine is ordered to do: move to another pool, or begin its upkeep. */
export type MachineOrderKind = RecordedOrder['kind']

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
  /** Machines whose upkeep an earlier dispatcher ordered, with an order that may still be carried out. */
  readonly #openUpkeeps = new Map<string, RecordedOrder>()
  readonly #ownOrders = new Map<string, { kind: MachineOrderKind; orderedAt: number }>()
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
    for (const [id, order] of Object.entries(this.#earlierOrders))
      if (order.kind === 'upkeep') this.#openUpkeeps.set(id, order)
    this.#isLoaded = true
  }

  /** Whether another host may have sent the machine an order less than `machineOrderGapMs` ago. */
  isRecentlyOrderedElsewhere(machine: string): boolean {
    const order = this.#earlierOrders[machine]
    return this.#isEarlierRecordRecent && order !== undefined && order.holder !== this.#opts.holder
  }

  /**
   * Machines whose upkeep an earlier dispatcher ordered and may begin at any time. They stay so until
   * they are settled: an order without an answer can be carried out long after it was sent.
   */
  openEarlierUpkeeps(): string[] {
    return [...this.#openUpkeeps.keys()]
  }

  /**
   * Notes that an earlier order for a machine can begin no upkeep any more: the upkeep has begun, or the
   * machine has accepted an order with the fencing token of this dispatcher.
   */
  settle(machine: string): void {
    this.#openUpkeeps.delete(machine)
  }

  /**
   * Stores the machines of orders that are to be sent, together with `writes`; returns false if the
   * orders must not be sent, because the check of this dispatcher's lease failed.
   */
  async storeOrders(
    kind: MachineOrderKind,
    machines: readonly string[],
    writes: readonly Write[] = [],
  ): Promise<boolean> {
    const orderedAt = performance.now()
    for (const id of machines) this.#ownOrders.set(id, { kind, orderedAt })
    const { holder } = this.#opts
    const isStored = machines.every(id => this.#storedOrders[id]?.holder === holder)
    if (isStored && writes.length === 0) return true
    return this.#commit(writes)
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
    const { timing, holder } = this.#opts
    const now = performance.now()
    const current = this.#isEarlierRecordRecent
      ? { ...this.#earlierOrders }
      : Object.fromEntries(this.#openUpkeeps)
    for (const [id, { kind, orderedAt }] of this.#ownOrders) {
      if (now - orderedAt <= timing.machineOrderGapMs) current[id] = { kind, holder }
      else this.#ownOrders.delete(id)
    }
    return current
  }
}

function isEmpty(record: Record<string, RecordedOrder>): boolean {
  return Object.keys(record).length === 0
}
