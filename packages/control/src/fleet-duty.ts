import { createFleetDuty, createHostProbe } from '@bulrushbridge/fleet'
import { normalizeError } from '@bulrushbridge/errors'
import { createHostListClient } from '@bulrushbridge/host'
import type { HeldLease } from '@bulrushbridge/store'
import type { ControlContext } from './control-context.js'
import type { DutyTerm } from './duty-task.js'

/**
 * Begins a term of the duty `fleet`, which keeps the inventory of the hosts, maintains hosts, moves
 * them between pools and returns zones to service.
 *
 * @example
 * createDutyTask({ ...opts, duty: 'fleet', beginTerm: held => beginFleetTerm(ctx, held) })
 */
export function beginFleetTerm(ctx: ControlContext, held: () => HeldLease | undefined): DutyTerm {
  const { cfg, table, clock, log, follower, decisions } = ctx
  const releaseConfirmation = follower.keepConfirmed()
  const fleet = createFleetDuty({
    table,
    held,
    clock,
    platform: createHostListClient({ url: cfg['hosts-url'], clock }),
    probe: createHostProbe(),
    configuration: () => follower.committed(),
    confirmedUntil: () => follower.confirmedUntil(),
    onDecision: decision => {
      const { subject, rule, action } = decision
      log.info(`${subject.kind} ${action}`, { id: subject.id, rule })
      decisions.record(decision)
    },
    onError: err => {
      log.warn('order to the platform failed', { error: normalizeError(err).message })
    },
  })
  return { runRound: () => fleet.round(), close: releaseConfirmation }
}
