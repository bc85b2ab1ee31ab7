import { option, type Type } from 'cmd-ts'
import type { z } from 'zod'

/** One setting: its schema, the text of its help line and its default. */
export interface SettingSpec<S extends z.ZodType = z.ZodType> {
  /** Parses the text of the flag or environment variable. */
  schema: S
  description: string
  /** Used when neither flag nor environment variable is given; without it the setting is required. */
  default?: string
  /** Shown in help instead of the value. */
  secret?: boolean
}

/** The parsed settings that belong to a table of specs. */
export type Settings<T extends Record<string, SettingSpec>> = {
  [K in keyof T]: z.infer<T[K]['schema']>
}

function textType<S extends z.ZodType>(spec: SettingSpec<S>): Type<string, z.infer<S>> {
  return {
    from: text => {
      const parsed = spec.schema.safeParse(text)
      if (parsed.success) return Promise.resolve(parsed.data)
      const reasons = parsed.error.issues.map(issue => issue.message).join('; ')
      return Promise.reject(new Error(reasons))
    },
  }
}

/** Name of the environment variable behind a flag: `store-url` is `BULRUSH_STORE_URL`. */
export function environmentName(flag: string): string {
  return `BULRUSH_${flag.replaceAll('-', '_').toUpperCase()}`
}

/**
 * Builds cmd-ts options from one table: each setting is the flag `--name` and the environment
 * variable `BULRUSH_NAME`.
 *
 * @example
 * const args = defineSettings({ port: { schema: z.coerce.number(), description: 'port', default: '0' } })
 */
export function defineSettings<T extends Record<string, SettingSpec>>(specs: T) {
  const entries = Object.entries(specs).map(([name, spec]) => [name, settingOption(name, spec)])
  return Object.fromEntries(entries) as {
    [K in keyof T]: ReturnType<typeof settingOption<z.infer<T[K]['schema']>>>
  }
}

function settingOption<V>(name: string, spec: SettingSpec) {
  const defaultText = spec.default
  return option({
    long: name,
    env: environmentName(name),
    description: spec.description,
    type: textType(spec) as Type<string, V>,
    ...(defaultText === undefined
      ? {}
      : {
          defaultValue: () => spec.schema.parse(defaultText) as V,
          defaultValueIsSerializable: spec.secret !== true,
        }),
  })
}
