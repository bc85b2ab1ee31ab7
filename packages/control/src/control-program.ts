import { createDecisionLog } from '@bulrushbridge/decision-log'
import { systemClock } from '@bulrushbridge/errors'
import { createHttpObjectStore, createHttpTableService } from '@bulrushbridge/store'
import { createLogger } from '@bulrushbridge/telemetry'
import { createConfigurationFollower } from './configuration-follower.js'
import type { ControlContext } from './control-context.js'
import { createDutyTask, type DutyTaskOptions } from './duty-task.js'
import { beginFleetTerm } from './fleet-duty.js'
import { beginMembershipTerm } from './membership-duty.js'
import { beginPermitsTerm } from './permits-duty.js'
import { createPlacementDuties } from './placement-duties.js'
import { beginRecordsTerm, recordsRoundIntervalMs } from './records-duty.js'
import type { ControlSettings } from './settings.js'

/** Pause between two rounds of the duties membership, permits and fleet, in milliseconds. */
const roundIntervalMs = 1_000

/** A running control program. */
export interface ControlProgram {
  /** Waits for the rounds in progress, then releases the leases of the duties. */
  close(): Promise<void>
}

/**
 * Starts a control program, which competes for the lease of each duty and performs the duties whose
 * lease it holds.
 *
 * @example
 * const control = createControlProgram(cfg)
 * await control.close()
 */
export function createControlProgram(cfg: ControlSettings): ControlProgram {
  const clock = systemClock
  const log = createLogger({
    program: 'bulrush-control',
    member: cfg.member,
    level: cfg['log-level'],
  })
  const table = createHttpTableService({ url: cfg['table-url'], clock })
  const objects = createHttpObjectStore({ url: cfg['object-url'], clock })
  const decisions = createDecisionLog({ table, member: cfg.member, clock })
  const follower = createConfigurationFollower({ table, objects, clock, log })
  const ctx: ControlContext = { cfg, clock, log, table, objects, decisions, follower }
  const startDuty = (duty: string, intervalMs: number, beginTerm: DutyTaskOptions['beginTerm']) =>
    createDutyTask({ table, duty, holder: cfg.member, clock, log, intervalMs, beginTerm })
  const tasks = [
    startDuty('membership', roundIntervalMs, held => beginMembershipTerm(ctx, held)),
    startDuty('permits', roundIntervalMs, held => beginPermitsTerm(ctx, held)),
    startDuty('records', recordsRoundIntervalMs, held => beginRecordsTerm(ctx, held)),
    createPlacementDuties(ctx),
    // Without the platform's host list, the duty `fleet` has no hosts to manage.
    ...(cfg['hosts-url'] === ''
      ? []
      : [startDuty('fleet', roundIntervalMs, held => beginFleetTerm(ctx, held))]),
  ]
  log.info('control program started', { zone: cfg.zone })
  return {
    close: async () => {
      await Promise.all(tasks.map(task => task.close()))
      await follower.close()
      await decisions.close()
      await Promise.all([table.close(), objects.close()])
      log.info('control program stopped')
    },
  }
}
