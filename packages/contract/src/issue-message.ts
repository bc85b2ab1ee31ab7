import { z } from 'zod'
import { documentSchema } from './document.js'
import type { DocumentPath } from './positioned-yaml.js'

/** Field names that the document's schema allows at a path. */
export function knownFields(path: DocumentPath): string[] {
  const schema = path.reduce<unknown>(
    (parent, part) => childSchema(unwrapSchema(parent), part),
    documentSchema,
  )
  const inner = unwrapSchema(schema)
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : []
}

function childSchema(schema: unknown, part: string | number): unknown {
  if (schema instanceof z.ZodArray) return schema.element
  if (schema instanceof z.ZodObject) return (schema.shape as Record<string, unknown>)[part]
  return undefined
}

function unwrapSchema(schema: unknown): unknown {
  const wrappers = [z.ZodOptional, z.ZodDefault, z.ZodPrefault]
  const isWrapped = wrappers.some(wrapper => schema instanceof wrapper)
  return isWrapped ? unwrapSchema((schema as z.ZodOptional).unwrap()) : schema
}

/** Message for a schema issue. `isMissing`: the document has no value at the issue's path. */
export function issueMessage(issue: z.core.$ZodIssue, isMissing: boolean): string {
  const field = issue.path.at(-1)
  if (isMissing && typeof field === 'string') return `field '${field}' is missing`
  return issue.message
    .replace(/^Invalid input: /, '')
    .replace(/^Too small: /, '')
    .replace(/^Too big: /, '')
}
