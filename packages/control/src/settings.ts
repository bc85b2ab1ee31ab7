import { z } from 'zod'
import { entrySettings } from '@bulrushbridge/entry'
import type { Settings } from '@bulrushbridge/settings'

/** Settings of `bulrush-control`; those it shares with `bulrush-entry` have the same meaning. */
export const controlSettings = {
  member: entrySettings.member,
  zone: entrySettings.zone,
  host: { ...entrySettings.host, description: 'address of this host' },
  'table-url': entrySettings['table-url'],
  'object-url': entrySettings['object-url'],
  'hosts-url': entrySettings['hosts-url'],
  'peer-secret': entrySettings['peer-secret'],
  retention: {
    schema: z.coerce.number().int().min(1).max(8_760),
    description: 'hours for which ended jobs and decision records are kept',
    default: '168',
  },
  'log-level': entrySettings['log-level'],
} as const

/** Parsed settings of `bulrush-control`. */
export type ControlSettings = Settings<typeof controlSettings>
