import type { ChangeRow } from '@bulrushbridge/contract'
import type { Transaction } from '@bulrushbridge/store'
import type { View } from './config-view.js'
import { changeKey, type HeadRow } from './head.js'
import type { ProvisionalRestriction } from './restrictions.js'
import { restrictionCommitTimeoutMs } from './timing.js'

/**
 * Commits the provisional restrictions of a view once the store answers. Every entry host that
 * holds a restriction tries to commit it; one succeeds.
 */
export class RestrictionCommitter {
  readonly #view: View
  readonly #inProgress = new Set<string>()

  constructor(view: View) {
    this.#view = view
  }

  /** Commits each provisional restriction that is not being committed already. */
  async commitProvisional(headRow: HeadRow): Promise<void> {
    const restrictions = this.#view.restrictions.provisional.filter(
      ({ id }) => !this.#inProgress.has(id),
    )
    // One after the other, because concurrent commits from one process would conflict on the head.
    for (const restriction of restrictions) {
      this.#inProgress.add(restriction.id)
      try {
        await this.#commit(restriction, headRow)
      } finally {
        this.#inProgress.delete(restriction.id)
      }
    }
  }

  /**
   * Commits one restriction. The first attempt uses the head that was just read and needs only one
   * call, because the time to commit after an outage is short.
   */
  async #commit(restriction: ProvisionalRestriction, lastRead: HeadRow): Promise<void> {
    const view = this.#view
    const deadline = view.clock.now() + restrictionCommitTimeoutMs
    let headRow = lastRead
    while (view.restrictions.has(restriction.id) && view.clock.now() < deadline) {
      const { row, tx } = createCommit(restriction, headRow)
      const result = await view.table.commit(tx, { deadline })
      if (result.committed) {
        view.apply([row])
        return
      }
      if (result.failed.some(({ table }) => table === 'restrictions')) {
        await this.#removeIfSettled(restriction.id, deadline)
        return
      }
      headRow = await view.reader.head({ deadline })
    }
  }

  /**
   * Removes a restriction that the store shows as settled. It waits until the view has applied the
   * row that settles it, because the restriction would otherwise not be in force in between.
   */
  async #removeIfSettled(id: string, deadline: number): Promise<void> {
    const view = this.#view
    const settled = await view.table.read<{ version: number }>('restrictions', id, { deadline })
    if (!settled || view.committed().version < settled.value.version) return
    view.restrictions.settle(id, settled.value.version)
    view.refresh()
  }
}

/** Builds the change row of a restriction and the transaction that commits it. */
function createCommit(restriction: ProvisionalRestriction, { head, rowVersion }: HeadRow) {
  const { id, by, at, change } = restriction
  const version = head.version + 1
  const row: ChangeRow = { version, at, by, change, settles: [id] }
  const tx: Transaction = {
    checks: [
      { table: 'config', key: 'head', version: rowVersion },
      { table: 'restrictions', key: id, version: 0 },
    ],
    writes: [
      { table: 'config', key: 'head', value: { ...head, version } },
      { table: 'changes', key: changeKey(version), value: row },
      { table: 'restrictions', key: id, value: { version } },
    ],
  }
  return { row, tx }
}
