import { z } from 'zod'
import { documentSchema } from './document.js'
import type { Path } from './positions.js'

/** Names of the fields that the schema has at a path. */
export function knownFields(path: Path): string[] {
  const schema = path.reduce<unknown>((at, part) => child(unwrap(at), part), documentSchema)
  const inner = unwrap(schema)
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : []
}

function child(schema: unknown, part: string | number): unknown {
  if (schema instanceof z.ZodArray) return schema.element
  if (schema instanceof z.ZodObject) return (schema.shape as Record<string, unknown>)[part]
  return undefined
}

function unwrap(schema: unknown): unknown {
  const wrappers = [z.ZodOptional, z.ZodDefault, z.ZodPrefault]
  const isWrapped = wrappers.some(wrapper => schema instanceof wrapper)
  return isWrapped ? unwrap((schema as z.ZodOptional).unwrap()) : schema
}

/** A schema issue in plain words. `isMissing` tells that the text has no such field. */
export function issueMessage(issue: z.core.$ZodIssue, isMissing: boolean): string {
  const field = issue.path.at(-1)
  if (isMissing && typeof field === 'string') return `field '${field}' is missing`
  return issue.message
    .replace(/^Invalid input: /, '')
    .replace(/^Too small: /, '')
    .replace(/^Too big: /, '')
}
