import { clientLimitSettings, requestTimeoutSetting } from '@bulrushbridge/caller-server'
import type { SettingSpec } from '@bulrushbridge/settings'
import { z } from 'zod'

/** Flags and environment variables of `bulrush-host`. */
export const hostProgramSettings = {
  'settings-file': {
    schema: z.string(),
    description: 'settings file of the platform; the variable that the platform sets by default',
    default: '',
  },
  'log-level': {
    schema: z.enum(['debug', 'info', 'warn', 'error', 'silent']),
    description: 'lines below this level are not written',
    default: 'info',
  },
  'duty-lease': {
    schema: z.coerce.number().min(500).max(60_000),
    description: 'lifetime of the lease of the host that places work, in milliseconds',
    default: '2000',
  },
  ...clientLimitSettings,
  'request-timeout': requestTimeoutSetting,
} satisfies Record<string, SettingSpec>
