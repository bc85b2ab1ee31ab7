import { createSettlementCheck } from '@bulrushbridge/entry'
import type { HeldLease } from '@bulrushbridge/store'
import { createPermitReclaimer } from '@bulrushbridge/team-limit'
import type { ControlContext } from './control-context.js'
import type { DutyTerm } from './duty-task.js'
import { createFencedTable } from './fenced-table.js'

/**
 * Time from the first sight of a removal until the removed entry host's work is examined, in
 * milliseconds. A contact begun before the removal confirms it for 2 s, and the last first byte may
 * take a moment to reach its runner.
 */
const confirmationEndMs = 4_000

/**
 * Begins a term of the duty `permits`: returns the permits of removed entry hosts to their teams.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'permits', begin: held => beginPermits(context, held) })
 */
export function beginPermits(ctx: ControlContext, held: () => HeldLease | undefined): DutyTerm {
  const { follower, clock, log } = ctx
  const release = follower.keepConfirmed()
  const removedAt = new Map<string, number>()
  const hasNoWork = createSettlementCheck({ view: follower })
  const reclaimer = createPermitReclaimer({
    // The fence is checked here, so that the checks below may be empty after a loss.
    table: createFencedTable(ctx.table, held),
    dutyChecks: () => [],
    isSettled: async (member, incarnation) => {
      const id = `${member}@${incarnation}`
      const since = removedAt.get(id) ?? clock.now()
      removedAt.set(id, since)
      if (clock.now() - since < confirmationEndMs) return false
      return hasNoWork(member, incarnation)
    },
    log: (event, { holder }) => {
      log.info(event, { holder: String(holder) })
    },
  })
  return {
    round: async () => {
      // An unconfirmed configuration may lack a registration or a removal.
      if (clock.now() >= follower.confirmedUntil()) return
      const { version, members } = follower.committed()
      reclaimer.configure({ version, members: Object.values(members) })
      for (const holder of await reclaimer.run()) {
        ctx.decisions.record({
          subject: { kind: 'entry-host', id: holder },
          rule: 'permits-of-removed-host',
          observed: { version },
          action: 'reclaim',
        })
      }
    },
    close: release,
  }
}
