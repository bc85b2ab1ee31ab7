import { createSettlementCheck } from '@bulrushbridge/entry'
import type { HeldLease } from '@bulrushbridge/store'
import { createPermitReclaimer } from '@bulrushbridge/team-limit'
import type { ControlContext } from './control-context.js'
import type { DutyTerm } from './duty-task.js'
import { createFencedTable } from './fenced-table.js'

/**
 * Time from the moment when this process learns of a removal until it examines whether the removed
 * entry host still has work, in milliseconds. A read or exchange begun before the removal confirms
 * the removed host's configuration for 2 s, and the first byte of its last request may take some
 * time to reach the runner.
 */
const examinationDelayMs = 4_000

/**
 * Begins a term of the duty `permits`, which returns the permits of removed entry hosts to their
 * teams.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'permits', beginTerm: held => beginPermitsTerm(ctx, held) })
 */
export function beginPermitsTerm(ctx: ControlContext, held: () => HeldLease | undefined): DutyTerm {
  const { follower, clock, log } = ctx
  const releaseConfirmation = follower.keepConfirmed()
  const removalSeenAt = new Map<string, number>()
  const hasNoWork = createSettlementCheck({ view: follower })
  const reclaimer = createPermitReclaimer({
    // This table adds the check of the fence, so the reclaimer needs no further checks.
    table: createFencedTable(ctx.table, held),
    dutyChecks: () => [],
    isSettled: async (member, incarnation) => {
      const processId = `${member}@${incarnation}`
      const firstSeenAt = removalSeenAt.get(processId) ?? clock.now()
      removalSeenAt.set(processId, firstSeenAt)
      if (clock.now() - firstSeenAt < examinationDelayMs) return false
      return hasNoWork(member, incarnation)
    },
    log: (event, { holder }) => {
      log.info(event, { holder: String(holder) })
    },
  })
  return {
    runRound: async () => {
      // An unconfirmed configuration may lack a registration or a removal that is committed.
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
    close: releaseConfirmation,
  }
}
