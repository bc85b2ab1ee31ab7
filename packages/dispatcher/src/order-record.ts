import { z } from 'zod'
import type { Write } from '@bulrushbridge/store'
import type { MachineContext } from './machine-context.js'

/** Table and key of the machines that have been ordered lately. */
const recordTable = 'machines'
const recordKey = 'ordered'

const orderSchema = z.object({ kind: z.enum(['move', 'upkeep']), holder: z.string() })
const recordSchema = z.record(z.string(), orderSchema)

type RecordedOrder = z.infer<typeof orderSchema>

/** What a machine is ordered to do. */
export type OrderKind = RecordedOrder['kind']

/**
 * The machines that this holder and the last ones have ordered lately, stored before each order.
 * Two holders that are both in touch must not order one machine within the time between holders; a
 * new holder waits for these machines only, and its moves for all others start at once.
 */
export class OrderRecord {
  readonly #opts: MachineContext
  readonly #startedAt = performance.now()
  /** What the last holder stored. */
  #earlier: Record<string, RecordedOrder> = {}
  /** What is stored now. */
  #stored: Record<string, RecordedOrder> = {}
  readonly #own = new Map<string, { kind: OrderKind; orderedAt: number }>()
  #isLoaded = false

  constructor(opts: MachineContext) {
    this.#opts = opts
  }

  /** Reads what the last holder has stored; its later writes fail, because they check its lease. */
  async load(): Promise<void> {
    if (this.#isLoaded) return
    const row = await this.#opts.store.read(recordTable, recordKey)
    const parsed = recordSchema.safeParse(row?.value)
    if (row !== undefined && !parsed.success) {
      this.#opts.log.warn('record of machine orders not readable', { key: recordKey })
    }
    this.#earlier = parsed.success ? parsed.data : {}
    this.#stored = this.#earlier
    this.#isLoaded = true
  }

  /** Whether another host may have ordered the machine too short a time ago. */
  isContested(machine: string): boolean {
    const order = this.#earlier[machine]
    return this.#isRecent && order !== undefined && order.holder !== this.#opts.holder
  }

  /** Machines whose upkeep an earlier holder may just have ordered; they may go down any moment. */
  contestedUpkeeps(): string[] {
    if (!this.#isRecent) return []
    return Object.entries(this.#earlier).flatMap(([id, { kind }]) =>
      kind === 'upkeep' ? [id] : [],
    )
  }

  /** Stores machines before they are ordered; false when nothing may be ordered. */
  async record(
    kind: OrderKind,
    machines: readonly string[],
    writes: readonly Write[] = [],
  ): Promise<boolean> {
    const orderedAt = performance.now()
    for (const id of machines) this.#own.set(id, { kind, orderedAt })
    const { holder } = this.#opts
    const isStored = machines.every(id => this.#stored[id]?.holder === holder)
    if (isStored && writes.length === 0) return true
    return this.#store(writes)
  }

  /** Empties a record that is out of date, which would hold up the next holder for nothing. */
  async prune(): Promise<void> {
    if (isEmpty(this.#stored) || !isEmpty(this.#current())) return
    await this.#store([])
  }

  async #store(writes: readonly Write[]): Promise<boolean> {
    const value = this.#current()
    const result = await this.#opts.store.commit({
      checks: [this.#opts.check],
      writes: [...writes, { table: recordTable, key: recordKey, value }],
    })
    if (!result.committed) {
      this.#opts.log.warn('machine orders not stored', { machines: Object.keys(value).length })
      return false
    }
    this.#stored = value
    return true
  }

  get #isRecent(): boolean {
    return performance.now() - this.#startedAt <= this.#opts.timing.machineLeaseMs
  }

  /** What the next holder must know; the orders of earlier holders stay while they are recent. */
  #current(): Record<string, RecordedOrder> {
    const { timing, holder } = this.#opts
    const now = performance.now()
    const current = this.#isRecent ? { ...this.#earlier } : {}
    for (const [id, { kind, orderedAt }] of this.#own) {
      if (now - orderedAt <= timing.machineLeaseMs) current[id] = { kind, holder }
      else this.#own.delete(id)
    }
    return current
  }
}

function isEmpty(record: Record<string, RecordedOrder>): boolean {
  return Object.keys(record).length === 0
}
