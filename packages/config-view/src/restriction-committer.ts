import type { ChangeRow } from '@bulrushbridge/contract'
import type { Transaction } from '@bulrushbridge/store'
import type { View } from './config-view.js'
import { changeKey, type HeadRow } from './head.js'
import type { PendingRestriction } from './restrictions.js'
import { restrictionCommitMs } from './timing.js'

/** Commits held restrictions once the store answers. Every holder tries; one succeeds. */
export class RestrictionCommitter {
  readonly #view: View
  readonly #inProgress = new Set<string>()

  constructor(view: View) {
    this.#view = view
  }

  /** Commits each held restriction that is not being committed already. */
  async run(headRow: HeadRow): Promise<void> {
    const held = this.#view.restrictions.pending.filter(({ id }) => !this.#inProgress.has(id))
    // One after the other: concurrent commits of one holder would only race each other.
    for (const restriction of held) {
      this.#inProgress.add(restriction.id)
      try {
        await this.#commit(restriction, headRow)
      } finally {
        this.#inProgress.delete(restriction.id)
      }
    }
  }

  /** Needs one call unless it loses a race, because the time after an outage is short. */
  async #commit(restriction: PendingRestriction, known: HeadRow): Promise<void> {
    const view = this.#view
    const deadline = view.clock.now() + restrictionCommitMs
    let headRow = known
    while (view.restrictions.has(restriction.id) && view.clock.now() < deadline) {
      const { row, tx } = restrictionCommit(restriction, headRow)
      const result = await view.table.commit(tx, { deadline })
      if (result.committed) {
        view.apply([row])
        return
      }
      if (result.failed.some(({ table }) => table === 'restrictions')) {
        await this.#dropSettled(restriction.id, deadline)
        return
      }
      headRow = await view.reader.head({ deadline })
    }
  }

  /** Drops a restriction once the row that settles it is applied, so that nothing is lost. */
  async #dropSettled(id: string, deadline: number): Promise<void> {
    const view = this.#view
    const settled = await view.table.read<{ version: number }>('restrictions', id, { deadline })
    if (!settled || view.committed().version < settled.value.version) return
    view.restrictions.settle(id, settled.value.version)
    view.refresh()
  }
}

function restrictionCommit(restriction: PendingRestriction, { head, rowVersion }: HeadRow) {
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
