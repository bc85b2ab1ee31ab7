import { readFileSync } from 'node:fs'
import { option, optional, string, type Type } from 'cmd-ts'
import type { z } from 'zod'

/** Definition of one setting. */
export interface SettingSpec<S extends z.ZodType = z.ZodType> {
  /** Parses the text of the flag or environment variable. */
  schema: S
  /** Shown by `--help`. */
  description: string
  /** Used when neither flag nor environment variable is given; the setting is required without it. */
  default?: string
  /**
   * Whether the value is secret. A secret is read from the environment variable or from the file
   * named by `--<name>-file`, never from an argument, because other users of the machine can list
   * the arguments of every process.
   */
  secret?: boolean
}

/** The parsed values of a set of setting definitions. */
export type Settings<T extends Record<string, SettingSpec>> = {
  [K in keyof T]: z.infer<T[K]['schema']>
}

/** Name of the environment variable of a flag; for `store-url` it is `BULRUSH_STORE_URL`. */
export function environmentName(flag: string): string {
  return `BULRUSH_${flag.replaceAll('-', '_').toUpperCase()}`
}

/**
 * Builds cmd-ts options from setting definitions. Each setting can be given by the flag `--name` or
 * the environment variable `BULRUSH_NAME`, a secret by `--name-file` or `BULRUSH_NAME`.
 *
 * @example
 * const args = defineSettings({ port: { schema: z.coerce.number(), description: 'port', default: '0' } })
 */
export function defineSettings<T extends Record<string, SettingSpec>>(specs: T) {
  const entries = Object.entries(specs).map(([name, spec]) => [
    name,
    spec.secret === true ? secretOption(name, spec) : settingOption(name, spec),
  ])
  return Object.fromEntries(entries) as {
    [K in keyof T]: ReturnType<typeof settingOption<z.infer<T[K]['schema']>>>
  }
}

/** @throws Error that names the setting but never contains its value. */
function parseSetting(name: string, spec: SettingSpec, text: string): unknown {
  const parsed = spec.schema.safeParse(text)
  if (parsed.success) return parsed.data
  throw new Error(`--${name}: ${parsed.error.issues.map(issue => issue.message).join('; ')}`)
}

function settingOption<V>(name: string, spec: SettingSpec) {
  const defaultText = spec.default
  const type: Type<string, V> = {
    from: text => Promise.resolve().then(() => parseSetting(name, spec, text) as V),
  }
  return option({
    long: name,
    env: environmentName(name),
    description: spec.description,
    type,
    ...(defaultText === undefined
      ? {}
      : {
          // The help page shows this default as text, and the parsed value may be an object.
          defaultValue: () => spec.schema.parse(defaultText) as V,
          defaultValueIsSerializable: defaultText !== '',
        }),
  })
}

/** Creates an option that takes the name of a file and whose parsed value is the secret. */
function secretOption(name: string, spec: SettingSpec) {
  const file = option({
    long: `${name}-file`,
    env: environmentName(`${name}-file`),
    description: `file with the ${spec.description}; or the variable ${environmentName(name)}`,
    type: optional(string),
  })
  type Parsed = Awaited<ReturnType<typeof file.parse>>
  const parse = async (context: Parameters<typeof file.parse>[0]): Promise<Parsed> => {
    const path = await file.parse(context)
    if (path._tag === 'error') return path
    try {
      return { _tag: 'ok', value: parseSetting(name, spec, readSecret(name, path.value)) as string }
    } catch (err) {
      return { _tag: 'error', error: { errors: [{ nodes: [], message: (err as Error).message }] } }
    }
  }
  return { ...file, parse }
}

/**
 * Reads a secret from a file or from its environment variable.
 *
 * @throws Error that names the setting when both or neither is given or the file cannot be read.
 * @example
 * const secret = readSecret('peer-secret', args['peer-secret-file'])
 */
export function readSecret(
  name: string,
  file: string | undefined,
  env: Record<string, string | undefined> = process.env,
): string {
  const variableName = environmentName(name)
  const text = env[variableName]
  if (file === undefined) {
    if (text !== undefined) return text
    throw new Error(`--${name}-file: give this file or the variable ${variableName}`)
  }
  if (text !== undefined)
    throw new Error(`--${name}-file: give either it or ${variableName}, not both`)
  try {
    return readFileSync(file, 'utf8').trim()
  } catch (err) {
    const code = (err as { code?: string }).code ?? 'unknown error'
    throw new Error(`--${name}-file: ${file} cannot be read (${code})`, { cause: err })
  }
}

/**
 * Returns an error message when a secret is given as an argument. Call it before parsing, because
 * the parser's own error message would contain the secret.
 */
export function findSecretArgument(
  args: readonly string[],
  secrets: readonly string[],
): string | undefined {
  const name = secrets.find(secret =>
    args.some(arg => arg === `--${secret}` || arg.startsWith(`--${secret}=`)),
  )
  if (name === undefined) return undefined
  return `--${name} is not an argument, because arguments are visible to other users; use --${name}-file or ${environmentName(name)}`
}
