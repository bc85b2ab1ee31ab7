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
  /** Machines that an earlier holder may have ordered lately. */
  #earlier = new Map<string, RecordedOrder>()
  readonly #own = new Map<string, { kind: OrderKind; orderedAt: number }>()
  /** Own orders in the stored record. */
  #stored = new Set<string>()
  #isEmpty = true
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
    this.#earlier = new Map(parsed.success ? Object.entries(parsed.data) : [])
    this.#isEmpty = this.#earlier.size === 0
    this.#isLoaded = true
  }

  /** Whether another host may have ordered the machine too short a time ago. */
  isContested(machine: string): boolean {
    const order = this.#earlier.get(machine)
    return this.#isRecent && order !== undefined && order.holder !== this.#opts.holder
  }

  /** Machines whose upkeep an earlier holder may just have ordered; they may go down any moment. */
  contestedUpkeeps(): string[] {
    if (!this.#isRecent) return []
    return [...this.#earlier].flatMap(([id, { kind }]) => (kind === 'upkeep' ? [id] : []))
  }

  /** Stores machines before they are ordered; false when nothing may be ordered. */
  async record(
    kind: OrderKind,
    machines: readonly string[],
    writes: readonly Write[] = [],
  ): Promise<boolean> {
    const orderedAt = performance.now()
    for (const id of machines) this.#own.set(id, { kind, orderedAt })
    if (writes.length === 0 && machines.every(id => this.#stored.has(id))) return true
    return this.#store(writes)
  }

  /** Empties a record that is out of date, which would hold up the next holder for nothing. */
  async prune(): Promise<void> {
    if (this.#isEmpty || Object.keys(this.#current()).length > 0) return
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
    const { holder } = this.#opts
    this.#stored = new Set(Object.keys(value).filter(id => value[id]?.holder === holder))
    this.#isEmpty = Object.keys(value).length === 0
    return true
  }

  get #isRecent(): boolean {
    return performance.now() - this.#startedAt <= this.#opts.timing.machineLeaseMs
  }

  /** What the next holder must know; the orders of earlier holders stay while they are recent. */
  #current(): Record<string, RecordedOrder> {
    const { timing, holder } = this.#opts
    const now = performance.now()
    const current = this.#isRecent ? Object.fromEntries(this.#earlier) : {}
    for (const [id, { kind, orderedAt }] of this.#own) {
      if (now - orderedAt <= timing.machineLeaseMs) current[id] = { kind, holder }
      else this.#own.delete(id)
    }
    return current
  }
}
