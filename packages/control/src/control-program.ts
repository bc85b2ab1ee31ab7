import { createDecisionLog } from '@bulrushbridge/decision-log'
import { systemClock } from '@bulrushbridge/errors'
import { createHttpObjectStore, createHttpTableService } from '@bulrushbridge/store'
import { createLogger } from '@bulrushbridge/telemetry'
import { createConfigurationFollower } from './configuration-follower.js'
import type { ControlContext } from './control-context.js'
import { createDutyTask, type DutyTaskOptions } from './duty-task.js'
import { beginFleet } from './fleet-duty.js'
import { beginMembership } from './membership-duty.js'
import { beginPermits } from './permits-duty.js'
import { createPlacementDuties } from './placement-duties.js'
import { beginRecords, recordsIntervalMs } from './records-duty.js'
import type { ControlSettings } from './settings.js'

/** Pause between two rounds of most duties, in milliseconds. */
const roundMs = 1_000

/** A running control program. */
export interface ControlProgram {
  /** Ends the rounds in progress and releases the duties. */
  close(): Promise<void>
}

/**
 * Starts a control program: a candidate for each duty.
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
  const start = (duty: string, intervalMs: number, begin: DutyTaskOptions['begin']) =>
    createDutyTask({ table, duty, holder: cfg.member, clock, log, intervalMs, begin })
  const tasks = [
    start('membership', roundMs, held => beginMembership(ctx, held)),
    start('permits', roundMs, held => beginPermits(ctx, held)),
    start('records', recordsIntervalMs, held => beginRecords(ctx, held)),
    createPlacementDuties(ctx),
    // Without the platform's list there are no hosts to own.
    ...(cfg['hosts-url'] === '' ? [] : [start('fleet', roundMs, held => beginFleet(ctx, held))]),
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
