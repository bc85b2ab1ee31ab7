import type { ChangeRow } from '@bulrushbridge/contract'
import type { View } from './config-view.js'
import { changeKey } from './head.js'
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
  async run(): Promise<void> {
    const held = this.#view.restrictions.pending.filter(({ id }) => !this.#inProgress.has(id))
    // One after the other: concurrent commits of one holder would only race each other.
    for (const restriction of held) {
      this.#inProgress.add(restriction.id)
      try {
        await this.#commit(restriction)
      } finally {
        this.#inProgress.delete(restriction.id)
      }
    }
  }

  async #commit(restriction: PendingRestriction): Promise<void> {
    const view = this.#view
    const deadline = view.clock.now() + restrictionCommitMs
    while (view.restrictions.has(restriction.id) && view.clock.now() < deadline) {
      const settled = await view.table.read<{ version: number }>('restrictions', restriction.id, {
        deadline,
      })
      const { head, rowVersion } = await view.reader.head({ deadline })
      await view.catchUp(head.version, deadline)
      if (settled) {
        // The row that settles it is applied by now, so dropping it loses nothing.
        const { version } = settled.value
        if (view.committed().version >= version) view.restrictions.settle(restriction.id, version)
        view.refresh()
        return
      }
      if (view.committed().version !== head.version) continue
      const version = head.version + 1
      const { id, by, at, change } = restriction
      const row: ChangeRow = { version, at, by, change, settles: [id] }
      const result = await view.table.commit(
        {
          checks: [
            { table: 'config', key: 'head', version: rowVersion },
            { table: 'restrictions', key: id, version: 0 },
          ],
          writes: [
            { table: 'config', key: 'head', value: { ...head, version } },
            { table: 'changes', key: changeKey(version), value: row },
            { table: 'restrictions', key: id, value: { version } },
          ],
        },
        { deadline },
      )
      if (result.committed) view.apply([row])
    }
  }
}
