import type { RunnerEntry } from '@bulrushbridge/scheduler'
import type { LogFields } from '@bulrushbridge/telemetry'

/**
 * Returns what a runner's registry entry says anew, for the log; undefined when it says the same as
 * the one before it, as after most heartbeats.
 *
 * @example
 * const changed = changedFields(before, entry)
 * if (changed !== undefined) log.info('runner entry changed', { runner: entry.id, ...changed })
 */
export function changedFields(before: RunnerEntry, entry: RunnerEntry): LogFields | undefined {
  const known = toLogFields(before)
  const changed = Object.entries(toLogFields(entry)).filter(
    ([name, value]) => value !== known[name],
  )
  return changed.length === 0 ? undefined : Object.fromEntries(changed)
}

function toLogFields({ capacity, labels, ...fields }: RunnerEntry): LogFields {
  return { ...fields, ...capacity, labels: labels.join(' ') }
}
